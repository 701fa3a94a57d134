package feed

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/wal"
)

// startStoredHub starts the only hub of a core, which stores what it must in a folder. The returned
// function kills it: nothing more is written.
func startStoredHub(t *testing.T, dir string) (*Hub, func()) {
	discard := &log.Logger{Level: log.PanicLevel}
	l, stored, err := streamlog.Open(streamlog.Options{Dir: dir, FS: wal.OS{}, Logger: discard})
	require.NoError(t, err)
	const self = "127.0.0.1:1"
	h := NewHub(HubOptions{
		Store: &fakeStore{members: []string{self}, hasQuorum: true}, Peers: corestore.NewPeers(self, 1, transport.Options{Self: &pb.Hello{Vm: self}}), Self: self,
		Logger: discard, OnReport: func(*pb.UpstreamRecord) {}, StreamLog: l, Stored: stored,
	}, transport.NewServer(transport.Options{}))
	t.Cleanup(l.Close)
	return h, h.Stop
}

func report(phase pb.UpstreamPhase, sequence uint64) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{Id: "i-1", Service: "s", Address: "127.0.0.1:9", SoftwareVersion: "v1", BornMs: 5, Sequence: sequence, Phase: phase}
}

func phaseAt(h *Hub, id string) pb.UpstreamPhase {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Get(id).GetPhase()
}

// within is the time in which upstreams wait for an acknowledgement.
func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a process that has said that it drains or ends, and that a late report of its
// own makes ready again after all core daemons were killed.
func TestLateReportsDoNotReviveLeavingProcessesAfterARestart(t *testing.T) {
	cases := map[string]struct {
		leave func(h *Hub) error
		want  pb.UpstreamPhase
	}{
		"ends":                 {func(h *Hub) error { return h.AcceptLeave(within(t), "i-1", 5) }, pb.UpstreamPhase_UPSTREAM_GONE},
		"ends, start not told": {func(h *Hub) error { return h.AcceptLeave(within(t), "i-1", 0) }, pb.UpstreamPhase_UPSTREAM_GONE},
		"drains":               {func(h *Hub) error { return h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_DRAINING, 8)) }, pb.UpstreamPhase_UPSTREAM_DRAINING},
		"ends, told by another": {func(h *Hub) error {
			h.applyGossip(report(pb.UpstreamPhase_UPSTREAM_GONE, 6))
			return h.AcceptLeave(within(t), "i-1", 5)
		}, pb.UpstreamPhase_UPSTREAM_GONE},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			h, kill := startStoredHub(t, dir)
			require.NoError(t, h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_READY, 6)))
			require.NoError(t, c.leave(h))
			kill()
			for range 2 {
				h, kill = startStoredHub(t, dir)
				require.NoError(t, h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_READY, 7)))
				require.Equal(t, c.want, phaseAt(h, "i-1"))
				kill()
			}
		})
	}
}

// Guards against a notice that is acknowledged although nothing has stored it.
func TestNoticesThatAreNotStoredAreNotAcknowledged(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	require.NoError(t, h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_READY, 6)), "it is repeated")
	require.Error(t, h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_DRAINING, 7)))
	require.Error(t, h.AcceptLeave(within(t), "i-1", 5))
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, phaseAt(h, "i-1"), "the process leaves all the same")
}

// Guards against a process that is listed although its notice of leaving was acknowledged: the
// core did not know it, because all daemons had been killed or its first report is late.
func TestNoticesOfProcessesThatNoHubKnowsAreKept(t *testing.T) {
	for _, bornMs := range []int64{5, 0} {
		dir := t.TempDir()
		h, kill := startStoredHub(t, dir)
		require.NoError(t, h.AcceptLeave(within(t), "i-1", bornMs))
		for range 2 {
			require.NoError(t, h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_READY, 1)))
			require.NotEqual(t, pb.UpstreamPhase_UPSTREAM_READY, phaseAt(h, "i-1"))
			kill()
			h, kill = startStoredHub(t, dir)
		}
		kill()
	}
}

