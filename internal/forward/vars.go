package forward

import (
	"expvar"
	"time"

	"godwitward.example/godwitward/internal/metrics"
)

// vars are the metrics of one server.
type vars struct {
	all *expvar.Map
	// requests counts by kind of route and status, outcomes by outcome and
	// reason.
	requests *expvar.Map
	outcomes *expvar.Map
	sends    *expvar.Int
	repeats  *expvar.Int
	prefills *expvar.Int
	// callersClosed counts connections of callers that took too long.
	callersClosed *expvar.Int
	// answer is the time to the end of an answer, first to its first event, and
	// placed the wait for engines.
	answer, first, placed *metrics.Timing
}

func newVars(s *Server) *vars {
	v := &vars{
		all: new(expvar.Map).Init(), requests: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(),
		sends: new(expvar.Int), repeats: new(expvar.Int), prefills: new(expvar.Int), callersClosed: new(expvar.Int),
		answer: metrics.NewTiming(), first: metrics.NewTiming(), placed: metrics.NewTiming(),
	}
	v.all.Set("requests", v.requests)
	v.all.Set("outcomes", v.outcomes)
	v.all.Set("sends", v.sends)
	v.all.Set("repeats", v.repeats)
	v.all.Set("prefills", v.prefills)
	v.all.Set("callers_closed", v.callersClosed)
	v.all.Set("answer", expvar.Func(v.answer.Value))
	v.all.Set("first_event", expvar.Func(v.first.Value))
	v.all.Set("placement_wait", expvar.Func(v.placed.Value))
	v.all.Set("in_flight", expvar.Func(func() any { return s.inFlight.Load() }))
	v.all.Set("body_bytes", expvar.Func(func() any { return s.bodies.Load() }))
	v.all.Set("config_version", expvar.Func(func() any {
		if c := s.config.Load(); c != nil {
			return c.Version
		}
		return 0
	}))
	v.all.Set("repeat_budget_left", expvar.Func(func() any { return s.budgetsLeft() }))
	return v
}

// Vars returns the server's metrics.
func (s *Server) Vars() *expvar.Map { return s.vars.all }

func (s *Server) budgetsLeft() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := map[string]float64{}
	for service, b := range s.budgets {
		left[service] = b.Left(s.now())
	}
	return left
}

// count adds a finished request to the metrics.
func (x *exchange) count() {
	v := x.s.vars
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	v.requests.Add(kind+" "+itoa(x.status), 1)
	v.outcomes.Add(x.outcome+" "+x.reason, 1)
	v.sends.Add(int64(x.sends))
	if x.sends > 1 {
		v.repeats.Add(int64(x.sends - 1))
	}
	v.answer.Add(time.Since(x.began))
}
