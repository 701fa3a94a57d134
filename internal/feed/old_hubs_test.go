package feed

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// oldHub behaves as the hubs of bb1a31f: it keeps, passes on and answers with the id, the
// software version, the number and the age of a record only.
type oldHub struct {
	address string
	server  *transport.Server
	members []string

	mu      sync.Mutex
	records map[string]*pb.StreamVersion
	peers   []*transport.Stream
}

// startOldHub starts a hub of the members, its own address being among them.
func startOldHub(t *testing.T, l net.Listener, members []string) *oldHub {
	h := &oldHub{address: l.Addr().String(), server: transport.NewServer(transport.Options{OmitLevel: true}), members: members, records: map[string]*pb.StreamVersion{}}
	h.server.Handle(transport.MethodFeed, h.serveFeed)
	h.server.Handle(transport.MethodGossip, func(ctx context.Context, st *transport.Stream) error {
		for {
			g := &pb.Gossip{}
			if err := st.Recv(g); err != nil {
				return err
			}
			h.keep(g.StreamVersions, false)
		}
	})
	transport.HandleUnary(h.server, transport.MethodStreamVersion, func(_ context.Context, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		m := h.records[req.Id]
		return &pb.StreamVersionResponse{SoftwareKnown: m != nil, SoftwareVersion: m.GetVersion()}, nil
	})
	go func() { _ = h.server.Serve(l) }()
	t.Cleanup(h.server.Close)
	for _, address := range members {
		if address != h.address {
			go h.gossipTo(t, address)
		}
	}
	return h
}

func (h *oldHub) serveFeed(ctx context.Context, st *transport.Stream) error {
	req := &pb.FeedRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	h.keep(req.StreamVersions, true)
	go func() {
		for {
			report := &pb.OutcomeReport{}
			if st.Recv(report) != nil {
				return
			}
			h.keep(report.StreamVersions, true)
		}
	}()
	for ctx.Err() == nil {
		if err := st.Send(&pb.FeedUpdate{Quorate: true, ObservedMs: 600_000, ReportsMs: 600_000}); err != nil {
			return err
		}
		time.Sleep(heartbeatInterval)
	}
	return nil
}

func (h *oldHub) keep(list []*pb.StreamVersion, passOn bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept []*pb.StreamVersion
	for _, m := range list {
		if known := h.records[m.Id]; known == nil || m.Attempt > known.Attempt {
			h.records[m.Id] = &pb.StreamVersion{Id: m.Id, Version: m.Version, Attempt: m.Attempt, AgeMs: m.AgeMs}
			kept = append(kept, h.records[m.Id])
		}
	}
	for _, st := range h.peers {
		if passOn && len(kept) > 0 {
			_ = st.Send(&pb.Gossip{StreamVersions: kept})
		}
	}
}

