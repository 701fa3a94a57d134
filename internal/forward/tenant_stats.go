package forward

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxNamedTenants limits the tenants that have metrics of their own.
const maxNamedTenants = 64

// refusal is why a request of a tenant was refused.
type refusal uint8

const (
	// refusalOverLimit: the tenant's cap has no room.
	refusalOverLimit refusal = iota
	// refusalUnconfirmed: the keys are not known to be those in force.
	refusalUnconfirmed
	// refusalUndecided: the admission failed.
	refusalUndecided

	refusalCount
)

var refusalNames = [refusalCount]string{"over_limit", "keys_unconfirmed", "undecided"}

// tenantStats counts the requests of each tenant of the configuration.
type tenantStats struct {
	mu     sync.Mutex
	byName map[string]*tenantCounts
	// removed holds the sums of tenants that are no longer configured.
	removed tenantCounts
}

// tenantCounts are the requests of one tenant since the start of the server.
type tenantCounts struct {
	admitted int64
	// used is the cost of the requests that an upstream may have run.
	used    float64
	refused [refusalCount]int64
	// logged is the part of refused that log lines have told, and lastErr the error of the
	// latest refusal that had one.
	logged  [refusalCount]int64
	lastErr error
	// withoutGrantor is the number of unlogged refusals over the limit that the entry decided
	// alone, and retryAfter what the latest one over the limit told its caller.
	withoutGrantor int64
	retryAfter     time.Duration
}

func newTenantStats() *tenantStats { return &tenantStats{byName: map[string]*tenantCounts{}} }

// keep sets the tenants that are counted.
func (s *tenantStats) keep(list []Tenant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*tenantCounts, len(list))
	for i := range list {
		name := list[i].Name
		if next[name] = s.byName[name]; next[name] == nil {
			next[name] = &tenantCounts{}
		}
		delete(s.byName, name)
	}
	for _, c := range s.byName {
		s.removed.add(c)
	}
	s.byName = next
}

// update applies f to the counts of a tenant. Those of a tenant that is no longer
// configured, or nil, are kept together.
func (s *tenantStats) update(t *Tenant, f func(c *tenantCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.removed
	if t != nil && s.byName[t.Name] != nil {
		c = s.byName[t.Name]
	}
	f(c)
}

func (s *tenantStats) admitted(t *Tenant) { s.update(t, func(c *tenantCounts) { c.admitted++ }) }

func (s *tenantStats) ran(t *Tenant, cost float64) {
	s.update(t, func(c *tenantCounts) { c.used += cost })
}

// refused counts a refusal; err may be nil, and is not logged if it is an OverLimitError.
func (s *tenantStats) refused(t *Tenant, why refusal, err error) {
	s.update(t, func(c *tenantCounts) {
		c.refused[why]++
		var over *OverLimitError
		switch {
		case errors.As(err, &over):
			c.retryAfter = over.RetryAfter
			if over.WithoutGrantor {
				c.withoutGrantor++
			}
		case err != nil:
			c.lastErr = err
		}
	})
}

func (c *tenantCounts) add(o *tenantCounts) {
	c.admitted += o.admitted
	c.used += o.used
	for i := range o.refused {
		c.refused[i] += o.refused[i]
		c.logged[i] += o.logged[i]
	}
}

// value returns the counts as they are exported.
func (c *tenantCounts) value() any {
	refused := map[string]int64{}
	for i, n := range c.refused {
		if n > 0 {
			refused[refusalNames[i]] = n
		}
	}
	return map[string]any{"admitted": c.admitted, "used": c.used, "refused": refused}
}

// split returns the names of the tenants that have metrics of their own, which are those
// that used most, and the sums of all others. The caller holds mu.
func (s *tenantStats) split() (names []string, others tenantCounts) {
	names = slices.SortedFunc(maps.Keys(s.byName), func(a, b string) int {
		x, y := s.byName[a], s.byName[b]
		return cmp.Or(cmp.Compare(y.used, x.used), cmp.Compare(y.admitted, x.admitted), cmp.Compare(a, b))
	})
	others = s.removed
	for _, name := range names[min(len(names), maxNamedTenants):] {
		others.add(s.byName[name])
	}
	return names[:min(len(names), maxNamedTenants)], others
}

func (s *tenantStats) named() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	names, _ := s.split()
	out := make(map[string]any, len(names))
	for _, name := range names {
		out[name] = s.byName[name].value()
	}
	return out
}

func (s *tenantStats) others() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, others := s.split()
	return others.value()
}

// tenantRefusals are the refusals of a tenant that no log line has told.
type tenantRefusals struct {
	tenant string
	counts [refusalCount]int64
	err    error
	// withoutGrantor and retryAfter are those of tenantCounts.
	withoutGrantor int64
	retryAfter     time.Duration
}

// takeRefusals returns the refusals since the last call.
func (s *tenantStats) takeRefusals() []tenantRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []tenantRefusals
	for name, c := range s.byName {
		if c.refused == c.logged {
			continue
		}
		r := tenantRefusals{tenant: name, err: c.lastErr, withoutGrantor: c.withoutGrantor, retryAfter: c.retryAfter}
		for i := range c.refused {
			r.counts[i] = c.refused[i] - c.logged[i]
		}
		c.logged, c.lastErr, c.withoutGrantor, c.retryAfter = c.refused, nil, 0, 0
		list = append(list, r)
	}
	return list
}

// logTenantRefusals writes a log line for each tenant of which requests were refused since
// the last call.
func (s *Server) logTenantRefusals() {
	for _, r := range s.tenants.stats.takeRefusals() {
		l := s.opts.Logger.Warn().Str("event", "tenant.refused").Str("tenant", r.tenant)
		total := int64(0)
		for i, n := range r.counts {
			l = l.Int64(refusalNames[i], n)
			total += n
		}
		l.Int64("count", total).Int64("without_grantor", r.withoutGrantor).Float64("retry_after", r.retryAfter.Seconds()).Err(r.err).Msg("")
	}
}
