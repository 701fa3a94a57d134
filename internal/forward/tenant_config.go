package forward

import (
	"math"
	"strings"
	"unicode/utf8"

	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/policy"
)

// maxTenantNameBytes limits the name of a tenant, which is sent with each of its requests
// and between daemons.
const maxTenantNameBytes = 256

// compileTenants validates the tenants and prepares them for TenantOf. Findings do not
// contain keys, because they are logged.
func (c *Config) compileTenants(findings *finding.List) {
	c.byKey = map[string]*Tenant{}
	names := map[string]bool{}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		field := "tenants." + t.Name
		t.check(findings, field)
		if names[t.Name] {
			findings.Addf(field, "is the name of two tenants")
		}
		names[t.Name] = true
		for n, key := range t.Keys {
			if other := c.byKey[key]; other != nil && other != t {
				findings.Addf(field, "key %d of the list is a key of tenant %q as well", n+1, other.Name)
			}
			c.byKey[key] = t
		}
	}
	// No caller can state it.
	delete(c.byKey, "")
	c.needsKeys = false
	for i := range c.Routes {
		c.needsKeys = c.needsKeys || len(c.Tenants) > 0 && !c.Routes[i].Public
	}
	c.compilePriorities()
}

// compilePriorities prepares queuePriority.
func (c *Config) compilePriorities() {
	tenants, routes := []int{policy.UnstatedPriority}, make([]int, 0, len(c.Routes))
	for i := range c.Tenants {
		tenants = append(tenants, c.Tenants[i].Priority)
	}
	for i := range c.Routes {
		routes = append(routes, c.Routes[i].Priority)
	}
	c.queueOrder = policy.NewQueueOrder(tenants, routes)
}

// queuePriority returns the priority in the scheduler's queue for a rank that occurs in the
// configuration.
func (c *Config) queuePriority(rank uint32) int { return c.queueOrder.Priority(rank) }

func (t *Tenant) check(findings *finding.List, field string) {
	switch {
	case t.Name == "":
		findings.Addf(field, "name is missing")
	case len(t.Name) > maxTenantNameBytes:
		findings.Addf(field, "name has %d bytes, the limit is %d", len(t.Name), maxTenantNameBytes)
	case !isHeaderText(t.Name):
		findings.Addf(field, "name %q cannot be the value of a header", t.Name)
	}
	for _, limit := range []struct {
		name  string
		value float64
	}{{"rate", t.PerSecond}, {"burst", t.Burst}, {"cost of a request without token counts", t.PlainTokens}} {
		if v := limit.value; v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			findings.Addf(field, "%s %v must be a finite number that is not negative", limit.name, v)
		}
	}
}

// isHeaderText reports whether a text arrives unchanged as the value of a header.
func isHeaderText(s string) bool {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	return utf8.ValidString(s) && strings.TrimSpace(s) == s && !strings.ContainsFunc(s, control)
}

// TenantOf returns the tenant that owns a key, or nil.
func (c *Config) TenantOf(key string) *Tenant { return c.byKey[key] }
