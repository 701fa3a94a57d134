package forward

import (
	"time"

	"godwitward.example/godwitward/policy"
)

// serviceBudget is the retry budget of a service. Its methods lock the server's
// mutex.
type serviceBudget struct {
	server *Server
	budget *policy.RetryBudget
}

// entriesSlackFraction is the fraction of RetrySlack that all entries together may
// spend for a service with engines. The rest is reserved for the schedulers of
// pools and for entries that have started since the entries were counted. For a
// service without engines, which has no scheduler, it is doubled.
const entriesSlackFraction = 0.35

// entriesRatioFraction is the fraction of RetryRatio that entries may spend for a
// service with engines. The rest is reserved for its scheduler.
const entriesRatioFraction = 0.4

// slackFraction returns the fraction of RetrySlack that one entry may spend: 0
// while the number of entries is unknown.
func (b *RetryLimits) slackFraction() float64 {
	if b.Entries <= 0 {
		return 0
	}
	return entriesSlackFraction / float64(b.Entries)
}

// retryBudget returns the retry budget of a service with the current limits.
func (s *Server) retryBudget(service string) serviceBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retryBudgets[service]
	limits := s.opts.RetryLimits()
	if b == nil {
		b = &policy.RetryBudget{Partial: true, Inherited: s.opts.Restartable}
		s.retryBudgets[service] = b
	}
	b.Ratio, b.Slack, b.Window = limits.RetryRatio, limits.RetrySlack*limits.slackFraction(), limits.RetryWindow
	if c := s.config.Load(); c != nil && c.Services[service] != nil && c.Services[service].Engine != nil {
		b.Ratio *= entriesRatioFraction
	} else {
		b.Slack *= 2
	}
	return serviceBudget{s, b}
}

func (b serviceBudget) recordRequest(now time.Duration) {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	b.budget.RecordRequest(now)
}

// remaining returns the number of retries that may be spent now.
func (b serviceBudget) remaining(now time.Duration) float64 {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	return b.budget.Remaining(now)
}

// hold sets a retry aside, to be spent or released, and reports whether one remained.
func (b serviceBudget) hold(now time.Duration) bool {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	return b.budget.Hold(now)
}

func (b serviceBudget) spend(now time.Duration) {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	b.budget.Spend(now)
}

func (b serviceBudget) release() {
	b.server.mu.Lock()
	defer b.server.mu.Unlock()
	b.budget.Release()
}
