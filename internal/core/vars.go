package core

import "expvar"

// vars returns the metrics that the daemon publishes.
func (d *daemon) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("quorate", expvar.Func(func() any { return d.store.HasQuorum() }))
	m.Set("config_version", expvar.Func(func() any { return d.store.Current().Version }))
	m.Set("members", expvar.Func(func() any { return d.store.Members() }))
	m.Set("leads", expvar.Func(func() any {
		_, _, leads := d.store.Leader()
		return leads
	}))
	m.Set("term", expvar.Func(func() any {
		_, term, _ := d.store.Leader()
		return term
	}))
	m.Set("upstreams", expvar.Func(func() any {
		count := map[string]int{}
		for _, r := range d.hub.Records() {
			count[r.Service+" "+r.Phase.String()]++
		}
		return count
	}))
	m.Set("gossip_received", expvar.Func(func() any { return d.hub.GossipReceived() }))
	m.Set("store_commit", expvar.Func(d.commitTime.Value))
	m.Set("store_sync", expvar.Func(d.syncTime.Value))
	m.Set("relay", d.relay.Vars())
	m.Set("usage", d.grantor.Vars())
	m.Set("scheduler", d.pools.scheduler.Vars())
	return m
}
