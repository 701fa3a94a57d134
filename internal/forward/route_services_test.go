package forward

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// routesConfig returns a configuration with one streaming route below host.
func routesConfig(t *testing.T, version uint64, prefix string, resumable bool, split ...Share) *Config {
	c := &Config{Version: version, Services: map[string]*Service{}, Routes: []Route{{
		Name: "r", Host: "H.example", Prefix: prefix, Kind: Stream, Resumable: resumable, Timeout: time.Second, MaxAttempts: 1, Split: split,
	}}}
	for _, s := range split {
		c.Services[s.Service] = &Service{Name: s.Service}
	}
	require.NoError(t, c.Compile())
	return c
}

// Guards against a service at which a stream of a route may have begun and that an entry
// does not count: one of its split, or one that it led to before a change.
func TestPossibleServicesOfARoute(t *testing.T) {
	s := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}})
	defer s.Stop()
	possible := func() []string {
		services, known := s.possibleServices(s.config.Load().Match("h.EXAMPLE", "/a/x"))
		require.True(t, known)
		return services
	}
	s.SetConfig(routesConfig(t, 1, "/a/", true, Share{"x", 1}, Share{"y", 2}, Share{"unused", 0}))
	require.Equal(t, []string{"x", "y"}, possible())
	require.Empty(t, s.Outcomes().RouteServices)
	s.SetConfig(routesConfig(t, 2, "/", true, Share{"z", 1}))
	require.Equal(t, []string{"x", "y", "z"}, possible())
	require.Len(t, s.Outcomes().RouteServices, 2, "reported to the hubs")
	require.Empty(t, s.Outcomes().RouteServices, "once")
	require.Len(t, s.RouteServices(), 2)
	s.SetConfig(routesConfig(t, 3, "/a/", false, Share{"z", 1}))
	s.SetConfig(routesConfig(t, 4, "/a/", false, Share{"once", 1}))
	s.SetConfig(routesConfig(t, 5, "/a/", true, Share{"z", 1}))
	require.Equal(t, []string{"x", "y", "z"}, possible(), "streams of other routes are not taken up")

	started := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}})
	defer started.Stop()
	started.SetRouteServices(s.RouteServices())
	started.SetConfig(s.config.Load())
	s = started
	require.Equal(t, []string{"x", "y", "z"}, possible())
	s.SetRouteServices([]*pb.RouteService{{Host: "h.example", Prefix: "/a/", Service: "old", AgeMs: 70_000}, {Host: "h.example", Prefix: "/b/", Service: "other"}})
	require.Equal(t, []string{"x", "y", "z"}, possible())
	s.SetRouteServices([]*pb.RouteService{{}})
	_, known := s.possibleServices(s.config.Load().Match("h.example", "/a/x"))
	require.False(t, known, "hubs had more than they can list")
}
