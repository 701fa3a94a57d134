package feed

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
	"godwitward.example/godwitward/wal"
)

var testRoute = policy.RouteKey{Host: "h", Prefix: "/a/"}

// decodeTestRoutes decodes a document that lists the services of testRoute.
func decodeTestRoutes(body []byte) (policy.ResumableRoutes, error) {
	var services []string
	err := json.Unmarshal(body, &services)
	return policy.ResumableRoutes{testRoute: services}, errors.Wrap(err, "decoding routes")
}

func routesDocument(version uint64, services ...string) corestore.Document {
	body, _ := json.Marshal(services)
	return corestore.Document{Version: version, Body: body}
}

func (s *fakeStore) setDocument(d corestore.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = d
}

// newRoutesHub returns a hub that is connected to nothing. It has been told of another one,
// without which it would not state that anything is known.
func newRoutesHub(t require.TestingT, cleanup func(func()), stored *streamlog.Stored, firstStart bool) (*Hub, *fakeStore) {
	store := &fakeStore{members: []string{"127.0.0.1:1"}, hasQuorum: true}
	h := NewHub(HubOptions{
		Store: store, Self: "127.0.0.1:1", Logger: &log.Logger{Level: log.PanicLevel}, OnReport: func(*pb.UpstreamRecord) {},
		FirstStart: firstStart, Stored: stored, DecodeRoutes: decodeTestRoutes,
	}, transport.NewServer(transport.Options{}))
	cleanup(h.Stop)
	return h, store
}

// statedServices returns the services that a hub states for testRoute, and for how long
// everything is known.
func statedServices(h *Hub) (services []string, observed time.Duration, version uint64) {
	st := h.statedSince(0)
	for _, r := range st.routes {
		services = append(services, r.Service)
	}
	slices.Sort(services)
	return services, milliseconds(st.observedMs), st.routesVersion
}

// Guards against a hub that states for how long all services of routes are known although it
// has not learned of a configuration that was in force meanwhile.
func TestHubsStateOnlyRoutesThatTheyKnow(t *testing.T) {
	stored := func(version uint64) *streamlog.Stored {
		return &streamlog.Stored{Observed: 2 * time.Minute, RoutesVersion: version, Routes: []*pb.RouteService{{Host: "h", Prefix: "/a/", Service: "w", AgeMs: 1000}}}
	}
	for _, c := range []struct {
		name       string
		stored     *streamlog.Stored
		firstStart bool
		documents  []corestore.Document
		services   []string
		observed   bool
	}{
		{"first start", nil, true, []corestore.Document{routesDocument(3, "x")}, nil, true},
		{"first start, moved", nil, true, []corestore.Document{routesDocument(3, "x"), routesDocument(5, "y")}, []string{"x"}, true},
		{"disk lost", nil, false, []corestore.Document{routesDocument(3, "x")}, nil, false},
		{"same document after a restart", stored(3), false, []corestore.Document{routesDocument(3, "x")}, []string{"w"}, true},
		{"changed while down", stored(3), false, []corestore.Document{routesDocument(5, "y")}, []string{"w"}, false},
		{"changed after a restart", stored(3), false, []corestore.Document{routesDocument(3, "x"), routesDocument(5, "y")}, []string{"w", "x"}, true},
		{"no document yet", stored(3), false, nil, []string{"w"}, false},
		{"an older document is replayed", stored(3), false, []corestore.Document{routesDocument(2, "v")}, []string{"w"}, false},
		{"older documents are replayed", stored(3), false, []corestore.Document{routesDocument(2, "v"), routesDocument(3, "x")}, []string{"w"}, true},
		{"the stored document is skipped", stored(3), false, []corestore.Document{routesDocument(2, "v"), routesDocument(5, "y")}, []string{"w"}, false},
		{"undecodable", nil, true, []corestore.Document{routesDocument(3, "x"), {Version: 4, Body: []byte("?")}}, []string{"x"}, false},
		{"undecodable, then another one", nil, true, []corestore.Document{{Version: 4, Body: []byte("?")}, routesDocument(5, "x")}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, store := newRoutesHub(t, t.Cleanup, c.stored, c.firstStart)
			for _, d := range c.documents {
				store.setDocument(d)
				h.StoreChanged()
			}
			services, observed, _ := statedServices(h)
			require.Equal(t, c.services, services)
			require.Equal(t, c.observed, observed > time.Minute, "observed for %v", observed)
		})
	}
}

