package forward

import (
	"slices"
	"strings"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// routeServices is what the entry knows of the services that routes have left.
type routeServices struct {
	mu    sync.Mutex
	known policy.RouteServices
	// unreported is set when the hubs may not know what a change of the configuration ended.
	unreported bool
}

func (r *Route) key() policy.RouteKey {
	return policy.RouteKey{Host: strings.ToLower(r.Host), Prefix: r.Prefix}
}

// services returns the services that get requests of the route.
func (r *Route) services() []string {
	var list []string
	for _, s := range r.Split {
		if s.Weight > 0 && !slices.Contains(list, s.Service) {
			list = append(list, s.Service)
		}
	}
	return list
}

// ResumableRoutes returns the routes on which streams may be resumed.
func (c *Config) ResumableRoutes() policy.ResumableRoutes {
	routes := policy.ResumableRoutes{}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == Stream && r.Resumable {
			routes[r.key()] = r.services()
		}
	}
	return routes
}

// endRoutes records what a new configuration ends, before it is in force.
func (s *Server) endRoutes(old, next *Config) {
	if old == nil {
		return
	}
	l := &s.routeServices
	l.mu.Lock()
	changed := l.known.Applied(old.ResumableRoutes(), next.ResumableRoutes(), s.now())
	l.unreported = l.unreported || changed
	l.mu.Unlock()
	if changed {
		s.reportNow.signal()
	}
}

// SetRouteServices adds services that hubs know routes to have left.
func (s *Server) SetRouteServices(list []*pb.RouteService) {
	l := &s.routeServices
	l.mu.Lock()
	defer l.mu.Unlock()
	now := s.now()
	for _, m := range list {
		l.known.Ended(policy.RouteService{
			Route: policy.RouteKey{Host: m.Host, Prefix: m.Prefix}, Service: m.Service, EndedAt: now - time.Duration(m.AgeMs)*time.Millisecond,
		}, now)
	}
}

// RouteServices returns the services that the entry knows routes to have left.
func (s *Server) RouteServices() []*pb.RouteService {
	l := &s.routeServices
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.encodeRouteServices()
}

// takeRouteServices returns what is to be reported: all that is known, or nothing.
func (s *Server) takeRouteServices() []*pb.RouteService {
	l := &s.routeServices
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreported {
		return nil
	}
	l.unreported = false
	return s.encodeRouteServices()
}

// encodeRouteServices encodes all that is known. The caller holds the lock.
func (s *Server) encodeRouteServices() []*pb.RouteService {
	var out []*pb.RouteService
	now := s.now()
	for _, e := range s.routeServices.known.All(now) {
		out = append(out, &pb.RouteService{Host: e.Route.Host, Prefix: e.Route.Prefix, Service: e.Service, AgeMs: uint32(max(0, now-e.EndedAt).Milliseconds())})
	}
	return out
}

// SoftwareTellsRun reports whether upstreams of a service that are chosen by their software
// alone go on with each other's runs, as far as the entry knows.
func (s *Server) SoftwareTellsRun(service string) bool {
	now := s.now()
	if c := s.config.Load(); c != nil {
		s.routeServices.mu.Lock()
		shared := c.ResumableRoutes().Shared(&s.routeServices.known, now)
		s.routeServices.mu.Unlock()
		if shared[service] {
			return false
		}
	}
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	history := l.history[service]
	return history == nil || history.SoftwareTellsRun(now)
}

// possibleServices returns all services at which a stream of the route may have begun within
// the time for which streams are remembered. known is false if there may be others. It tells
// what this entry has been told: for how long that is all of it, the source of stream
// versions knows.
func (s *Server) possibleServices(route *Route) (services []string, known bool) {
	l := &s.routeServices
	l.mu.Lock()
	left, known := l.known.Services(route.key(), s.now())
	l.mu.Unlock()
	services = append(route.services(), left...)
	slices.Sort(services)
	return slices.Compact(services), known
}
