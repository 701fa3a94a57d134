package forward

import (
	"time"

	"godwitward.example/godwitward/policy"
)

// budgetOf is a service's repeat budget under the server's lock.
type budgetOf struct {
	s *Server
	b *policy.RetryBudget
}

// slackMargin is the part of the fixed number of repeats that entries spend by
// themselves. The rest is kept for the schedulers of pools and for entries that
// were started since they were counted.
const slackMargin = 0.35

// ratioShare is the part of the ratio that entries spend by themselves for a
// service with a scheduler, which spends the rest.
const ratioShare = 0.4

// slackShare is the part of the fixed number of repeats that one entry spends.
// An entry that does not know how many there are spends none.
func (b *RetryLimits) slackShare() float64 {
	if b.Entries <= 0 {
		return 0
	}
	return slackMargin / float64(b.Entries)
}

func (s *Server) budget(service string) budgetOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	bounds := s.opts.RetryLimits()
	if b == nil {
		b = &policy.RetryBudget{}
		s.budgets[service] = b
	}
	b.Ratio, b.Slack, b.Window = bounds.RetryRatio, bounds.RetrySlack*bounds.slackShare(), bounds.RetryWindow
	if c := s.config.Load(); c != nil && c.Services[service] != nil && c.Services[service].Engine != nil {
		b.Ratio *= ratioShare
	} else {
		b.Slack *= 2
	}
	return budgetOf{s, b}
}

func (b budgetOf) requested(now time.Duration) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.b.Requested(now)
}

func (b budgetOf) take(now time.Duration) bool {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	return b.b.Take(now)
}

// left returns the repeats that may be spent now.
func (b budgetOf) left(now time.Duration) float64 {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	return b.b.Left(now)
}

// spend counts a repeat that cannot be avoided any more.
func (b budgetOf) spend(now time.Duration) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.b.Spend(now)
}