// Guards against entries that list a process which no hub knows any more, after its notice.
func TestNoticesReachEntriesThatAloneKnowTheProcess(t *testing.T) {
	for _, bornMs := range []int64{1, 0} {
		h := startHubs(t, 3)
		// The entry has its list from a core that was killed since.
		s, v := startSubscriber(t, h.members[:1])
		require.Eventually(t, func() bool { return s.Age() < time.Second }, 3*time.Second, 5*time.Millisecond)
		require.NoError(t, s.apply(&pb.FeedUpdate{Upstreams: []*pb.UpstreamRecord{record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY)}}))
		require.Equal(t, pb.UpstreamPhase_UPSTREAM_READY, v.phase("i-1"))
		h.hubs[2].Leave("i-1", bornMs)
		require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_GONE }, propagationTimeout, 2*time.Millisecond)
		// One that attaches later is told too.
		late, lateView := startSubscriber(t, h.members[1:2])
		require.NoError(t, late.apply(&pb.FeedUpdate{Upstreams: []*pb.UpstreamRecord{record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY)}}))
		require.Eventually(t, func() bool { return lateView.phase("i-1") == pb.UpstreamPhase_UPSTREAM_GONE }, 3*time.Second, 5*time.Millisecond)
	}
}

// Guards against notices without bound, and against one that is acknowledged although there was no
// room for it.
func TestNoticesWithoutRoomAreNotAcknowledged(t *testing.T) {
	h, kill := startStoredHub(t, t.TempDir())
	defer kill()
	var err error
	for i := 0; err == nil && i < 10_000; i++ {
		h.Leave(fmt.Sprint("x-", i), 0)
		if i%1000 == 0 || i > 4000 {
			err = h.AcceptLeave(within(t), fmt.Sprint("x-", i), 0)
		}
	}
	require.ErrorIs(t, err, errNotKept)
}

// startStoredHubs starts hubs that store what they must, and waits until they are connected. The
// returned function tells what a hub has on its disk.
func startStoredHubs(t *testing.T, n int) (*hubCluster, func(i int) []*pb.UpstreamRecord) {
	dirs := make([]string, n)
	open := func(i int) (*streamlog.Log, *streamlog.Stored) {
		l, stored, err := streamlog.Open(streamlog.Options{Dir: dirs[i], FS: wal.OS{}, Logger: &log.Logger{Level: log.PanicLevel}})
		require.NoError(t, err)
		return l, stored
	}
	h := startHubsWith(t, n, func(i int, o *HubOptions) {
		dirs[i] = t.TempDir()
		o.StreamLog, o.Stored = open(i)
		t.Cleanup(o.StreamLog.Close)
	})
	for _, hub := range h.hubs {
		require.Eventually(t, func() bool { return connectedHubs(hub) == n-1 }, 5*time.Second, 5*time.Millisecond)
	}
	return h, func(i int) []*pb.UpstreamRecord {
		l, stored := open(i)
		defer l.Close()
		return stored.Leaving
	}
}

func connectedHubs(h *Hub) (n int) {
	for _, address := range h.opts.Store.Members() {
		if address != h.opts.Self && h.opts.Peers.Client(address).Connected() {
			n++
		}
	}
	return n
}

