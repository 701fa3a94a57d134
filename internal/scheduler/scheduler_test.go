package scheduler

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/internal/upstream"
)

const testPool = "draftwell/dohoku"

// fakeEngine records the calls of the scheduler.
type fakeEngine struct {
	mu        sync.Mutex
	cancelled []upstream.CancelRequest
	running   []upstream.Running
	orders    []upstream.Order
}

func (f *fakeEngine) Cancel(_ context.Context, r *upstream.CancelRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, *r)
	return nil
}

func (f *fakeEngine) Running(context.Context) ([]upstream.Running, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running, nil
}

func (f *fakeEngine) Order(_ context.Context, r *upstream.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, *r)
	return nil
}

func (f *fakeEngine) cancels(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.cancelled {
		if c.RequestID == id {
			return true
		}
	}
	return false
}

func prefillState(id string) *pb.UpstreamState {
	return &pb.UpstreamState{
		Id: id, Generation: 1, Url: "http://" + id, Place: "sapporo-a", Region: "dohoku", Service: "draftwell",
		Role: pb.EngineRole_ENGINE_ROLE_PREFILL, Models: []string{"m"}, MaxBatch: 4, PieceTokens: 1000,
		LinkBytesPerS: 10e9, KvBytesPerToken: 100e3, PrefillTokensPerS: 10000, ChecksFencing: true,
	}
}

func decodeState(id string, pieces uint32) *pb.UpstreamState {
	s := prefillState(id)
	s.Role = pb.EngineRole_ENGINE_ROLE_DECODE
	s.TotalPieces = pieces
	s.MaxBatch = 20
	s.DecodeUsPerToken = 20000
	return s
}

func submitRequest(id string, class pb.RequestClass, prompt, output uint32) *pb.SubmitRequest {
	return &pb.SubmitRequest{
		RequestId: id, Attempt: 1, EntryId: "entry-1", Pool: testPool, Organisation: "o", Model: "m", RequestClass: class,
		PromptTokens: prompt, MaxOutputTokens: output, MaxWaitMs: 5000, DeadlineMs: 60000,
	}
}

// testServer is a scheduler behind a transport server with a connected entry.
type testServer struct {
	*Scheduler
	client *transport.Client
	addr   string
	engine *fakeEngine
}

func newTestServer(t *testing.T, params Params) *testServer {
	t.Helper()
	out := &testServer{engine: &fakeEngine{}}
	out.Scheduler = New(Options{Params: params, NewEngine: func(*pb.UpstreamState) Engine { return out.engine }})
	srv := transport.NewServer(transport.Options{OnSessionEnd: func(p *pb.Hello) { out.EntrySessionEnded(p.DaemonId) }})
	out.Register(srv)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = srv.Serve(l) }()
	go func() { out.Run(ctx); close(done) }()
	out.addr = l.Addr().String()
	out.client = out.connect("entry-1")
	t.Cleanup(func() {
		out.client.Close()
		srv.Close()
		cancel()
		<-done
	})
	out.Activate(testPool, 1, time.Now().Add(-time.Minute))
	out.call(t, transport.MethodAnnounce, &pb.AnnounceRequest{Upstreams: []*pb.UpstreamState{prefillState("p1"), decodeState("d1", 10)}}, &pb.Empty{})
	return out
}

func (s *testServer) connect(id string) *transport.Client {
	return transport.NewClient(s.addr, transport.Options{Self: &pb.Hello{DaemonId: id}})
}

func (s *testServer) call(t *testing.T, m transport.Method, req, resp proto.Message) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, s.client.Call(ctx, m, req, resp))
}

// Guards against a grant that does not reach the entry, and memory that stays
// reserved after Release.
func TestSubmitGrantReleaseOverTransport(t *testing.T) {
	s := newTestServer(t, Params{})
	for range 3 {
		resp := &pb.SubmitResponse{}
		s.call(t, transport.MethodSubmit, submitRequest("r", pb.RequestClass_REQUEST_CLASS_DRAFT, 6000, 500), resp)
		g := resp.GetGrant()
		require.NotNil(t, g, "%v", resp)
		require.Equal(t, "d1", g.Decode.Id)
		require.Equal(t, uint32(7), g.Pieces)
		s.call(t, transport.MethodProgress, &pb.ProgressRequest{HoldId: g.HoldId, Stage: pb.ProgressRequest_PREFILL_STARTED}, &pb.Empty{})
		s.call(t, transport.MethodRelease, &pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_COMPLETED}, &pb.Empty{})
	}
	state := &pb.SchedulerState{}
	s.call(t, transport.MethodSchedulerState, &pb.SchedulerStateRequest{Pool: testPool}, state)
	require.Empty(t, state.Holds)
	require.Zero(t, state.Upstreams[0].HeldPieces)
}