func (h *oldHub) gossipTo(t *testing.T, address string) {
	client := transport.NewClient(address, transport.Options{OmitLevel: true})
	t.Cleanup(client.Close)
	for t.Context().Err() == nil {
		st, err := client.Open(t.Context(), transport.MethodGossip)
		if err != nil {
			time.Sleep(gossipRetryDelay)
			continue
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.peers = append(h.peers, st)
		return
	}
}

// reportingEntry is an entry whose streams a test reports.
type reportingEntry struct {
	*Subscriber
	mu    sync.Mutex
	known []*pb.StreamVersion
	next  []*pb.StreamVersion
	now   chan struct{}
	// ambiguous is set if the software of an upstream does not tell the run.
	ambiguous atomic.Bool
}

func startReportingEntry(t *testing.T, hub string) *reportingEntry {
	e := &reportingEntry{now: make(chan struct{}, 1)}
	e.Subscriber = Subscribe(SubscriberOptions{
		Seeds: func() []string { return []string{hub} }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {}, ReportNow: e.now,
		Outcomes: func() *pb.OutcomeReport {
			e.mu.Lock()
			defer e.mu.Unlock()
			report := &pb.OutcomeReport{StreamVersions: e.next}
			e.next = nil
			return report
		},
		SoftwareTellsRun: func(string) bool { return !e.ambiguous.Load() },
		StreamVersions: func() []*pb.StreamVersion {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.known
		},
	})
	t.Cleanup(e.Stop)
	require.Eventually(t, func() bool { return len(e.openStreams()) == 1 }, 3*time.Second, time.Millisecond)
	return e
}

func (e *reportingEntry) report(v policy.StreamVersion) {
	e.mu.Lock()
	m := fleet.EncodeStreamVersion(v, 0)
	e.known, e.next = append(e.known, m), append(e.next, m)
	e.mu.Unlock()
	e.now <- struct{}{}
}

// startMixedHubs starts hubs of bb1a31f and of this build, each connected to all others.
func startMixedHubs(t *testing.T, old, present int) (oldHubs []*oldHub, members []string, hubs []*Hub) {
	var listeners []net.Listener
	for range old {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
	}
	c := startHubs(t, present)
	members = c.members
	for _, l := range listeners {
		members = append(members, l.Addr().String())
	}
	for _, l := range listeners {
		oldHubs = append(oldHubs, startOldHub(t, l, members))
	}
	for _, store := range c.stores {
		store.setMembers(members)
	}
	require.Eventually(t, func() bool {
		for _, h := range oldHubs {
			h.mu.Lock()
			n := len(h.peers)
			h.mu.Unlock()
			if n < len(members)-1 {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
	return oldHubs, members, c.hubs
}

// Guards against streams that no entry can place while a hub of an earlier build is left,
// which drops the service, the model and the weights from their records.
func TestRecordsPassHubsThatDropMostOfThem(t *testing.T) {
	oldHubs, members, _ := startMixedHubs(t, 2, 2)
	var entries []*reportingEntry
	for _, address := range members {
		entries = append(entries, startReportingEntry(t, address))
	}
	for i, from := range entries {
		v := policy.StreamVersion{
			ID: "stream-" + members[i], First: "f", ChangedAfter: "7", EarlierWeights: "0", Attempt: 1<<10 + 2,
			Versions: policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "1"},
		}
		from.report(v)
		for j, to := range entries {
			require.Eventually(t, func() bool {
				got, known := to.StreamVersion(t.Context(), v.ID)
				got.RecordedAt = v.RecordedAt
				return known && got == v
			}, 3*time.Second, 5*time.Millisecond, "reported to hub %d, asked of hub %d", i, j)
		}
	}
	// Entries restate to a hub that has restarted what they know.
	oldHubs[0].mu.Lock()
	oldHubs[0].records = map[string]*pb.StreamVersion{}
	oldHubs[0].mu.Unlock()
	for _, client := range entries[len(entries)-2].openStreams() {
		client.Close()
	}
	require.Eventually(t, func() bool {
		_, known := entries[len(entries)-2].StreamVersion(t.Context(), "stream-"+oldHubs[0].address)
		return known
	}, 3*time.Second, 5*time.Millisecond)
}

// Guards against a change of weights that an entry does not pass on, because a hub of an
// earlier build has not kept its record yet when it is first asked.
func TestChangesOfWeightsAreKeptByOldHubs(t *testing.T) {
	_, members, _ := startMixedHubs(t, 1, 2)
	for i, address := range members {
		entry := startReportingEntry(t, address)
		v := policy.StreamVersion{ID: "stream-" + address, Attempt: 2, Versions: policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "2"}}
		time.AfterFunc(30*time.Millisecond, func() { entry.report(v) })
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		require.True(t, entry.RecordStreamVersion(ctx, v), "hub %d", i)
		cancel()
	}
}

// Guards against records that are lost when a hub of an earlier build is replaced: its disk
// holds only what it kept of them.
func TestRecordsOnTheDiskOfAnOldHubAreWhole(t *testing.T) {
	v := policy.StreamVersion{ID: "a", First: "f", Attempt: 3, Versions: policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "1"}}
	var kept []*pb.StreamVersion
	for _, m := range fleet.WithWrapped([]*pb.StreamVersion{fleet.EncodeStreamVersion(v, 0)}, func(string) bool { return false }) {
		kept = append(kept, &pb.StreamVersion{Id: m.Id, Version: m.Version, Attempt: m.Attempt, AgeMs: 5000})
	}
	h, _ := newRoutesHub(t, t.Cleanup, &streamlog.Stored{Streams: kept}, false)
	h.mu.Lock()
	defer h.mu.Unlock()
	got, known := h.streamVersions.Get("a", h.now())
	require.True(t, known)
	require.InDelta(t, float64(5*time.Second), float64(h.now()-got.RecordedAt), float64(time.Second))
	got.RecordedAt = 0
	require.Equal(t, v, got)
}

// Guards against entries of earlier builds that join the streams of present entries with
// other runs, because their hubs tell them no more than the software.
func TestOldEntriesAtOldHubsGetNoSoftwareThatTellsNoRun(t *testing.T) {
	oldHubs, members, hubs := startMixedHubs(t, 2, 1)
	software := func(h *oldHub, id string) string {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.records[id].GetVersion()
	}
	run := policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "1"}
	hubs[0].mu.Lock()
	hubs[0].routes.current = policy.ResumableRoutes{{Host: "h", Prefix: "/a/"}: {"s", "t"}}
	hubs[0].mu.Unlock()
	for i, address := range members {
		e := startReportingEntry(t, address)
		e.ambiguous.Store(true)
		v := policy.StreamVersion{ID: "ambiguous-" + address, Attempt: 1, Versions: run}
		for ; v.Attempt < 4; v.Attempt++ {
			e.report(v)
			for j, h := range oldHubs {
				require.Eventually(t, func() bool { return software(h, fleet.WrappedID(v.ID)) != "" }, 3*time.Second, 5*time.Millisecond, "reported to hub %d, old hub %d", i, j)
				require.Eventually(t, func() bool { return software(h, v.ID) == fleet.OtherSoftware }, 3*time.Second, 5*time.Millisecond, "reported to hub %d, old hub %d", i, j)
			}
			got, known := e.StreamVersion(t.Context(), v.ID)
			require.True(t, known)
			require.Equal(t, run, got.Versions)
		}
		if address == members[0] {
			continue
		}
		e.ambiguous.Store(false)
		e.report(policy.StreamVersion{ID: "sound-" + address, Attempt: 1, Versions: run})
		for _, h := range oldHubs {
			require.Eventually(t, func() bool { return software(h, "sound-"+address) == "v1" }, 3*time.Second, 5*time.Millisecond)
		}
	}
}

// Guards against a change of weights that is passed on because one hub of an earlier build
// has it, although a present hub has answered that no majority does.
func TestOldHubConfirmsNoChangeThatAMajorityLacks(t *testing.T) {
	_, members, hubs := startMixedHubs(t, 1, 4)
	entry := &reportingEntry{now: make(chan struct{}, 1)}
	entry.Subscriber = Subscribe(SubscriberOptions{
		Seeds: func() []string { return []string{members[0], members[4]} }, Logger: &log.Logger{Level: log.PanicLevel},
		OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {}, ReportNow: entry.now,
		Outcomes: func() *pb.OutcomeReport {
			entry.mu.Lock()
			defer entry.mu.Unlock()
			return &pb.OutcomeReport{StreamVersions: entry.known}
		},
	})
	t.Cleanup(entry.Stop)
	require.Eventually(t, func() bool { return len(entry.openStreams()) == 2 }, 3*time.Second, time.Millisecond)
	hubs[0].opts.Peers.Close()
	v := policy.StreamVersion{ID: "a", Attempt: 2, Versions: policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "2"}}
	entry.report(v)
	require.Eventually(t, func() bool {
		_, known := entry.StreamVersion(t.Context(), "a")
		return known
	}, 3*time.Second, 5*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	require.False(t, entry.RecordStreamVersion(ctx, v))
}
