package feed

import (
	"context"
	"fmt"
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
