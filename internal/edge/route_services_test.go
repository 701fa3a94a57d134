package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

// streamLifetime is the time for which streams are remembered.
const streamLifetime = time.Minute

// propagationTime is the time in which a configuration reaches attached entries.
const propagationTime = 500 * time.Millisecond

// store stores a configuration at a hub.
func (s *testSystem) store(hub, version int, service string) {
	d := testDocument(s.t, version, service)
	s.stores[hub].document.Store(&d)
	s.hubs[hub].StoreChanged()
}

// restartEntry ends the process of an entry and starts it again.
func (s *testSystem) restartEntry(i int) {
	s.stopEntry[i]()
	s.startEntry(i)
}

// leftServices returns the services that an entry knows the route of resumable streams to
// have left. complete is set if it knows all of the last minute.
func (s *testSystem) leftServices(entry int) (services map[string]*pb.RouteService, complete bool) {
	services = map[string]*pb.RouteService{}
	for _, r := range s.servers[entry].RouteServices() {
		require.Equal(s.t, "h.example", r.Host)
		require.Equal(s.t, "/draft/", r.Prefix, "streams of the other routes are not resumed")
		services[r.Service] = r
	}
	return services, s.subscribers[entry].VersionsObserved() >= streamLifetime
}

// requireLeft waits until an entry knows all services of the last minute, and checks that
// services is what the route has left.
func (s *testSystem) requireLeft(entry int, services ...string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		_, complete := s.leftServices(entry)
		return complete
	}, 5*time.Second, time.Millisecond)
	left, _ := s.leftServices(entry)
	require.Len(s.t, left, len(services))
	for _, service := range services {
		require.Contains(s.t, left, service)
		require.Less(s.t, left[service].AgeMs, uint32(20_000), "the service counts from the change on, not from before")
	}
}

// Guards against an entry that has started after a route was moved and that takes the
// service of the newest configuration for the only one: streams that began before go on
// there.
func TestEntriesThatStartKnowTheServicesThatRoutesHaveLeft(t *testing.T) {
	s := newTestSystem(t, 3, 4)
	s.requireLeft(0)
	for i := range s.hubs {
		s.store(i, 3, "llm2")
	}
	s.restartEntry(0)
	s.requireLeft(0, "llm")
	time.Sleep(propagationTime)
	for i := range s.entries {
		s.requireLeft(i, "llm")
	}

	// Hubs 1 and 2 skip a configuration that entries at hub 0 get.
	s.store(0, 4, "llm3")
	time.Sleep(propagationTime)
	for i := range s.hubs {
		s.store(i, 7, "llm2")
	}
	time.Sleep(propagationTime)
	s.document = testDocument(t, 7, "llm2")
	for i := range s.entries {
		s.restartEntry(i)
		s.requireLeft(i, "llm", "llm2", "llm3")
	}

	// All processes end, and one disk is lost.
	for _, stop := range s.stopEntry {
		stop()
	}
	s.restartHubs(1)
	for i := range s.entries {
		s.startEntry(i)
		s.requireLeft(i, "llm", "llm2", "llm3")
	}
}

// Guards against an entry that takes all services for known although a configuration was in
// force that no process in the system has seen.
func TestServicesThatNoProcessKnowsAreNotTakenForNone(t *testing.T) {
	s := newTestSystem(t, 3, 2)
	s.requireLeft(0)
	for _, stop := range s.stopEntry {
		stop()
	}
	s.document = testDocument(t, 9, "llm2")
	s.restartHubs()
	s.startEntry(0)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		_, complete := s.leftServices(0)
		require.False(t, complete)
	}
	require.Positive(t, s.subscribers[0].VersionsObserved(), "the time begins with the first configuration")
}

// startServiceEngine starts an engine of a service whose events name the service. All engines
// have the same software version.
func (v *versionTest) startServiceEngine(service string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(v.t, err)
	r := &standin.Runner{ID: "i-" + service, Service: service, Stage: standin.StageDecode, Version: service, ServiceTime: versionInterval, Events: versionEvents,
		OnArrival: func(standin.Run) {}, OnStart: func(standin.Run) {}}
	r.Start(l)
	v.t.Cleanup(r.Stop)
	v.hubs[0].Report(&pb.UpstreamRecord{Id: r.ID, Service: service, Address: l.Addr().String(), SoftwareVersion: "v1",
		Phase: pb.UpstreamPhase_UPSTREAM_READY, Stage: pb.EngineStage_ENGINE_STAGE_DECODE, BornMs: r.StartMs, Sequence: 1, Slots: 8})
}

// Guards against streams that their callers do not name and that go on at the service to
// which their route was moved, at entries that have started since.
func TestUnnamedStreamsOfAMovedRouteAreNotJoinedAtNewEntries(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4), anonymous: true}
	v.startServiceEngine("llm")
	v.startServiceEngine("llm2")
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(8, func() {
		for i := range v.hubs {
			v.store(i, 3, "llm2")
		}
	})
	require.Equal(t, len(list), countStreams(list, func(s *versionStream) bool { return s.began != "" }))
	require.Zero(t, countStreams(list, (*versionStream).joined), "of %d streams", len(list))
	for _, s := range list {
		require.Equal(t, http.StatusServiceUnavailable, s.status)
	}
}