// Guards against a document that is sent to an entry while a newer one is learned, or before
// the one that the disk knows, and whose services nobody remembers.
func TestDocumentsThatAreSentAreLearned(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	h.learnRoutes(routesDocument(5, "y"), false)
	h.learnRoutes(routesDocument(3, "x"), false)
	services, _, _ := statedServices(h)
	require.Empty(t, services)
	h.learnRoutes(routesDocument(3, "x"), true)
	services, _, version := statedServices(h)
	require.Equal(t, []string{"x"}, services)
	require.Equal(t, uint64(5), version)
	h, _ = newRoutesHub(t, t.Cleanup, &streamlog.Stored{Observed: time.Hour, RoutesVersion: 5}, false)
	h.learnRoutes(routesDocument(3, "x"), true)
	h.learnRoutes(routesDocument(5, "y"), false)
	services, observed, _ := statedServices(h)
	require.Equal(t, []string{"x"}, services)
	require.Greater(t, observed, time.Minute)
}

// Guards against a hub that takes over another one's time although that one does not know
// the routes from which its own knowledge begins.
func TestObservedTimeOfAHubThatIsBehindIsNotTakenOver(t *testing.T) {
	h, store := newRoutesHub(t, t.Cleanup, nil, false)
	other := func(version uint64) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.mergeHistory(&pb.Gossip{ObservedMs: 120_000, RoutesVersion: version})
	}
	observed := func() bool {
		_, d, _ := statedServices(h)
		return d > time.Minute
	}
	other(9)
	require.False(t, observed(), "without a document")
	store.setDocument(routesDocument(5, "y"))
	h.StoreChanged()
	require.False(t, observed())
	other(4)
	require.False(t, observed())
	store.setDocument(routesDocument(6, "z"))
	h.StoreChanged()
	other(5)
	require.True(t, observed(), "both together know all routes")
}

// Guards against hubs that know different services after the same changes, whatever order
// they learn them in.
func TestHubsConvergeOnRoutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var hubs []*Hub
		var stops []func()
		defer func() {
			for _, stop := range stops {
				stop()
			}
		}()
		for range 3 {
			h, _ := newRoutesHub(rt, func(stop func()) { stops = append(stops, stop) }, nil, true)
			hubs = append(hubs, h)
		}
		names := []string{"u", "v", "w", "x", "y"}
		used := map[string]bool{}
		last := ""
		for version := range uint64(rapid.IntRange(1, 6).Draw(rt, "documents")) {
			last = rapid.SampledFrom(names).Draw(rt, "service")
			// A hub may skip a document, but whoever sends it has learned it.
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID).Draw(rt, "hubs") {
				hubs[i].learnRoutes(routesDocument(version+1, last), true)
			}
			used[last] = true
		}
		for _, h := range hubs {
			h.learnRoutes(routesDocument(100, "z"), true)
		}
		for range 2 {
			for _, i := range rand.Perm(3) {
				for _, j := range rand.Perm(3) {
					g := &pb.Gossip{}
					hubs[i].statedSince(0).addToGossip(g)
					hubs[j].mu.Lock()
					hubs[j].mergeHistory(g)
					hubs[j].mu.Unlock()
				}
			}
		}
		for _, h := range hubs {
			services, _, _ := statedServices(h)
			for name := range used {
				require.Contains(rt, services, name)
			}
		}
		generation := hubs[0].statedSince(0).generation
		for _, h := range hubs {
			g := &pb.Gossip{}
			h.statedSince(0).addToGossip(g)
			hubs[0].mu.Lock()
			hubs[0].mergeHistory(g)
			hubs[0].mu.Unlock()
		}
		require.Equal(rt, generation, hubs[0].statedSince(0).generation, "what is known is not passed on again")
	})
}