// Guards against a notice, or a report that says the process drains, that is lost with the daemon
// which has acknowledged it: it waits there for its turn, or is on no other disk.
func TestAcknowledgedNoticesAreNotLostWithTheirDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(h *Hub) error
		want  pb.UpstreamPhase
	}{
		"ends":            {func(h *Hub) error { return h.AcceptLeave(within(t), "i-1", 5) }, pb.UpstreamPhase_UPSTREAM_GONE},
		"drains":          {func(h *Hub) error { return h.AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_DRAINING, 2)) }, pb.UpstreamPhase_UPSTREAM_DRAINING},
		"ends, not known": {func(h *Hub) error { return h.AcceptLeave(within(t), "i-2", 0) }, pb.UpstreamPhase_UPSTREAM_GONE},
		"drains, not known": {func(h *Hub) error {
			r := report(pb.UpstreamPhase_UPSTREAM_DRAINING, 2)
			r.Id = "i-2"
			return h.AcceptReport(within(t), r)
		}, pb.UpstreamPhase_UPSTREAM_DRAINING},
	} {
		t.Run(name, func(t *testing.T) {
			h, onDisk := startStoredHubs(t, 5)
			h.hubs[1].Report(report(pb.UpstreamPhase_UPSTREAM_READY, 1))
			for _, hub := range h.hubs {
				require.Eventually(t, func() bool { return phaseAt(hub, "i-1") == pb.UpstreamPhase_UPSTREAM_READY }, 5*time.Second, time.Millisecond)
			}
			// Its next messages wait until minUpdateInterval after this change.
			h.hubs[0].Report(&pb.UpstreamRecord{Id: "other", Service: "s", Address: "127.0.0.1:8", Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: 1, Sequence: 1})
			time.Sleep(minUpdateInterval / 8)
			require.NoError(t, c.leave(h.hubs[0]))
			h.hubs[0].Stop()
			h.servers[0].Close()
			stored := 0
			for i := 1; i < 5; i++ {
				for _, r := range onDisk(i) {
					if r.Phase == c.want {
						stored++
						break
					}
				}
			}
			require.GreaterOrEqual(t, stored, 2, "with the daemon itself a majority")
			for _, hub := range h.hubs[1:] {
				require.Eventually(t, func() bool {
					hub.mu.Lock()
					defer hub.mu.Unlock()
					return hub.table.Get("i-1").GetPhase() == c.want || hub.table.Get("i-2").GetPhase() == c.want || len(hub.table.Notices(hub.now())) > 0
				}, propagationTimeout, time.Millisecond)
			}
		})
	}
}

// Guards against a notice that a daemon acknowledges which cannot store it at a majority, and
// against an answer that comes when the upstream has given up.
func TestNoticesWithoutAMajorityAreNotAcknowledged(t *testing.T) {
	h, _ := startStoredHubs(t, 5)
	h.hubs[0].Report(report(pb.UpstreamPhase_UPSTREAM_READY, 1))
	for _, s := range h.servers[3:] {
		s.Close()
	}
	require.Eventually(t, func() bool { return connectedHubs(h.hubs[0]) == 2 }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, h.hubs[0].AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_DRAINING, 2)), "control: three of five")
	h.servers[2].Close()
	require.Eventually(t, func() bool { return connectedHubs(h.hubs[0]) == 1 }, 5*time.Second, 5*time.Millisecond)
	began := time.Now()
	require.ErrorContains(t, h.hubs[0].AcceptLeave(within(t), "i-1", 5), "of 5 core daemons")
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, phaseAt(h.hubs[0], "i-1"), "the process leaves all the same")
	require.NoError(t, h.hubs[0].AcceptReport(within(t), report(pb.UpstreamPhase_UPSTREAM_DRAINING, 3)), "a majority has stored that it drains")
	h.stores[0].setMembers(h.members[:1])
	h.stores[0].set(1, false)
	require.ErrorIs(t, h.hubs[0].AcceptLeave(within(t), "i-1", 5), errNotMember)
}

// Guards against an upgrade in which no notice is acknowledged until most core daemons are new.
func TestHubsThatCannotStoreNoticesDoNotCount(t *testing.T) {
	h, _ := startStoredHubs(t, 3)
	for i, s := range h.servers[1:] {
		h.hubs[1+i].Stop()
		s.Close()
	}
	members := []string{h.members[0]}
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := transport.NewServer(transport.Options{OmitLevel: true})
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Close)
		members = append(members, l.Addr().String())
	}
	h.stores[0].setMembers(members)
	require.Eventually(t, func() bool {
		for _, address := range members[1:] {
			if !h.hubs[0].opts.Peers.Client(address).Connected() {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, h.hubs[0].AcceptLeave(within(t), "i-1", 5))
}
