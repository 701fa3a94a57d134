package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"godwitward.example/godwitward/policy"
)

// callCosts holds the learned cost of plain calls by service and route.
type callCosts struct {
	mu        sync.Mutex
	byService map[string]*policy.ServiceCosts
}

// estimate returns the cost of a call of a route at a service.
func (c *callCosts) estimate(service, route string, now time.Duration) policy.CallCost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).Estimate(route, now)
}

// add learns from one call and returns its cost in seconds; 0 if it tells nothing.
func (c *callCosts) add(service, route string, s *policy.CallSample, now time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(service).Add(route, s, now)
}

func (c *callCosts) service(name string) *policy.ServiceCosts {
	s := c.byService[name]
	if s == nil {
		s = &policy.ServiceCosts{}
		if c.byService == nil {
			c.byService = map[string]*policy.ServiceCosts{}
		}
		c.byService[name] = s
	}
	return s
}

// keep forgets the services that a configuration does not have.
func (c *callCosts) keep(services map[string]*Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.byService {
		if services[name] == nil {
			delete(c.byService, name)
		}
	}
}

// maxReportedCosts limits the routes of a service in the metrics to those with the most
// calls.
const maxReportedCosts = 32

// report returns what is learned, for the metrics.
func (c *callCosts) report(now time.Duration) map[string][]policy.RouteCostReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string][]policy.RouteCostReport, len(c.byService))
	for name, s := range c.byService {
		list := s.Report(now)
		slices.SortFunc(list, func(a, b policy.RouteCostReport) int {
			return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Route, b.Route))
		})
		out[name] = list[:min(len(list), maxReportedCosts)]
	}
	return out
}

// recordCall learns from a call that has run.
func (x *exchange) recordCall(t *target, res *upstreamResponse) {
	now := x.s.now()
	sample := policy.CallSample{Took: now - res.sentAt}
	if l := res.info.Load; l != nil {
		sample.Running, sample.Waiting, sample.Slots, sample.Slowness = l.Running, l.Waiting, l.Slots, l.SlownessPercent/100
	}
	seconds := x.s.callCosts.add(x.service.Name, x.route.Name, &sample, now)
	if seconds > 0 && x.cost.Learned {
		t.mu.Lock()
		t.load.RecordCall(seconds / x.cost.Mean)
		t.mu.Unlock()
	}
}