// Guards against engine memory that stays in use after an entry crashed
// (property P1 in docs/testing.md).
func TestHoldsOfVanishedEntryAreCancelled(t *testing.T) {
	s := newTestServer(t, Params{HoldGrace: 200 * time.Millisecond})
	resp := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, submitRequest("r", pb.RequestClass_REQUEST_CLASS_URGENT, 1000, 500), resp)
	require.NotNil(t, resp.GetGrant())
	s.call(t, transport.MethodProgress, &pb.ProgressRequest{HoldId: resp.GetGrant().HoldId, Stage: pb.ProgressRequest_DECODING}, &pb.Empty{})
	time.Sleep(400 * time.Millisecond)
	require.False(t, s.engine.cancels("r"), "cancelled while the entry was connected")
	s.client.Close()
	require.Eventually(t, func() bool { return s.engine.cancels("r") }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return len(s.activePool(testPool).pool.Holds()) == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a queued request that is granted after its entry withdrew it.
func TestWithdrawnSubmitLeavesNoHold(t *testing.T) {
	s := newTestServer(t, Params{})
	first := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, submitRequest("a", pb.RequestClass_REQUEST_CLASS_DRAFT, 8000, 500), first)
	require.NotNil(t, first.GetGrant())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	require.Error(t, s.client.Call(ctx, transport.MethodSubmit, submitRequest("b", pb.RequestClass_REQUEST_CLASS_DRAFT, 8000, 500), &pb.SubmitResponse{}))
	pool := s.activePool(testPool).pool
	require.Eventually(t, func() bool { return pool.Queued() == 0 }, 2*time.Second, 5*time.Millisecond)
	s.call(t, transport.MethodRelease, &pb.ReleaseRequest{HoldId: first.GetGrant().HoldId}, &pb.Empty{})
	require.Never(t, func() bool { return len(pool.Holds()) > 0 }, 200*time.Millisecond, 10*time.Millisecond)
}

// Guards against a grant that is made during a withdrawal and never released.
func TestGrantWithoutWaiterIsReleased(t *testing.T) {
	s := newTestServer(t, Params{})
	a := s.activePool(testPool)
	s.perform(a, a.pool.Submit(1<<40, submitRequest("r", pb.RequestClass_REQUEST_CLASS_DRAFT, 1000, 500), s.now()))
	s.requestRun(a, Placement)
	require.Eventually(t, func() bool { return a.pool.Queued() == 0 && len(a.pool.Holds()) == 0 }, time.Second, time.Millisecond)
}

// Guards against queued requests that wait forever when the lease is lost.
func TestDeactivateAnswersQueuedRequests(t *testing.T) {
	s := newTestServer(t, Params{})
	first := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, submitRequest("a", pb.RequestClass_REQUEST_CLASS_DRAFT, 8000, 500), first)
	time.AfterFunc(100*time.Millisecond, func() { s.Deactivate(testPool) })
	second := &pb.SubmitResponse{}
	s.call(t, transport.MethodSubmit, submitRequest("b", pb.RequestClass_REQUEST_CLASS_DRAFT, 8000, 500), second)
	require.Equal(t, pb.Refusal_NOT_HOLDER, second.GetRefusal().GetCode())
}

// Guards against a scheduler that does not list running requests after a
// takeover, orders without a response, and an upstream list that is not sent.
func TestTakeoverOrdersAndUpstreamListOverTransport(t *testing.T) {
	s := newTestServer(t, Params{HoldGrace: 300 * time.Millisecond})
	s.engine.mu.Lock()
	s.engine.running = []upstream.Running{{RequestID: "lost", Attempt: 3, Pieces: 2, AgeMillis: 5000}}
	s.engine.mu.Unlock()
	s.Activate(testPool, 2, time.Now())
	st, err := s.client.Open(context.Background(), transport.MethodWatchUpstreams)
	require.NoError(t, err)
	defer st.Close()
	require.NoError(t, st.Send(&pb.WatchUpstreamsRequest{Pool: testPool, EntryId: "entry-1"}))
	update := &pb.WatchUpstreamsUpdate{}
	require.NoError(t, st.Recv(update))
	require.Empty(t, update.Upstreams)
	s.call(t, transport.MethodAnnounce, &pb.AnnounceRequest{Upstreams: []*pb.UpstreamState{prefillState("p1"), decodeState("d1", 10)}}, &pb.Empty{})
	require.NoError(t, st.Recv(update))
	require.Len(t, update.Upstreams, 2)
	require.Eventually(t, func() bool { return s.engine.cancels("lost") }, 3*time.Second, 10*time.Millisecond)

	resp := &pb.OrderEngineResponse{}
	s.call(t, transport.MethodOrder, &pb.EngineOrder{UpstreamId: "d1", Order: &pb.EngineOrder_LoadModel{LoadModel: "n"}}, resp)
	require.Equal(t, "done", resp.Result)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	require.Equal(t, []upstream.Order{{FencingToken: 2, Kind: "load_model", Value: "n"}}, s.engine.orders)
}

