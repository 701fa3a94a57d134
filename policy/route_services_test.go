package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func resumable(routes map[string]string) ResumableRoutes {
	r := ResumableRoutes{}
	for prefix, services := range routes {
		r[RouteKey{"h", prefix}] = strings.Fields(services)
	}
	return r
}

// Guards against a service that a path led to before a change of the routes and that is
// not listed for the route to which the path leads now.
func TestServicesThatRoutesHaveLeft(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after map[string]string
		route         string
		want          []string
	}{
		{"unchanged", map[string]string{"/a/": "x y"}, map[string]string{"/a/": "y x"}, "/a/", nil},
		{"moved", map[string]string{"/a/": "x"}, map[string]string{"/a/": "y"}, "/a/", []string{"x"}},
		{"split", map[string]string{"/a/": "x"}, map[string]string{"/a/": "x y"}, "/a/", nil},
		{"split ended", map[string]string{"/a/": "x y"}, map[string]string{"/a/": "x"}, "/a/", []string{"y"}},
		{"longer route added", map[string]string{"/a/": "x"}, map[string]string{"/a/": "x", "/a/b/": "y"}, "/a/b/", []string{"x"}},
		{"longer route added, the shorter one", map[string]string{"/": "z", "/a/": "x"}, map[string]string{"/": "z", "/a/": "x", "/a/b/": "y"}, "/", []string{"x"}},
		{"longer route removed", map[string]string{"/a/": "x", "/a/b/": "y"}, map[string]string{"/a/": "x"}, "/a/", []string{"y"}},
		{"route removed", map[string]string{"/a/": "x"}, map[string]string{}, "/a/", []string{"x"}},
		{"other route moved", map[string]string{"/a/": "x", "/b/": "x"}, map[string]string{"/a/": "x", "/b/": "y"}, "/a/", nil},
		{"shorter route moved", map[string]string{"/": "x"}, map[string]string{"/": "y"}, "/a/", []string{"x"}},
		{"first route of its paths", map[string]string{}, map[string]string{"/a/": "x"}, "/a/", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := RouteServices{}
			require.Equal(t, len(c.want) > 0 || c.name == "other route moved", r.Applied(resumable(c.before), resumable(c.after), time.Hour))
			services, known := r.Services(RouteKey{"h", c.route}, time.Hour+time.Minute)
			require.True(t, known)
			require.Equal(t, c.want, services)
			services, _ = r.Services(RouteKey{"other", c.route}, time.Hour)
			require.Empty(t, services)
			require.Empty(t, r.All(time.Hour+routeServiceTTL+1))
		})
	}
}

// match returns the services of the route with the longest prefix of a path.
func (r ResumableRoutes) match(path string) []string {
	return r[r.enclosing(RouteKey{"h", path})]
}

func drawRoutes(t *rapid.T) ResumableRoutes {
	r := ResumableRoutes{}
	for _, prefix := range []string{"/", "/a/", "/a/a/", "/b/"} {
		if services := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), 0, 2, rapid.ID).Draw(t, prefix); len(services) > 0 {
			r[RouteKey{"h", prefix}] = services
		}
	}
	return r
}

// Guards against a service that is forgotten in a series of changes although a stream that
// began there within the last minute may be taken up.
func TestServicesOfTheLastMinuteAreListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := []string{"/p", "/a/p", "/a/a/p", "/b/p"}
		r, current, now := RouteServices{}, drawRoutes(t), time.Duration(0)
		type beginning struct {
			path, service string
		}
		lastAt := map[beginning]time.Duration{}
		begin := func() {
			for _, path := range paths {
				for _, service := range current.match(path) {
					lastAt[beginning{path, service}] = now
				}
			}
		}
		for range rapid.IntRange(0, 12).Draw(t, "changes") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			begin()
			next := drawRoutes(t)
			r.Applied(current, next, now)
			current = next
		}
		now += time.Duration(rapid.IntRange(0, 62).Draw(t, "seconds")) * time.Second
		changedAt := now
		for b, at := range lastAt {
			services := current.match(b.path)
			if len(services) == 0 || now-at > streamVersionTTL {
				continue
			}
			listed, known := r.Services(current.enclosing(RouteKey{"h", b.path}), now)
			require.True(t, known)
			require.Contains(t, append(listed, services...), b.service, "path %s", b.path)
		}
		r.Applied(current, current, changedAt)
		require.Empty(t, r.All(changedAt+routeServiceTTL+1), "without changes nothing is listed")
	})
}

// Guards against daemons that know different services of a route because they have learned
// of changes in another order, and against ends that they pass on to each other for ever.
func TestRouteServicesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		var list []RouteService
		n := rapid.IntRange(1, 2*maxRouteServices).Draw(t, "n")
		for range n {
			list = append(list, RouteService{RouteKey{"h", fmt.Sprintf("/%d/", rapid.IntRange(0, n).Draw(t, "route"))}, "x", now - time.Duration(rapid.IntRange(0, 70).Draw(t, "age"))*time.Second})
		}
		var daemons [3]RouteServices
		for i := range daemons {
			for _, e := range rapid.Permutation(list).Draw(t, "order") {
				daemons[i].Ended(e, now)
			}
		}
		for round := range 4 {
			changed := false
			for i := range daemons {
				for j := range daemons {
					for _, e := range daemons[i].All(now) {
						e.EndedAt += time.Millisecond
						changed = i != j && daemons[j].Ended(e, now) || changed
					}
				}
			}
			if !changed {
				break
			}
			require.Less(t, round, 3, "ends are passed on for ever")
		}
		for _, e := range list {
			if now-e.EndedAt > streamVersionTTL {
				continue
			}
			for i := range daemons {
				covered := slices.ContainsFunc(daemons[i].All(now), func(k RouteService) bool {
					return (k.Route == e.Route || k.Route == RouteKey{}) && k.EndedAt+routeServiceTTL >= e.EndedAt+streamVersionTTL
				})
				require.True(t, covered, "a daemon has forgotten %v", e)
			}
		}
	})
}

// Guards against a list that grows without bound, and against one that is taken for complete
// after it was full.
func TestFullListOfRouteServicesIsNotComplete(t *testing.T) {
	r := RouteServices{}
	for i := range maxRouteServices {
		r.Ended(RouteService{RouteKey{"h", fmt.Sprintf("/%d/", i)}, "x", 0}, 0)
	}
	_, known := r.Services(RouteKey{"h", "/new/"}, 0)
	require.True(t, known)
	for i := range maxRouteServices {
		r.Ended(RouteService{RouteKey{"h", fmt.Sprintf("/%d/", i)}, "y", 20 * time.Second}, 20*time.Second)
	}
	require.LessOrEqual(t, len(r.All(20*time.Second)), maxRouteServices+1)
	services, known := r.Services(RouteKey{"h", "/7/"}, streamVersionTTL)
	require.False(t, known, "the oldest were dropped")
	require.Equal(t, []string{"y"}, services)
	services, known = r.Services(RouteKey{"h", "/7/"}, 20*time.Second+streamVersionTTL)
	require.True(t, known)
	require.Equal(t, []string{"y"}, services)
	big := resumable(nil)
	for i := range 2 * maxRouteServices {
		big[RouteKey{"h", fmt.Sprintf("/%d/", i)}] = []string{"x"}
	}
	r.Applied(big, resumable(nil), 2*time.Hour)
	_, known = r.Services(RouteKey{"h", "/1/"}, 2*time.Hour)
	require.False(t, known)
	_, known = r.Services(RouteKey{"h", "/1/"}, 2*time.Hour+routeServiceTTL+1)
	require.True(t, known)
}
