package configcheck

import (
	"fmt"

	"godwitward.example/godwitward/internal/forward"
)

func tenantItems(tenants []forward.Tenant) []item[forward.Tenant] {
	return items(tenants, func(t *forward.Tenant) string { return t.Name })
}

func (c *comparer) compareTenantLists(old, next []forward.Tenant) {
	switch {
	case len(old) > 0 && len(next) == 0:
		c.add(Changed, "tenants", true, "no request needs a key any more")
	case len(old) == 0 && len(next) > 0:
		c.add(Changed, "tenants", true, "requests on routes that are not public need a key")
	}
	compareItems(c, "tenants.", tenantItems(old), tenantItems(next), c.compareTenants, func(t *forward.Tenant) (string, bool) {
		return fmt.Sprintf("%d keys, cap %s", len(t.Keys), describeCap(t)), true
	})
	c.compareKeys(old, next)
}

func (c *comparer) compareTenants(place string, old, next *forward.Tenant) {
	value(c, place, "priority", old.Priority, next.Priority)
	if was, is := describeCap(old), describeCap(next); was != is {
		text := ""
		lowered := capLowered(old, next)
		if lowered {
			text = " (lowered)"
		}
		c.add(Changed, place, lowered, "cap: %s, was %s%s", is, was, text)
	}
}

func describeCap(t *forward.Tenant) string {
	if t.PerSecond <= 0 {
		return "none"
	}
	unit, plain := "requests", ""
	if t.CountsTokens {
		unit, plain = "tokens", ", "+number(t.PlainTokens)+" for a request without counts"
	}
	return fmt.Sprintf("%s %s per second, burst %s%s", number(t.PerSecond), unit, number(t.Burst), plain)
}

// capLowered reports whether a cap may refuse requests that it did not refuse before. A
// change of the unit counts as lowered, because it cannot be compared.
func capLowered(old, next *forward.Tenant) bool {
	if next.PerSecond <= 0 {
		return false
	}
	return old.PerSecond <= 0 || next.PerSecond < old.PerSecond || next.Burst < old.Burst ||
		next.CountsTokens != old.CountsTokens || next.CountsTokens && next.PlainTokens > old.PlainTokens
}

// keyOwners returns the tenant of each key.
func (c *comparer) keyOwners(tenants []forward.Tenant) map[string]string {
	owners := map[string]string{}
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			c.visits++
			owners[key] = tenants[i].Name
		}
	}
	return owners
}

// compareKeys adds the revoked, moved and added keys.
func (c *comparer) compareKeys(old, next []forward.Tenant) {
	before, after := c.keyOwners(old), c.keyOwners(next)
	// A key that a tenant lists twice is reported once.
	reported := map[string]bool{}
	for i := range old {
		for _, key := range old[i].Keys {
			owner, kept := after[key]
			switch {
			case reported[key]:
			case !kept:
				c.add(Removed, "tenants."+old[i].Name, true, "key %s is revoked", Digest(key))
			case owner != before[key]:
				c.add(Changed, "tenants."+owner, true, "key %s is moved here from tenant %s", Digest(key), before[key])
			}
			reported[key] = true
		}
	}
	for i := range next {
		for _, key := range next[i].Keys {
			if _, known := before[key]; !known && !reported[key] {
				c.add(Added, "tenants."+next[i].Name, false, "key %s is added", Digest(key))
			}
			reported[key] = true
		}
	}
}
