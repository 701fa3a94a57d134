package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// fakeScheduler serves the scheduler RPCs of one pool over a real session.
type fakeScheduler struct {
	server *transport.Server
	lease  *pb.PoolLease
	// submit handles submissions. If it is nil or returns nil, they are granted.
	submit func() (*pb.SubmitResponse, error)

	mu          sync.Mutex
	submissions int
	// grantCount numbers the holds. It continues when the scheduler is restarted,
	// because hold IDs are never reused under one lease.
	grantCount      int
	holds           map[string]bool
	restated        [][]string
	progress        []pb.ProgressRequest_Stage
	releaseFailures int // number of releases to reject before one is accepted
	// blockProgress, unless nil, blocks progress reports until it is closed.
	blockProgress chan struct{}
}

func startFakeScheduler(t testing.TB, token uint64) *fakeScheduler {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeScheduler{
		server: transport.NewServer(transport.Options{}), holds: map[string]bool{},
		lease: &pb.PoolLease{Name: "s/r", Address: l.Addr().String(), FencingToken: token},
	}
	transport.HandleUnary(s.server, transport.MethodSubmit, s.onSubmit)
	transport.HandleUnary(s.server, transport.MethodRestate, s.onRestate)
	transport.HandleUnary(s.server, transport.MethodRelease, s.onRelease)
	transport.HandleUnary(s.server, transport.MethodProgress, func(_ context.Context, r *pb.ProgressRequest) (*pb.Empty, error) {
		s.mu.Lock()
		blocked := s.blockProgress
		s.progress = append(s.progress, r.Stage)
		s.mu.Unlock()
		if blocked != nil {
			<-blocked
		}
		return &pb.Empty{}, nil
	})
	s.server.Handle(transport.MethodWatchUpstreams, func(ctx context.Context, st *transport.Stream) error {
		if err := st.Recv(&pb.WatchUpstreamsRequest{}); err != nil {
			return err
		}
		up := &pb.UpstreamStatus{State: &pb.UpstreamState{Id: fmt.Sprint("u", token)}, Health: pb.UpstreamStatus_LIVE}
		if err := st.Send(&pb.WatchUpstreamsUpdate{Upstreams: []*pb.UpstreamStatus{up}}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(s.server.Close)
	return s
}

func (s *fakeScheduler) onSubmit(_ context.Context, r *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	s.mu.Lock()
	s.submissions++
	submit := s.submit
	s.mu.Unlock()
	if submit != nil {
		if resp, err := submit(); resp != nil || err != nil {
			return resp, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantCount++
	id := fmt.Sprintf("%d-%d", s.lease.FencingToken, s.grantCount)
	s.holds[id] = true
	return &pb.SubmitResponse{Result: &pb.SubmitResponse_Grant{Grant: &pb.Grant{HoldId: id}}}, nil
}

func (s *fakeScheduler) onRestate(_ context.Context, r *pb.RestateRequest) (*pb.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, h := range r.Holds {
		ids = append(ids, h.HoldId)
		s.holds[h.HoldId] = true
	}
	s.restated = append(s.restated, ids)
	return &pb.Empty{}, nil
}

func (s *fakeScheduler) onRelease(_ context.Context, r *pb.ReleaseRequest) (*pb.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.releaseFailures > 0 {
		s.releaseFailures--
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "busy")
	}
	delete(s.holds, r.HoldId)
	return &pb.Empty{}, nil
}

func (s *fakeScheduler) locked(fn func() bool) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return fn()
	}
}

func startSchedulerClients(t testing.TB, first *fakeScheduler) (*SchedulerClients, *atomic.Pointer[pb.PoolLease]) {
	lease := &atomic.Pointer[pb.PoolLease]{}
	lease.Store(first.lease)
	p := NewSchedulerClients(SchedulerClientOptions{EntryID: "e1", Lease: func(string) (*pb.PoolLease, bool) {
		l := lease.Load()
		return l, l != nil
	}})
	t.Cleanup(p.Close)
	p.SetPools([]string{"s/r"})
	return p, lease
}

func submission() *pb.SubmitRequest {
	return &pb.SubmitRequest{RequestId: "r1", Attempt: 1, Pool: "s/r"}
}

// Guards against queued requests and holds that are lost when a pool gets a new
// scheduler: it receives the submissions and the holds, and the last upstream list
// stays available.
func TestTakeoverMovesSubmissionsAndHolds(t *testing.T) {
	a, b := startFakeScheduler(t, 1), startFakeScheduler(t, 2)
	p, lease := startSchedulerClients(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first, err := p.Submit(ctx, submission())
	require.NoError(t, err)
	require.Equal(t, "1-1", first.GetGrant().HoldId)

	unblock := make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release)
	a.mu.Lock()
	a.submit = func() (*pb.SubmitResponse, error) { <-unblock; return nil, nil }
	a.mu.Unlock()
	type result struct {
		resp *pb.SubmitResponse
		err  error
	}
	second := make(chan result, 1)
	go func() {
		resp, err := p.Submit(ctx, submission())
		second <- result{resp, err}
	}()
	require.Eventually(t, a.locked(func() bool { return a.submissions == 2 }), 2*time.Second, time.Millisecond)
	lease.Store(nil)
	require.Equal(t, "u1", p.Upstreams("s/r")[0].State.Id)
	lease.Store(b.lease)
	r := <-second
	require.NoError(t, r.err)
	require.Equal(t, "2-1", r.resp.GetGrant().HoldId)
	require.Equal(t, [][]string{{"1-1"}}, b.restated)
	release()
	p.Release("s/r", &pb.ReleaseRequest{HoldId: "1-1"})
	p.Release("s/r", &pb.ReleaseRequest{HoldId: "2-1"})
	require.Eventually(t, b.locked(func() bool { return len(b.holds) == 0 }), 2*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return p.Upstreams("s/r")[0].State.Id == "u2" && p.Pending() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against holds that are not restated to the same scheduler after its
// session was lost, and against submissions that wait on the lost session.
func TestLostSessionIsReplaced(t *testing.T) {
	a := startFakeScheduler(t, 1)
	p, _ := startSchedulerClients(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := p.Submit(ctx, submission())
	require.NoError(t, err)
	a.server.Close()
	l, err := net.Listen("tcp", a.lease.Address)
	require.NoError(t, err)
	restarted := restartFakeScheduler(t, a, l)
	second, err := p.Submit(ctx, submission())
	require.NoError(t, err)
	id := second.GetGrant().HoldId
	require.NotEqual(t, "1-1", id)
	require.Eventually(t, restarted.locked(func() bool {
		return len(restarted.restated) == 1 && restarted.holds["1-1"] && restarted.holds[id]
	}), 2*time.Second, time.Millisecond)
	require.Contains(t, restarted.restated[0], "1-1")
	// A submission may reach the restarted scheduler before the watch notices that
	// the session was lost; its hold is then restated with the earlier one.
	require.Subset(t, []string{"1-1", id}, restarted.restated[0])
}

// restartFakeScheduler returns a scheduler that replaces old under the same lease
// and address. It knows no holds and continues old's numbering.
func restartFakeScheduler(t testing.TB, old *fakeScheduler, l net.Listener) *fakeScheduler {
	s := startFakeScheduler(t, 1)
	s.lease.Address = old.lease.Address
	old.locked(func() bool { s.grantCount = old.grantCount; return true })()
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// Guards against a hold that leaks because its grant was sent as the submission
// was withdrawn, or because its first release failed.
func TestLateGrantIsReleasedAndReleasesAreRetried(t *testing.T) {
	a := startFakeScheduler(t, 1)
	p, _ := startSchedulerClients(t, a)
	a.releaseFailures = 2
	resume := make(chan struct{})
	a.submit = func() (*pb.SubmitResponse, error) { <-resume; return nil, nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := p.Submit(ctx, submission())
		done <- err
	}()
	require.Eventually(t, a.locked(func() bool { return a.submissions == 1 }), 2*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Equal(t, 1, p.Pending())
	close(resume)
	require.Eventually(t, func() bool { return p.Pending() == 0 }, 5*time.Second, time.Millisecond)
	require.True(t, a.locked(func() bool { return len(a.holds) == 0 && a.releaseFailures == 0 })())
}

// Guards against progress reports that block their caller or arrive out of order.
func TestProgressDoesNotBlockAndKeepsItsOrder(t *testing.T) {
	a := startFakeScheduler(t, 1)
	p, _ := startSchedulerClients(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := p.Submit(ctx, submission())
	require.NoError(t, err)
	for stage := range 5 {
		p.Progress("s/r", &pb.ProgressRequest{HoldId: "1-1", Stage: pb.ProgressRequest_Stage(stage + 1)})
	}
	require.Eventually(t, a.locked(func() bool { return len(a.progress) == 5 }), 2*time.Second, time.Millisecond)
	require.IsIncreasing(t, a.progress)

	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	a.mu.Lock()
	a.blockProgress = unblock
	a.mu.Unlock()
	started := time.Now()
	for range 10_000 {
		p.Progress("s/r", &pb.ProgressRequest{HoldId: "1-1"})
	}
	require.Less(t, time.Since(started), time.Second)
	require.GreaterOrEqual(t, p.Dropped(), int64(10_000-2*maxQueuedProgress))
}
