package feed

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
)

// propagationTimeout is the time in which a change must reach an attached entry:
// a quarter of the 2 s in which an upstream whose leave was acknowledged may
// still receive requests.
const propagationTimeout = 500 * time.Millisecond

// fakeStore is a Store whose document and quorum a test sets.
type fakeStore struct {
	mu        sync.Mutex
	doc       corestore.Document
	hasQuorum bool
	members   []string
	leads     bool
}

func (s *fakeStore) Current() corestore.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc
}

func (s *fakeStore) HasQuorum() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasQuorum
}

func (s *fakeStore) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *fakeStore) setMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
}

func (s *fakeStore) Leader() (string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[0], 4, s.leads
}

func (s *fakeStore) lead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leads = true
}

func (s *fakeStore) set(version uint64, hasQuorum bool) { s.setDoc(version, hasQuorum) }

func (s *fakeStore) setDoc(version uint64, hasQuorum bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doc = corestore.Document{Version: version, Body: []byte("body")}
	s.hasQuorum = hasQuorum
}

// hubCluster is a set of connected hubs on loopback addresses.
type hubCluster struct {
	hubs    []*Hub
	stores  []*fakeStore
	servers []*transport.Server
	members []string
}

func startHubs(t *testing.T, n int) *hubCluster {
	return startHubsWith(t, n, func(int, *HubOptions) {})
}

// startHubsWith starts hubs whose options set changes.
func startHubsWith(t *testing.T, n int, set func(i int, o *HubOptions)) *hubCluster {
	h := &hubCluster{}
	discard := &log.Logger{Level: log.PanicLevel}
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		h.members = append(h.members, l.Addr().String())
	}
	for i, l := range listeners {
		port := netip.MustParseAddrPort(h.members[i]).Port()
		server := transport.NewServer(transport.Options{})
		peers := corestore.NewPeers(h.members[i], port, transport.Options{Self: &pb.Hello{Vm: h.members[i]}})
		store := &fakeStore{members: h.members, hasQuorum: true}
		opts := HubOptions{Store: store, Peers: peers, Self: h.members[i], Logger: discard, OnReport: func(*pb.UpstreamRecord) {}}
		set(i, &opts)
		hub := NewHub(opts, server)
		go func() { _ = server.Serve(l) }()
		h.hubs, h.stores, h.servers = append(h.hubs, hub), append(h.stores, store), append(h.servers, server)
		t.Cleanup(func() {
			hub.Stop()
			peers.Close()
			server.Close()
		})
	}
	return h
}

// Guards against a message to every other hub for each report that changes nothing,
// and against visible changes that wait for others.
func TestReportsAreGossipedInBatches(t *testing.T) {
	h := startHubs(t, 2)
	report := func(sequence uint64, phase pb.UpstreamPhase) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: "i-1", Service: "s", Address: "10.0.0.1:80", Phase: phase, BornMs: 1, Sequence: sequence}
	}
	seen := func(sequence uint64) func() bool {
		return func() bool {
			for _, r := range h.hubs[1].Records() {
				if r.Id == "i-1" && r.Sequence == sequence {
					return true
				}
			}
			return false
		}
	}
	h.hubs[0].Report(report(1, pb.UpstreamPhase_UPSTREAM_READY))
	require.Eventually(t, seen(1), 5*time.Second, time.Millisecond)
	before, began := h.hubs[1].GossipReceived(), time.Now()
	const reports = 400
	for i := range uint64(reports) {
		h.hubs[0].Report(report(2+i, pb.UpstreamPhase_UPSTREAM_READY))
		time.Sleep(time.Millisecond)
	}
	require.Eventually(t, seen(1+reports), time.Second, time.Millisecond)
	allowed := int64(time.Since(began)/gossipDelay) + 3
	require.LessOrEqual(t, h.hubs[1].GossipReceived()-before, allowed)

	time.Sleep(minUpdateInterval)
	changedAt := time.Now()
	h.hubs[0].Report(report(3+reports, pb.UpstreamPhase_UPSTREAM_DRAINING))
	require.Eventually(t, seen(3+reports), time.Second, time.Millisecond)
	require.Less(t, time.Since(changedAt), gossipDelay/2, "a visible change is sent at once")
}

// Guards against a message to each entry for each upstream when all of them appear
// at once, as after a restart of the whole system.
func TestUpstreamsThatAppearTogetherAreSentTogether(t *testing.T) {
	h := startHubs(t, 1)
	var updates atomic.Int64
	known := make(chan struct{})
	const upstreams = 2000
	seen := map[string]bool{}
	subscriber := Subscribe(SubscriberOptions{
		Seeds: func() []string { return h.members }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {},
		OnUpstreams: func(records []*pb.UpstreamRecord) {
			updates.Add(1)
			for _, r := range records {
				seen[r.Id] = true
			}
			if len(seen) == upstreams {
				close(known)
			}
		},
	})
	defer subscriber.Stop()
	require.Eventually(t, func() bool { return subscriber.Age() < time.Second }, 5*time.Second, time.Millisecond)
	began := time.Now()
	for i := range upstreams {
		h.hubs[0].Report(&pb.UpstreamRecord{Id: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1, Sequence: 1})
		time.Sleep(200 * time.Microsecond)
	}
	select {
	case <-known:
	case <-time.After(5 * time.Second):
		t.Fatal("not all upstreams became known")
	}
	require.LessOrEqual(t, updates.Load(), int64(time.Since(began)/minUpdateInterval)+3)
}

// entryView is the state that one subscriber has received.
type entryView struct {
	mu      sync.Mutex
	version uint64
	phases  map[string]pb.UpstreamPhase
	silent  map[string]bool
}

