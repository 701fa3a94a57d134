package forward

import (
	"expvar"
	"time"

	"godwitward.example/godwitward/internal/metrics"
)

// vars holds the metrics of a server.
type vars struct {
	all *expvar.Map
	// requests is counted by kind of route and HTTP status, outcomes by outcome
	// and reason.
	requests *expvar.Map
	outcomes *expvar.Map
	// sends counts the requests sent to upstreams, without prefills; retries counts
	// those after the first of each caller's request.
	sends    *expvar.Int
	retries  *expvar.Int
	prefills *expvar.Int
	// wastedPrefills counts the prefills whose result was not used, by cause, and
	// wastedTokens the tokens of their prompts.
	wastedPrefills, wastedTokens *expvar.Map
	// payers counts requests to upstreams, prefills included, by what they were charged
	// to.
	payers *expvar.Map
	// opened counts connections that were opened to upstreams by their path.
	opened *expvar.Map
	// callersClosed counts callers' connections that were closed because no
	// request arrived in time.
	callersClosed *expvar.Int
	// loadChecks counts the status checks for the load of upstreams.
	loadChecks *expvar.Int
	// identifications counts the connections whose process was asked for its start.
	identifications *expvar.Int
	// responseTime is the time to the end of a response, firstEventTime the time to
	// its first event, and placementWait the wait for a reservation.
	responseTime, firstEventTime, placementWait *metrics.DurationHistogram
}

func newVars(s *Server) *vars {
	v := &vars{
		all: new(expvar.Map).Init(), requests: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(),
		wastedPrefills: new(expvar.Map).Init(), wastedTokens: new(expvar.Map).Init(),
		sends: new(expvar.Int), retries: new(expvar.Int), prefills: new(expvar.Int), payers: new(expvar.Map).Init(), opened: new(expvar.Map).Init(), callersClosed: new(expvar.Int), loadChecks: new(expvar.Int), identifications: new(expvar.Int),
		responseTime: metrics.NewDurationHistogram(), firstEventTime: metrics.NewDurationHistogram(), placementWait: metrics.NewDurationHistogram(),
	}
	v.all.Set("requests", v.requests)
	v.all.Set("outcomes", v.outcomes)
	v.all.Set("sends", v.sends)
	v.all.Set("repeats", v.retries)
	v.all.Set("prefills", v.prefills)
	v.all.Set("wasted_prefills", v.wastedPrefills)
	v.all.Set("wasted_prefill_tokens", v.wastedTokens)
	v.all.Set("charged", v.payers)
	v.all.Set("opened", v.opened)
	v.all.Set("links_down", expvar.Func(func() any { return s.links.countDown() }))
	v.all.Set("callers_closed", v.callersClosed)
	v.all.Set("answer", expvar.Func(v.responseTime.Value))
	v.all.Set("first_event", expvar.Func(v.firstEventTime.Value))
	v.all.Set("placement_wait", expvar.Func(v.placementWait.Value))
	v.all.Set("in_flight", expvar.Func(func() any { return s.inFlight.Load() }))
	v.all.Set("body_bytes", expvar.Func(func() any { return s.bodies.used.Load() }))
	v.all.Set("config_version", expvar.Func(func() any {
		if c := s.config.Load(); c != nil {
			return c.Version
		}
		return 0
	}))
	v.all.Set("limited_upstreams", expvar.Func(func() any { return s.limitedUpstreams() }))
	v.all.Set("suspect_parts", expvar.Func(func() any { n, _ := s.promptParts.counts(); return n }))
	v.all.Set("quarantined_parts", expvar.Func(func() any { _, n := s.promptParts.counts(); return n }))
	v.all.Set("tenants", expvar.Func(func() any { return s.tenants.stats.named() }))
	v.all.Set("tenants_other", expvar.Func(func() any { return s.tenants.stats.others() }))
	v.all.Set("keys_refused", s.tenants.keysRefused)
	v.all.Set("call_costs", expvar.Func(func() any { return s.callCosts.report(s.now()) }))
	v.all.Set("overloaded", expvar.Func(func() any { return s.shortages.refusals() }))
	v.all.Set("load_checks", v.loadChecks)
	v.all.Set("identifications", v.identifications)
	v.all.Set("repeat_budget_left", expvar.Func(func() any { return s.remainingRetries() }))
	return v
}

// Vars returns the metrics of the server.
func (s *Server) Vars() *expvar.Map { return s.vars.all }

func (s *Server) remainingRetries() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := map[string]float64{}
	for service, b := range s.retryBudgets {
		left[service] = b.Remaining(s.now())
	}
	return left
}

// updateMetrics adds a finished request to the metrics.
func (x *exchange) updateMetrics() {
	v := x.s.vars
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	v.requests.Add(kind+" "+itoa(x.status), 1)
	v.outcomes.Add(x.outcome+" "+x.reason, 1)
	v.sends.Add(int64(x.sends))
	if x.sends > 1 {
		v.retries.Add(int64(x.sends - 1))
	}
	v.responseTime.Record(time.Since(x.receivedAt))
}
