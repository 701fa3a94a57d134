package relay

import "expvar"

// serverVars are the counters of a Server.
type serverVars struct {
	opened, toUpstream, fromUpstream expvar.Int
	// refused counts connections that were not opened, by result.
	refused expvar.Map
}

func (v *serverVars) init() { v.refused.Init() }

func (v *serverVars) publish(m *expvar.Map) {
	m.Set("opened", &v.opened)
	m.Set("refused", &v.refused)
	m.Set("bytes_to_upstreams", &v.toUpstream)
	m.Set("bytes_from_upstreams", &v.fromUpstream)
}

// dialerVars are the counters of a Dialer.
type dialerVars struct {
	opened, helpersLost expvar.Int
	// failed counts the responses of helpers that opened no connection, by result.
	failed expvar.Map
}

func (v *dialerVars) init() { v.failed.Init() }

func (v *dialerVars) publish(m *expvar.Map) {
	m.Set("opened", &v.opened)
	m.Set("failed", &v.failed)
	m.Set("helpers_lost", &v.helpersLost)
}
