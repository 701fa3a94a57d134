package policy

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxRouteServices limits the services of routes that are remembered.
	maxRouteServices = 256
	// routeEndTolerance is the difference up to which two times of one end count as the same:
	// a time that daemons pass on grows by the time of transfer.
	routeEndTolerance = time.Second
	// routeServiceTTL is how long a service is remembered that a route has left.
	routeServiceTTL = streamVersionTTL + routeEndTolerance
)

// RouteKey identifies the requests of a route. Host is in lower case.
type RouteKey struct {
	Host, Prefix string
}

// ResumableRoutes holds the services of each route on which streams may be resumed.
type ResumableRoutes map[RouteKey][]string

// RouteService is a service to which a route led until a time. The zero Route and Service
// stand for services of any route that were dropped from a full list.
type RouteService struct {
	Route   RouteKey
	Service string
	EndedAt time.Duration
}

// RouteServices remembers for as long as streams the services to which routes led before
// they were changed. Streams that began there may still be taken up. What several daemons
// know can be merged in any order. It is not safe for concurrent use.
type RouteServices struct {
	endedAt map[routeService]time.Duration
}

type routeService struct {
	route   RouteKey
	service string
}

// dropped is the key of what was dropped from a full list.
var dropped routeService

// Applied records that the routes of one configuration have been replaced by those of
// another one. It reports whether anything was new.
func (r *RouteServices) Applied(before, after ResumableRoutes, now time.Duration) bool {
	changed := false
	left := func(route RouteKey, services, kept []string) {
		for _, service := range services {
			if !slices.Contains(kept, service) {
				changed = r.Ended(RouteService{route, service, now}, now) || changed
			}
		}
	}
	for route, services := range before {
		left(route, services, after[route])
	}
	for route, services := range after {
		// A new route takes its paths from the one with the longest shorter prefix. Those with
		// longer prefixes keep theirs.
		if _, known := before[route]; !known {
			left(route, before[before.enclosing(route)], services)
		}
	}
	return changed
}

// enclosing returns the route with the longest prefix that begins that of another one.
func (r ResumableRoutes) enclosing(route RouteKey) RouteKey {
	best := RouteKey{}
	for other := range r {
		if other.Host == route.Host && strings.HasPrefix(route.Prefix, other.Prefix) && len(other.Prefix) > len(best.Prefix) {
			best = other
		}
	}
	return best
}

// Ended records that a route has stopped leading to a service, and reports whether that was
// new. The newest end counts.
func (r *RouteServices) Ended(e RouteService, now time.Duration) bool {
	key, at := routeService{e.Route, e.Service}, min(e.EndedAt, now)
	if now-at > routeServiceTTL || r.knows(key, at) || r.knows(dropped, at) {
		return false
	}
	if r.endedAt == nil {
		r.endedAt = map[routeService]time.Duration{}
	}
	r.endedAt[key] = at
	r.prune(now)
	return true
}

// knows reports whether an end is known, or is covered by a later one.
func (r *RouteServices) knows(key routeService, at time.Duration) bool {
	known, ok := r.endedAt[key]
	return ok && at <= known+routeEndTolerance
}

// Services returns the services that a stream may have begun at, whose path leads to a route
// now, beside those of the route. Also routes with a longer or a shorter prefix may have led
// there. known is false if there may be more.
func (r *RouteServices) Services(route RouteKey, now time.Duration) (services []string, known bool) {
	r.prune(now)
	for key := range r.endedAt {
		if key.route.Host == route.Host && (strings.HasPrefix(key.route.Prefix, route.Prefix) || strings.HasPrefix(route.Prefix, key.route.Prefix)) &&
			!slices.Contains(services, key.service) {
			services = append(services, key.service)
		}
	}
	slices.Sort(services)
	_, incomplete := r.endedAt[dropped]
	return services, !incomplete
}

// All returns all that is remembered.
func (r *RouteServices) All(now time.Duration) []RouteService {
	r.prune(now)
	var list []RouteService
	for key, at := range r.endedAt {
		list = append(list, RouteService{key.route, key.service, at})
	}
	return list
}

// prune removes what has expired, and the oldest ends of a full list.
func (r *RouteServices) prune(now time.Duration) {
	maps.DeleteFunc(r.endedAt, func(_ routeService, at time.Duration) bool { return now-at > routeServiceTTL })
	n := len(r.endedAt)
	if _, full := r.endedAt[dropped]; full {
		n--
	}
	if n <= maxRouteServices {
		return
	}
	var ends []time.Duration
	for key, at := range r.endedAt {
		if key != dropped {
			ends = append(ends, at)
		}
	}
	slices.Sort(ends)
	newest := ends[len(ends)-1-maxRouteServices]
	maps.DeleteFunc(r.endedAt, func(_ routeService, at time.Duration) bool { return at <= newest })
	r.endedAt[dropped] = newest
}