// Guards against services that a hub forgets when it ends, with or without streams.
func TestServicesOfRoutesSurviveARestart(t *testing.T) {
	dir := t.TempDir()
	start := func(firstStart bool, d corestore.Document) (*Hub, *fakeStore, func()) {
		l, stored, err := streamlog.Open(streamlog.Options{Dir: dir, FS: wal.OS{}, Logger: &log.Logger{Level: log.PanicLevel}})
		require.NoError(t, err)
		store := &fakeStore{members: []string{"127.0.0.1:1"}, hasQuorum: true, doc: d}
		h := NewHub(HubOptions{
			Store: store, Self: "127.0.0.1:1", Logger: &log.Logger{Level: log.PanicLevel}, OnReport: func(*pb.UpstreamRecord) {},
			FirstStart: firstStart, StreamLog: l, Stored: stored, DecodeRoutes: decodeTestRoutes,
		}, transport.NewServer(transport.Options{}))
		return h, store, func() {
			h.Stop()
			l.Close()
		}
	}
	h, store, stop := start(true, routesDocument(3, "x"))
	store.setDocument(routesDocument(5, "y"))
	h.StoreChanged()
	stop()
	h, _, stop = start(false, routesDocument(5, "y"))
	services, observed, version := statedServices(h)
	require.Equal(t, []string{"x"}, services)
	require.Greater(t, observed, time.Minute)
	require.Equal(t, uint64(5), version)
	stop()
	h, _, stop = start(false, routesDocument(8, "z"))
	services, observed, _ = statedServices(h)
	require.Equal(t, []string{"x"}, services)
	require.Less(t, observed, time.Minute, "y was in force until the hub ended, or longer")
	stop()
}

// Guards against an entry that believes a hub's time although its first document is newer
// than all that the hub knows, or while it knows of a newer document than its own.
func TestEntriesTakeOverOnlyTimesThatCoverTheirDocuments(t *testing.T) {
	s := &Subscriber{start: time.Now(), streams: map[*transport.Stream]*transport.Client{nil: nil}}
	var order []string
	s.opts.OnDocument = func(uint64, []byte) { order = append(order, "document") }
	s.opts.OnRouteServices = func([]*pb.RouteService) { order = append(order, "services") }
	long := uint32(120_000)
	update := func(u *pb.FeedUpdate) bool {
		u.Quorate = true
		s.apply(u)
		return s.VersionsObserved() > time.Minute
	}
	require.True(t, update(&pb.FeedUpdate{ObservedMs: long}), "no documents")
	require.False(t, update(&pb.FeedUpdate{Document: &pb.Document{Version: 5}, RouteServices: []*pb.RouteService{{Service: "x"}}, Version: 5, RoutesVersion: 5}))
	require.Equal(t, []string{"services", "document"}, order)
	require.False(t, update(&pb.FeedUpdate{ObservedMs: long, Version: 4, RoutesVersion: 4}))
	require.True(t, update(&pb.FeedUpdate{ObservedMs: long, Version: 5, RoutesVersion: 5}))
	require.False(t, update(&pb.FeedUpdate{ObservedMs: long, Version: 5, RoutesVersion: 5, NewestVersion: 6}))
	require.True(t, update(&pb.FeedUpdate{ObservedMs: long, Document: &pb.Document{Version: 6}, Version: 6, RoutesVersion: 6, NewestVersion: 6}))
}

// Guards against a hub, or an entry, that does not learn what an entry has applied.
func TestServicesThatAnEntryReportsReachAllEntries(t *testing.T) {
	h := startHubs(t, 3)
	reported := []*pb.RouteService{{Host: "h", Prefix: "/a/", Service: "x", AgeMs: 100}}
	first := Subscribe(SubscriberOptions{
		Seeds: func() []string { return h.members[:1] }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {}, RouteServices: func() []*pb.RouteService { return reported },
	})
	defer first.Stop()
	learned := make(chan string, 100)
	second := Subscribe(SubscriberOptions{
		Seeds: func() []string { return h.members[2:] }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {},
		OnRouteServices: func(list []*pb.RouteService) { learned <- list[0].Service },
	})
	defer second.Stop()
	select {
	case service := <-learned:
		require.Equal(t, "x", service)
	case <-time.After(5 * time.Second):
		t.Fatal("the entry did not learn of the service")
	}
	time.Sleep(3 * gossipDelay)
	require.LessOrEqual(t, len(learned), 2, "a list that has not changed is not sent again")
}
