package usage

import (
	"cmp"
	"expvar"
	"maps"
	"slices"
	"time"

	"godwitward.example/godwitward/internal/forward"
)

const (
	// maxTenantVars is the number of tenants with metrics of their own; the others are
	// counted together.
	maxTenantVars = 64
)

// counts holds the counters of all tenants of the configuration.
type counts struct {
	byTenant map[string]*tenantCount
}

type tenantCount struct {
	admitted, refusedOverLimit, refusedNoGrantor int64
	used                                         float64
}

func (c *counts) tenant(name string) *tenantCount {
	n := c.byTenant[name]
	if n == nil {
		n = &tenantCount{}
		c.byTenant[name] = n
	}
	return n
}

func (c *counts) admit(name string, cost float64) {
	n := c.tenant(name)
	n.admitted++
	n.used += cost
}

func (c *counts) giveBack(name string, cost float64) {
	if n := c.byTenant[name]; n != nil {
		n.used -= cost
	}
}

func (c *counts) refuse(name string, noGrantor bool) {
	n := c.tenant(name)
	if noGrantor {
		n.refusedNoGrantor++
	} else {
		n.refusedOverLimit++
	}
}

// retain forgets the tenants that are not in the configuration.
func (c *counts) retain(tenants []forward.Tenant) {
	names := map[string]bool{}
	for i := range tenants {
		names[tenants[i].Name] = true
	}
	maps.DeleteFunc(c.byTenant, func(name string, _ *tenantCount) bool { return !names[name] })
}

// tenantVars is the JSON form of a tenant's metrics. Used and Share are in the unit of the
// tenant's limit. ShareAgeMs is the time since the grantor last stated the share.
type tenantVars struct {
	Admitted   int64            `json:"admitted"`
	Refused    map[string]int64 `json:"refused"`
	Used       float64          `json:"used"`
	Share      float64          `json:"share"`
	ShareAgeMs int64            `json:"share_age_ms"`
}

// Vars returns the metrics: the tenants with the most use, and the others together.
func (c *Client) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("tenants", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tenantVars(c.now())
	}))
	m.Set("grantor_term", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.usage.term
	}))
	m.Set("grantor_answers", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.usage.contacted && !c.usage.outage
	}))
	m.Set("keys_confirmed", expvar.Func(func() any {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.confirmation.Valid(c.version, c.now())
	}))
	return m
}

// tenantVars returns the metrics by tenant. The caller holds mu.
func (c *Client) tenantVars(now time.Duration) map[string]*tenantVars {
	names := slices.SortedFunc(maps.Keys(c.counts.byTenant), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.counts.byTenant[b].used, c.counts.byTenant[a].used), cmp.Compare(a, b))
	})
	vars := map[string]*tenantVars{}
	for i, name := range names {
		n := c.counts.byTenant[name]
		key := "tenant " + name
		if i >= maxTenantVars {
			key = "others"
		}
		v := vars[key]
		if v == nil {
			v = &tenantVars{Refused: map[string]int64{}}
			vars[key] = v
		}
		v.Admitted += n.admitted
		v.Refused["over_limit"] += n.refusedOverLimit
		v.Refused["no_grantor"] += n.refusedNoGrantor
		v.Used += n.used
		if a := c.usage.accounts[name]; a != nil {
			v.Share += a.balance.Balance()
			v.ShareAgeMs = max(v.ShareAgeMs, (now - a.balance.ContactAt()).Milliseconds())
		}
	}
	return vars
}