func startSubscriber(t *testing.T, seeds []string) (*Subscriber, *entryView) {
	v := &entryView{phases: map[string]pb.UpstreamPhase{}, silent: map[string]bool{}}
	subscriber := Subscribe(SubscriberOptions{
		Seeds: func() []string { return seeds }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(version uint64, _ []byte) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.version = version
		},
		OnUpstreams: func(records []*pb.UpstreamRecord) {
			v.mu.Lock()
			defer v.mu.Unlock()
			for _, r := range records {
				v.phases[r.Id], v.silent[r.Id] = r.Phase, r.Silent
			}
		},
	})
	t.Cleanup(subscriber.Stop)
	return subscriber, v
}

func (v *entryView) phase(id string) pb.UpstreamPhase {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.phases[id]
}

func record(id string, sequence uint64, phase pb.UpstreamPhase) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{Id: id, Service: "s", Address: "10.0.0.1:80", BornMs: 1, Sequence: sequence, Phase: phase}
}

// An upstream that drains must get no new work from an entry, also if it reports
// the draining to a core daemon to which the entry is not attached.
func TestDrainReachesEntriesOfAllHubs(t *testing.T) {
	h := startHubs(t, 3)
	_, v := startSubscriber(t, h.members[:1])
	h.hubs[2].Report(record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY))
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_READY }, 3*time.Second, 5*time.Millisecond)
	h.hubs[1].Report(record("i-1", 2, pb.UpstreamPhase_UPSTREAM_DRAINING))
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_DRAINING }, propagationTimeout, 2*time.Millisecond)
	h.hubs[0].Leave("i-1", 1)
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_GONE }, propagationTimeout, 2*time.Millisecond)
}

// A new configuration must reach the entries, and an older one must never replace
// it.
func TestOlderDocumentIsIgnored(t *testing.T) {
	h := startHubs(t, 2)
	_, v := startSubscriber(t, h.members)
	version := func() uint64 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.version
	}
	h.stores[0].set(5, true)
	h.hubs[0].StoreChanged()
	require.Eventually(t, func() bool { return version() == 5 }, 3*time.Second, 5*time.Millisecond)
	h.stores[1].set(3, true)
	h.hubs[1].StoreChanged()
	time.Sleep(2 * heartbeatInterval)
	require.Equal(t, uint64(5), version())
}

// Guards against an entry that stays with an old configuration because both of its
// hubs hear the leader but do not receive the leader's log.
func TestEntryLeavesHubsThatAreBehind(t *testing.T) {
	// configBound is the time in which an accepted configuration is in force.
	const configBound = 2 * time.Second
	h := startHubs(t, 5)
	for i := range h.hubs {
		h.stores[i].set(3, true)
	}
	_, v := startSubscriber(t, h.members[:2])
	version := func() uint64 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.version
	}
	require.Eventually(t, func() bool { return version() == 3 && h.hubs[0].entryCount() > 0 && h.hubs[1].entryCount() > 0 }, 3*time.Second, 5*time.Millisecond)
	for i := 2; i < 5; i++ {
		h.stores[i].set(5, true)
		h.hubs[i].StoreChanged()
	}
	require.Eventually(t, func() bool { return version() == 5 }, configBound, 5*time.Millisecond)
}

// A hub that stops or loses contact with the leader must not leave entries
// without updates.
func TestSubscriberLeavesHubsWithoutLeader(t *testing.T) {
	h := startHubs(t, 3)
	subscriber, v := startSubscriber(t, h.members)
	require.Eventually(t, func() bool { return subscriber.Age() < time.Second }, 3*time.Second, 5*time.Millisecond)
	h.stores[0].set(0, false)
	h.servers[1].Close()
	require.Eventually(t, func() bool {
		h.hubs[2].Report(record("i-9", uint64(time.Now().UnixNano()), pb.UpstreamPhase_UPSTREAM_READY))
		return v.phase("i-9") == pb.UpstreamPhase_UPSTREAM_READY && subscriber.Age() < time.Second
	}, 6*time.Second, 50*time.Millisecond)
	address, term, known := subscriber.Leader()
	require.True(t, known)
	require.Equal(t, h.members[0], address)
	require.Equal(t, uint64(4), term)
}

// Each entry uses its share of a common budget, so an entry must not be counted
// once for each hub to which it is attached.
func TestEntriesAreCountedOnce(t *testing.T) {
	h := startHubs(t, 3)
	var last *Subscriber
	for range 4 {
		last, _ = startSubscriber(t, h.members)
	}
	require.Eventually(t, func() bool { return last.Entries() == 4 }, 5*time.Second, 20*time.Millisecond)
}

// Guards against a data race, found by the soak test: an entry read a record while
// the subscriber marked the same record as silent.
func TestMergedRecordsAreNotModified(t *testing.T) {
	subscriber := &Subscriber{table: fleet.NewTable(), silent: map[string]bool{}, start: time.Now()}
	first := subscriber.merge([]*pb.UpstreamRecord{record("a", 1, pb.UpstreamPhase_UPSTREAM_READY)}, true)
	require.Len(t, first, 1)
	silent := record("a", 1, pb.UpstreamPhase_UPSTREAM_READY)
	silent.Silent = true
	second := subscriber.merge([]*pb.UpstreamRecord{silent}, true)
	require.Len(t, second, 1)
	require.True(t, second[0].Silent)
	require.False(t, first[0].Silent)
	require.Empty(t, subscriber.merge([]*pb.UpstreamRecord{silent}, true))
}
