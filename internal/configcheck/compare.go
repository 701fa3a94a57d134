package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"godwitward.example/godwitward/internal/forward"
)

// Change is the kind of a difference.
type Change string

// Kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one thing that a configuration changes against the version in force.
type Difference struct {
	Change Change
	// Place is a path such as "routes.chat".
	Place   string
	Message string
	// Marked is set if requests that run in the version in force may be refused in the
	// new one, or if keys are no longer required.
	Marked bool
}

// comparer collects the differences between two configurations.
type comparer struct {
	differences []Difference
	// keysNeeded is set if one of the configurations has tenants.
	keysNeeded bool
	// visits has the meaning of checker.visits.
	visits int
}

// Compare returns what next changes against the configuration in force. The order of
// routes, services and tenants makes no difference, nor does the spelling of values.
func Compare(inForce, next *forward.Config) []Difference {
	c := &comparer{}
	c.run(inForce, next)
	return c.differences
}

func (c *comparer) run(inForce, next *forward.Config) {
	c.keysNeeded = len(inForce.Tenants)+len(next.Tenants) > 0
	compareItems(c, "routes.", routeItems(inForce.Routes), routeItems(next.Routes), c.compareRoutes, func(r *forward.Route) (string, bool) {
		public := ""
		if r.Public {
			public = ", public"
		}
		return fmt.Sprintf("host %s, prefix %s, %v to %s%s", strings.ToLower(r.Host), r.Prefix, r.Kind, describeSplit(r.Split), public), false
	})
	compareItems(c, "services.", serviceItems(inForce.Services), serviceItems(next.Services), c.compareServices, func(s *forward.Service) (string, bool) {
		if s.Engine != nil {
			return "with engines", false
		}
		return "without engines", false
	})
	c.compareTenantLists(inForce.Tenants, next.Tenants)
	c.compareLimits(inForce.Limits, next.Limits)
}

// CompareVersions returns a finding if the core would not bring next into force after it
// has acknowledged it: it keeps a version that is at least as high.
func CompareVersions(inForce *forward.Config, next *Document, differences []Difference) []Finding {
	v := next.Config.Version
	message := fmt.Sprintf("version %d is not above version %d, which is in force; it would be acknowledged and ignored", v, inForce.Version)
	if v > inForce.Version || v == inForce.Version && len(differences) == 0 {
		return nil
	}
	return []Finding{{Severity: Warning, Rule: RuleVersion, Remark: Remark{Place: "version", Position: next.position("version"), Message: message}}}
}

// item is a route, service or tenant with the name under which it is compared.
type item[T any] struct {
	name  string
	value *T
}

// items names each value of a list; repeated names get a number.
func items[T any](list []T, name func(*T) string) []item[T] {
	out := make([]item[T], len(list))
	count := map[string]int{}
	for i := range list {
		n := name(&list[i])
		count[n]++
		if k := count[n]; k > 1 {
			n += "#" + strconv.Itoa(k)
		}
		out[i] = item[T]{name: n, value: &list[i]}
	}
	return out
}

func routeItems(routes []forward.Route) []item[forward.Route] {
	return items(routes, func(r *forward.Route) string { return r.Name })
}

func serviceItems(services map[string]*forward.Service) []item[forward.Service] {
	var out []item[forward.Service]
	for _, name := range slices.Sorted(maps.Keys(services)) {
		out = append(out, item[forward.Service]{name: name, value: services[name]})
	}
	return out
}

// compareItems adds the removed, added and changed items. describe returns the text for
// an added or removed item, and whether its removal is marked.
func compareItems[T any](c *comparer, prefix string, old, next []item[T], compare func(place string, old, next *T), describe func(*T) (text string, marked bool)) {
	oldByName, nextByName := map[string]*T{}, map[string]*T{}
	for _, it := range old {
		oldByName[it.name] = it.value
	}
	for _, it := range next {
		nextByName[it.name] = it.value
	}
	for _, it := range old {
		c.visits++
		if nextByName[it.name] == nil {
			text, marked := describe(it.value)
			c.add(Removed, prefix+it.name, marked, "%s", text)
		}
	}
	for _, it := range next {
		c.visits++
		if o := oldByName[it.name]; o != nil {
			compare(prefix+it.name, o, it.value)
		} else {
			text, _ := describe(it.value)
			c.add(Added, prefix+it.name, false, "%s", text)
		}
	}
}

func (c *comparer) add(change Change, place string, marked bool, format string, args ...any) {
	c.differences = append(c.differences, Difference{Change: change, Place: place, Message: fmt.Sprintf(format, args...), Marked: marked})
}

// value adds a difference if a value has changed.
func value[T comparable](c *comparer, place, label string, old, next T) {
	if old != next {
		c.add(Changed, place, false, "%s: %v, was %v", label, next, old)
	}
}

func (c *comparer) compareRoutes(place string, old, next *forward.Route) {
	value(c, place, "host", strings.ToLower(old.Host), strings.ToLower(next.Host))
	value(c, place, "prefix", old.Prefix, next.Prefix)
	value(c, place, "kind", old.Kind, next.Kind)
	value(c, place, "resumable", old.Resumable, next.Resumable)
	value(c, place, "timeout", old.Timeout, next.Timeout)
	value(c, place, "latency target", old.LatencyTarget, next.LatencyTarget)
	value(c, place, "target for pauses between events", old.EventGapTarget, next.EventGapTarget)
	value(c, place, "priority", old.Priority, next.Priority)
	if old.Public != next.Public {
		c.add(Changed, place, c.keysNeeded, "public: %v, was %v", next.Public, old.Public)
	}
	value(c, place, "attempts", old.MaxAttempts, next.MaxAttempts)
	c.visits += len(old.Split) + len(next.Split)
	value(c, place, "services", describeSplit(old.Split), describeSplit(next.Split))
}

// describeSplit returns the services of a route with their parts of the requests.
func describeSplit(split []forward.Share) string {
	total := 0.0
	weights := map[string]float64{}
	for _, s := range split {
		total += s.Weight
		weights[s.Service] += s.Weight
	}
	if len(weights) == 1 {
		return split[0].Service
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		// Four digits distinguish splits, and hide the rounding of equal ones.
		parts = append(parts, fmt.Sprintf("%s %.4g%%", name, 100*weights[name]/total))
	}
	return strings.Join(parts, " + ")
}

func (c *comparer) compareServices(place string, old, next *forward.Service) {
	value(c, place, "path of the status check", old.StatusPath, next.StatusPath)
	if old.Engine == nil || next.Engine == nil {
		value(c, place, "engines", old.Engine != nil, next.Engine != nil)
		return
	}
	value(c, place, "slots", old.Engine.Slots, next.Engine.Slots)
	value(c, place, "memory in tokens", old.Engine.MemoryTokens, next.Engine.MemoryTokens)
	value(c, place, "tokens per event", old.Engine.TokensPerEvent, next.Engine.TokensPerEvent)
	value(c, place, "lifetime of handles", old.Engine.HandleTTL, next.Engine.HandleTTL)
	value(c, place, "time of a role switch", old.Engine.RoleSwitchTime, next.Engine.RoleSwitchTime)
}

func (c *comparer) compareLimits(old, next forward.Limits) {
	value(c, "limits", "header bytes", old.MaxHeaderBytes, next.MaxHeaderBytes)
	value(c, "limits", "body bytes", old.MaxBodyBytes, next.MaxBodyBytes)
	value(c, "limits", "time for a header", old.HeaderTimeout, next.HeaderTimeout)
	value(c, "limits", "idle time", old.IdleTimeout, next.IdleTimeout)
}