// Guards against deadlocks and data races between handlers and controllers.
func TestConcurrentCallsLeaveNothing(t *testing.T) {
	s := newTestServer(t, Params{})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 20 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				req := submitRequest("r", pb.RequestClass(1+i%2), 1500, 100)
				resp, err := s.Submit(ctx, req)
				if g := resp.GetGrant(); err == nil && g != nil {
					_, _ = s.handleProgress(ctx, &pb.ProgressRequest{HoldId: g.HoldId, Stage: pb.ProgressRequest_FIRST_TOKEN})
					_, _ = s.handleState(ctx, &pb.SchedulerStateRequest{Pool: testPool})
					_, _ = s.handleAnnounce(ctx, &pb.AnnounceRequest{Upstreams: []*pb.UpstreamState{decodeState("d1", 10)}})
					_, _ = s.handleRelease(ctx, &pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_COMPLETED})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	pool := s.activePool(testPool).pool
	require.Empty(t, pool.Holds())
	require.Zero(t, pool.Queued())
	require.Zero(t, pool.holds.heldPieces)
}

// unresponsiveEngine never responds to Cancel.
type unresponsiveEngine struct{ fakeEngine }

func (*unresponsiveEngine) Cancel(ctx context.Context, _ *upstream.CancelRequest) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against unresponsive engines that occupy every worker, so that
// cancellations at other engines are late.
func TestUnresponsiveEnginesDoNotDelayOthers(t *testing.T) {
	good, unresponsive := &fakeEngine{}, &unresponsiveEngine{}
	s := New(Options{EngineCalls: 4, NewEngine: func(u *pb.UpstreamState) Engine {
		if u.Id == "silent" {
			return unresponsive
		}
		return good
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	s.Activate(testPool, 1, time.Now())
	a := s.activePool(testPool)
	for range 40 {
		s.enqueueCall(a, CancelOrphan{Engine: decodeState("silent", 1)})
	}
	start := time.Now()
	s.enqueueCall(a, CancelOrphan{Engine: decodeState("good", 1), Work: upstream.CancelRequest{RequestID: "r"}})
	require.Eventually(t, func() bool { return good.cancels("r") }, 10*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(start), 3*time.Second)
}

// Guards against a process that was suspended past the end of its lease and,
// before it notices, grants memory or cancels work that belongs to the next
// holder.
func TestExpiredLeaseGrantsNothingAndCallsNoEngine(t *testing.T) {
	held := true
	engine := &fakeEngine{}
	s := New(Options{
		NewEngine:  func(*pb.UpstreamState) Engine { return engine },
		HoldsLease: func(_ string, token uint64) bool { return held && token == 7 },
	})
	s.Activate(testPool, 7, time.Now().Add(-time.Minute))
	a := s.activePool(testPool)
	a.pool.Announce([]*pb.UpstreamState{prefillState("p1"), decodeState("d1", 10)}, s.now())
	submit := func() *pb.SubmitResponse {
		out := make(chan *pb.SubmitResponse, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		go func() {
			resp, _ := s.Submit(ctx, submitRequest("r", pb.RequestClass_REQUEST_CLASS_URGENT, 1000, 500))
			out <- resp
		}()
		require.Eventually(t, func() bool { return a.pool.Queued() == 1 }, 2*time.Second, time.Millisecond)
		s.perform(a, a.pool.Run(Placement, s.now()))
		return <-out
	}
	require.NotNil(t, submit().GetGrant())
	cancelWork := engineCall{active: a, action: CancelOrphan{Engine: decodeState("d1", 10), Work: upstream.CancelRequest{RequestID: "r"}}}
	held = false
	require.Equal(t, pb.Refusal_NOT_HOLDER, submit().GetRefusal().GetCode())
	require.Len(t, a.pool.Holds(), 1)
	s.performCall(context.Background(), cancelWork)
	require.False(t, engine.cancels("r"))
	held = true
	s.performCall(context.Background(), cancelWork)
	require.True(t, engine.cancels("r"))
}
