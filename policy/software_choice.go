package policy

import (
	"slices"
	"time"
)

// SoftwareTellsRun reports whether upstreams of the service that are chosen by their software
// alone go on with each other's runs, as far as their weights are known.
func (h *VersionHistory) SoftwareTellsRun(now time.Duration) bool {
	type choice struct{ software, model string }
	weights := map[choice]string{}
	for v := range h.Versions(now) {
		if v.Weights == "" {
			continue
		}
		c := choice{v.Software, v.Model}
		if known, ok := weights[c]; ok && known != v.Weights {
			return false
		}
		weights[c] = v.Weights
	}
	return true
}

// Shared returns the services of routes that lead to several, or did of late.
func (r ResumableRoutes) Shared(left *RouteServices, now time.Duration) map[string]bool {
	shared := map[string]bool{}
	for route, services := range r {
		earlier, _ := left.Services(route, now)
		all := slices.Concat(services, earlier)
		slices.Sort(all)
		if all = slices.Compact(all); len(all) < 2 {
			continue
		}
		for _, service := range all {
			shared[service] = true
		}
	}
	return shared
}
