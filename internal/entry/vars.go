package entry

import "expvar"

// vars are the metrics of one server. They are not in the global expvar registry,
// because that allows each name only once in a process.
type vars struct {
	all      *expvar.Map
	accepted *expvar.Int
	failures *expvar.Map
	tokens   *expvar.Int
	retries  *expvar.Int
}

func newVars(s *Server) *vars {
	v := &vars{
		all: new(expvar.Map).Init(), accepted: new(expvar.Int), failures: new(expvar.Map).Init(),
		tokens: new(expvar.Int), retries: new(expvar.Int),
	}
	v.all.Set("accepted", v.accepted)
	v.all.Set("failures", v.failures)
	v.all.Set("tokens", v.tokens)
	v.all.Set("attempts_after_first", v.retries)
	v.all.Set("requests_in_flight", expvar.Func(func() any { return s.requestQuota.used.Load() }))
	v.all.Set("body_bytes", expvar.Func(func() any { return s.bodyQuota.used.Load() }))
	v.all.Set("answer_bytes", expvar.Func(func() any { return s.responseQuota.used.Load() }))
	v.all.Set("releases_pending", expvar.Func(func() any { return s.opts.Schedulers.Pending() }))
	return v
}

// Vars returns the server's metrics.
func (s *Server) Vars() *expvar.Map {
	return s.vars.all
}
