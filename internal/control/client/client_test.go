package client_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/control/client"
	"godwitward.example/godwitward/internal/transport"
)

const testTTL = 600 * time.Millisecond

// testStore is a control store of one member without replication, served over
// TCP.
type testStore struct {
	addr           string
	operatorClient godwitwardv1connect.OperatorServiceClient
}

func startStore(t *testing.T, opts control.Options) *testStore {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	opts.Address = l.Addr().String()
	opts.ServingTTL = testTTL
	opts.LeaseTTL = testTTL
	srv, err := control.New(opts)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, srv.Close()) })
	ts := transport.NewServer(transport.Options{})
	srv.Register(ts)
	go func() { _ = ts.Serve(l) }()
	t.Cleanup(ts.Close)
	_, h := srv.OperatorHandler()
	hs := httptest.NewServer(h)
	t.Cleanup(hs.Close)
	return &testStore{addr: opts.Address, operatorClient: godwitwardv1connect.NewOperatorServiceClient(hs.Client(), hs.URL)}
}

func startClient(t *testing.T, addr, id string) *client.Client {
	t.Helper()
	c := client.New(client.Options{
		Addrs: []string{addr}, Self: &pb.Hello{DaemonId: id}, Address: id + ":1", RenewInterval: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func putRoute(id string, base uint64, path string) *connect.Request[pb.ChangeConfigRequest] {
	return connect.NewRequest(&pb.ChangeConfigRequest{Change: &pb.ConfigChange{
		RequestId: id, BaseVersion: base,
		Change: &pb.ConfigChange_PutRoute{PutRoute: &pb.Route{Name: "draft", Path: path, Service: "draftwell"}},
	}})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a change that is reported as in force before a serving daemon
// has applied it, against a retry that is applied twice, and against a second
// change with the same base version.
func TestChangeReachesDaemonBeforeResponse(t *testing.T) {
	st := startStore(t, control.Options{})
	c := startClient(t, st.addr, "entry-1")
	ctx := testContext(t)
	require.Eventually(t, c.Serving, 5*time.Second, 5*time.Millisecond)

	resp, err := st.operatorClient.ChangeConfig(ctx, putRoute("r1", 0, "/a"))
	require.NoError(t, err)
	require.True(t, resp.Msg.InForce)
	require.Equal(t, uint64(1), resp.Msg.Outcome.Version)
	require.Equal(t, uint64(1), c.Config().GetVersion())

	resent, err := st.operatorClient.ChangeConfig(ctx, putRoute("r1", 0, "/a"))
	require.NoError(t, err)
	require.Equal(t, pb.ChangeOutcome_ACCEPTED, resent.Msg.Outcome.Code)
	require.Equal(t, uint64(1), resent.Msg.Outcome.Version)

	conflict, err := st.operatorClient.ChangeConfig(ctx, putRoute("r2", 0, "/b"))
	require.NoError(t, err)
	require.Equal(t, pb.ChangeOutcome_VERSION_CONFLICT, conflict.Msg.Outcome.Code)
	require.Len(t, conflict.Msg.Outcome.Missed, 1)
	require.Equal(t, "/a", c.Config().Routes[0].Path)
}

// Guards against two schedulers that hold the lease of one pool at once, a
// release after which no other scheduler acquires the lease, and a fencing token
// that does not increase.
func TestHoldLeaseMovesAfterRelease(t *testing.T) {
	st := startStore(t, control.Options{})
	a, b := startClient(t, st.addr, "a"), startClient(t, st.addr, "b")
	acquired := make(chan uint64, 4)
	lost := make(chan struct{}, 4)
	hold := func(ctx context.Context, c *client.Client) {
		_ = c.HoldLease(ctx, "draftwell/dohoku", 1, func(token uint64) { acquired <- token }, func() { lost <- struct{}{} })
	}
	ctxA, stopA := context.WithCancel(testContext(t))
	go hold(ctxA, a)
	first := <-acquired
	ctxB, stopB := context.WithCancel(testContext(t))
	defer stopB()
	go hold(ctxB, b)
	select {
	case <-acquired:
		t.Fatal("second client acquired a lease that the first one renews")
	case <-time.After(2 * testTTL):
	}
	stopA()
	<-lost
	second := <-acquired
	require.Greater(t, second, first)
	_, held := a.HoldsLease("draftwell/dohoku")
	require.False(t, held)
	require.Eventually(t, func() bool {
		l, ok := a.Lease("draftwell/dohoku")
		return ok && l.FencingToken == second && l.Address == "b:1"
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a second run of a non-repeatable call.
func TestClaimRunsOnce(t *testing.T) {
	st := startStore(t, control.Options{})
	c := startClient(t, st.addr, "entry-1")
	ctx := testContext(t)
	claim := func(requestID string) pb.ClaimResponse_Result {
		resp, err := c.Claim(ctx, &pb.ClaimRequest{Organisation: "o", Key: "k", Digest: make([]byte, 32), RequestId: requestID, DeadlineMs: 60000})
		require.NoError(t, err)
		return resp.Result
	}
	require.Equal(t, pb.ClaimResponse_CLAIMED, claim("r1"))
	require.Equal(t, pb.ClaimResponse_CLAIMED, claim("r1"))
	require.Equal(t, pb.ClaimResponse_IN_PROGRESS, claim("r2"))
	require.Error(t, c.RecordOutcome(ctx, &pb.RecordRequest{Organisation: "o", Key: "k", RequestId: "r2", NotRun: true}))
	require.NoError(t, c.RecordOutcome(ctx, &pb.RecordRequest{Organisation: "o", Key: "k", RequestId: "r1", Answer: &pb.RecordedAnswer{Status: 201}}))
	require.Equal(t, pb.ClaimResponse_RECORDED, claim("r2"))
}

// Guards against a version that is acknowledged, and reported as in force, before
// the OnConfig callbacks of the daemon have returned.
func TestVersionIsAcknowledgedAfterCallbacks(t *testing.T) {
	st := startStore(t, control.Options{})
	c := startClient(t, st.addr, "entry-1")
	var callbackVersion atomic.Uint64
	c.OnConfig(func(cfg *pb.Config) {
		time.Sleep(50 * time.Millisecond)
		callbackVersion.Store(cfg.Version)
	})
	require.Eventually(t, c.Serving, 5*time.Second, 5*time.Millisecond)
	for v := range uint64(5) {
		resp, err := st.operatorClient.ChangeConfig(testContext(t), putRoute(fmt.Sprint(v), v, fmt.Sprint("/", v)))
		require.NoError(t, err)
		require.True(t, resp.Msg.InForce)
		require.Equal(t, v+1, callbackVersion.Load())
	}
}

// Guards against a delayed retry of a release that ends a newer lease of the same
// client: a new attempt must not reuse the released holder name and token.
func TestReleaseDoesNotEndNextLease(t *testing.T) {
	st := startStore(t, control.Options{})
	c := startClient(t, st.addr, "a")
	ctx := testContext(t)
	first, err := c.AcquireLease(ctx, "p/r", 1)
	require.NoError(t, err)
	require.True(t, first.Granted)
	require.NoError(t, c.ReleaseLease(ctx, "p/r", first.Lease.FencingToken))
	second, err := c.AcquireLease(ctx, "p/r", 1)
	require.NoError(t, err)
	require.True(t, second.Granted)
	require.NotEqual(t, first.Lease.Holder, second.Lease.Holder)
	require.Greater(t, second.Lease.FencingToken, first.Lease.FencingToken)
	_, ok := c.HoldsLease("p/r")
	require.True(t, ok)
}
