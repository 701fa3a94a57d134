package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/replica"
)

// lossyReplicator commits a command and then returns an error, as when the leader
// crashes between the commit and the response.
type lossyReplicator struct {
	Replicator
	loseNext atomic.Bool
	lost     chan struct{}
}

func (l *lossyReplicator) Propose(ctx context.Context, group uint32, data []byte) (any, error) {
	res, err := l.Replicator.Propose(ctx, group, data)
	if err == nil && l.loseNext.CompareAndSwap(true, false) {
		close(l.lost)
		return nil, errors.New("connection lost")
	}
	return res, err
}

// crashAfterCommit makes the leader commit the next command and crash before it
// responds. The returned channel is closed when the member has restarted.
func (s *testStore) crashAfterCommit() <-chan struct{} {
	var m *member
	require.Eventually(s.t, func() bool {
		m = s.leader()
		for g := uint32(0); g < 3; g++ {
			if _, self, _ := m.srv.replicator.Leader(g); !self {
				return false
			}
		}
		return m.srv.ensureLeading(context.Background()) == nil
	}, 10*time.Second, 10*time.Millisecond)
	m.lossy.loseNext.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-m.lossy.lost
		s.kill(m)
		s.start(m, replica.StartExisting)
	}()
	return done
}

func putRoute(id string, base uint64, path string) *connect.Request[pb.ChangeConfigRequest] {
	return connect.NewRequest(&pb.ChangeConfigRequest{Change: &pb.ConfigChange{
		RequestId: id, BaseVersion: base,
		Change: &pb.ConfigChange_PutRoute{PutRoute: &pb.Route{Name: "r", Path: path}},
	}})
}

// commit applies a change without waiting until it is in force.
func commit(t *testing.T, srv *Server, c *pb.ConfigChange) {
	data, err := encodeCommand(commandConfigChange, c)
	require.NoError(t, err)
	_, err = srv.propose(timeoutContext(t, 10*time.Second), storeGroup, data)
	require.NoError(t, err)
}

// Guards against a command that takes effect twice: the leader commits it and
// crashes before it responds, and the client retries it.
func TestLeaderCrashesBetweenCommitAndResponse(t *testing.T) {
	st := startTestStore(t, 3, nil)
	c, _ := startDaemon(t, st.addrs(), "entry")
	ctx := timeoutContext(t, 40*time.Second)

	restarted := st.crashAfterCommit()
	op := configOp{value: "/a"}
	resp := changeViaAnyMember(ctx, st, op)
	require.Equal(t, pb.ChangeOutcome_ACCEPTED, resp.GetOutcome().GetCode())
	require.Equal(t, uint64(1), resp.Outcome.Version)
	<-restarted
	resent := changeViaAnyMember(ctx, st, op)
	require.Equal(t, uint64(1), resent.GetOutcome().GetVersion())
	require.Equal(t, uint64(1), readViaAnyMember(ctx, st).GetVersion())

	digest := sha256.Sum256(nil)
	claim := func(requestID string) pb.ClaimResponse_Result {
		resp, err := c.Claim(ctx, &pb.ClaimRequest{Organisation: "o", Key: "k", RequestId: requestID, Digest: digest[:], DeadlineMs: 600_000})
		require.NoError(t, err)
		return resp.Result
	}
	restarted = st.crashAfterCommit()
	require.Equal(t, pb.ClaimResponse_CLAIMED, claim("r1"))
	<-restarted
	require.Equal(t, pb.ClaimResponse_IN_PROGRESS, claim("r2"))

	restarted = st.crashAfterCommit()
	l, err := c.AcquireLease(ctx, "p/r", 1)
	require.NoError(t, err)
	require.True(t, l.Granted)
	<-restarted
	require.Equal(t, uint64(1), l.Lease.FencingToken, "the retry must not get a second fencing token")
}

// Guards against more than one accepted change among concurrent changes with the
// same base version, and against conflict responses without the accepted change.
func TestConcurrentChangesOfOneVersion(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeoutContext(t, 20*time.Second)
	readViaAnyMember(ctx, st)
	var wg sync.WaitGroup
	var accepted, conflicts atomic.Int32
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp := changeViaAnyMember(ctx, st, configOp{value: fmt.Sprint("/", i)})
			if resp.GetOutcome().GetCode() == pb.ChangeOutcome_ACCEPTED {
				accepted.Add(1)
				return
			}
			if len(resp.GetOutcome().GetMissed()) == 1 && resp.Outcome.Version == 1 {
				conflicts.Add(1)
			}
		}()
	}
	wg.Wait()
	require.Equal(t, int32(1), accepted.Load())
	require.Equal(t, int32(15), conflicts.Load())
}

// Guards against a follower that rejects an operator's call without the address
// of the leader.
func TestFollowerReturnsLeaderAddress(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeoutContext(t, 20*time.Second)
	readViaAnyMember(ctx, st)
	leader := st.leader()
	for _, m := range st.members {
		if m == leader {
			continue
		}
		require.Eventually(t, func() bool {
			_, err := st.operatorClient(m).GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
			var e *connect.Error
			return errors.As(err, &e) && e.Code() == connect.CodeFailedPrecondition &&
				e.Meta().Get(LeaderAddressHeader) == leader.operatorProxyAddr
		}, 5*time.Second, 10*time.Millisecond)
	}
}

// Guards against a daemon that keeps serving without contact to the store, a
// change that is confirmed as in force while that daemon may still serve, and a
// daemon that serves the old version after it reconnects.
func TestCutOffEntryStopsServing(t *testing.T) {
	st := startTestStore(t, 1, nil)
	m := st.leader()
	p := newProxy(t, m.currentInternalAddr)
	disconnected, _ := startDaemon(t, []string{p.addr()}, "entry-cut-off")
	ctx := timeoutContext(t, 20*time.Second)
	require.Eventually(t, disconnected.Serving, 10*time.Second, time.Millisecond)
	_, err := st.operatorClient(m).ChangeConfig(ctx, putRoute("r0", 0, "/0"))
	require.NoError(t, err)

	p.setDropping(true)
	resp, err := st.operatorClient(m).ChangeConfig(ctx, putRoute("r1", 1, "/1"))
	require.NoError(t, err)
	require.True(t, resp.Msg.InForce)
	require.False(t, disconnected.Serving())
	require.Equal(t, uint64(1), disconnected.Config().Version)
	p.setDropping(false)
	require.Eventually(t, func() bool {
		serving := disconnected.Serving()
		require.False(t, serving && disconnected.Config().Version < 2, "serves an outdated version")
		return serving
	}, 15*time.Second, time.Millisecond)
}

// Guards against a member and a daemon that do not catch up after hundreds of
// changes: the member by snapshot, the daemon by the whole configuration. Also
// guards against a whole configuration sent in place of a single missing change.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	const changes = 400
	st := startTestStore(t, 3, func(o *Options) { o.Cluster.SnapshotBytes = 4 << 10 })
	ctx := timeoutContext(t, 60*time.Second)
	readViaAnyMember(ctx, st)
	var lagging *member
	for _, m := range st.members {
		if m != st.leader() {
			lagging = m
		}
	}
	st.kill(lagging)
	for v := uint64(0); v < changes; v++ {
		c := putRoute(fmt.Sprint(v), v, fmt.Sprint("/", v)).Msg.Change
		c.GetPutRoute().Name = fmt.Sprint("r", v%20)
		data, err := encodeCommand(commandConfigChange, c)
		require.NoError(t, err)
		// On a busy machine the leader may lose its quorum before the commit.
		// The change is then retried under its request id.
		for {
			if _, err = st.leader().srv.propose(ctx, storeGroup, data); err == nil {
				break
			}
			require.NoError(t, ctx.Err(), "change %d: %v", v, err)
		}
	}
	srv := st.leader().srv
	st.start(lagging, replica.StartExisting)
	require.Eventually(t, func() bool { return lagging.srv.store.version() == changes }, 20*time.Second, 5*time.Millisecond)
	want, _ := srv.store.currentConfig()
	got, _ := lagging.srv.store.currentConfig()
	require.True(t, proto.Equal(want, got))
	require.True(t, proto.Equal(&pb.GetHistoryResponse{Entries: srv.store.recentChanges(10, "")},
		&pb.GetHistoryResponse{Entries: lagging.srv.store.recentChanges(10, "")}))

	c, _ := startDaemon(t, st.addrs(), "restarted")
	require.Eventually(t, func() bool { return c.Config().GetVersion() == changes && c.Serving() }, 20*time.Second, 5*time.Millisecond)
	require.True(t, proto.Equal(want, c.Config()))

	u, _, _ := srv.store.updateSince(0, 0)
	require.NotNil(t, u.Config, "400 changes are larger than 20 routes")
	u, _, _ = srv.store.updateSince(changes-1, 0)
	require.Nil(t, u.Config)
	require.Len(t, u.Changes, 1)
}

// Guards against a new member that never votes, a replaced member that keeps its
// vote, and members that cannot reach the new one after a restart.
func TestReplaceMember(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeoutContext(t, 60*time.Second)
	readViaAnyMember(ctx, st)
	leader := st.leader()
	added := newMember(t, 4)
	var removed *member
	for id, m := range st.members {
		added.linkProxies[id] = newProxy(t, m.currentInternalAddr)
		if m != leader {
			removed = m
		}
	}
	st.start(added, replica.StartJoin)
	st.mu.Lock()
	st.members[4] = added
	st.mu.Unlock()
	resp, err := st.operatorClient(leader).ChangeMembers(ctx, connect.NewRequest(&pb.ChangeMembersRequest{
		Add: &pb.Member{Id: 4, Address: added.proxyAddr}, Remove: removed.id,
	}))
	require.NoError(t, err)
	require.Len(t, resp.Msg.Members, 3)
	st.kill(removed)
	st.mu.Lock()
	delete(st.members, removed.id)
	st.mu.Unlock()
	// With one of the old members down, the new one is needed for a majority.
	st.kill(leader)
	require.NotNil(t, changeViaAnyMember(ctx, st, configOp{value: "/a"}))
	for _, m := range st.members {
		st.kill(m)
	}
	for _, m := range st.members {
		if m != leader {
			st.start(m, replica.StartExisting)
		}
	}
	require.Equal(t, "/a", pathOf(readViaAnyMember(ctx, st)))
}

// Guards against a lagging daemon that keeps its serving lease for ever, and
// against a lease for a version that is no longer in force.
func TestLaggingDaemonLosesItsLease(t *testing.T) {
	srv, err := New(Options{ServingTTL: testTTL})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeoutContext(t, 20*time.Second)
	renew := func(id string, applied uint64) uint32 {
		resp, err := srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: id, AppliedVersion: applied})
		require.NoError(t, err)
		return resp.TtlMs
	}
	require.NotZero(t, renew("a", 0))
	commit(t, srv, putRoute("r", 0, "/a").Msg.Change)
	time.Sleep(testTTL / 2)
	require.LessOrEqual(t, renew("a", 0), uint32((testTTL/2 + time.Millisecond).Milliseconds()))
	require.NoError(t, srv.awaitInForce(ctx, 1))
	require.Zero(t, renew("a", 0))
	require.Zero(t, renew("new", 0))
	require.NotZero(t, renew("new", 1))

	commit(t, srv, putRoute("r2", 1, "/b").Msg.Change)
	require.NotZero(t, renew("new", 2))
	require.NoError(t, srv.awaitInForce(ctx, 2))
	require.Zero(t, renew("late", 1), "the change is in force, although it was applied less than one TTL ago")
	st := srv.Stats()
	require.Equal(t, []any{uint64(2), 1, 0, true}, []any{st.Version, st.Serving, st.Lagging, st.Leads})
}

// deposedReplicator is a Replicator of a leader that was replaced and still
// considers itself the leader.
type deposedReplicator struct{ Replicator }

func (deposedReplicator) ReadIndex(context.Context, uint32) error { return ErrNotLeader }

// Guards against reads, serving leases and renewals by a leader that was replaced
// and still considers itself the leader.
func TestDeposedLeaderConfirmsNothing(t *testing.T) {
	srv, err := New(Options{wrapReplicator: func(r Replicator) Replicator { return deposedReplicator{r} }})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeoutContext(t, 20*time.Second)
	acquired, err := srv.acquireLease(ctx, &pb.AcquireLeaseRequest{Name: "p", Holder: "a"})
	require.NoError(t, err, "a commit proves the leadership")
	require.True(t, acquired.Granted)
	_, err = srv.renewLease(ctx, &pb.RenewLeaseRequest{Name: "p", Holder: "a", FencingToken: acquired.Lease.FencingToken})
	require.Error(t, err)
	_, err = srv.acquireLease(ctx, &pb.AcquireLeaseRequest{Name: "p", Holder: "a"})
	require.Error(t, err)
	_, err = srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: "d"})
	require.Error(t, err)
	_, err = (&operatorService{srv}).GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
	require.Error(t, err)
}

// Guards against an acquisition that a member decided as leader of an earlier
// term and commits after it was elected again: the decision ignores the renewals
// granted by the leader in between.
func TestAcquisitionOfEarlierTermIsRefused(t *testing.T) {
	s := newStore(testTTL)
	startTerm := func(term uint64) {
		data, err := encodeWithPrefix(commandLeaderAddresses, term, &pb.Hello{DaemonId: "1"})
		require.NoError(t, err)
		s.Apply(0, data)
	}
	acquire := func(term, replaces uint64, holder string) bool {
		data, err := encodeWithPrefix(commandAcquireLease, term, &pb.PoolLease{Name: "p", Holder: holder, FencingToken: replaces})
		require.NoError(t, err)
		return s.Apply(0, data).(leaseResult).ok
	}
	startTerm(5)
	require.True(t, acquire(5, 0, "a"))
	startTerm(6)
	require.False(t, acquire(5, 1, "b"))
	snap, err := s.Snapshot()
	require.NoError(t, err)
	restored := newStore(testTTL)
	require.NoError(t, restored.Restore(snap))
	s = restored
	require.False(t, acquire(5, 1, "b"))
	require.True(t, acquire(6, 1, "b"))
	require.Equal(t, uint64(2), s.leases.LastToken())
}

// Guards against a leader that removes itself without transferring its
// leadership first, which leaves its groups without a leader.
func TestRemoveLeader(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeoutContext(t, 30*time.Second)
	readViaAnyMember(ctx, st)
	leader := st.leader()
	req := &pb.ChangeMembersRequest{Remove: leader.id}
	_, err := st.operatorClient(leader).ChangeMembers(ctx, connect.NewRequest(req))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	require.Eventually(t, func() bool {
		resp, err := st.operatorClient(st.leader()).ChangeMembers(ctx, connect.NewRequest(req))
		return err == nil && len(resp.Msg.Members) == 2
	}, 20*time.Second, 20*time.Millisecond)
	st.kill(leader)
	require.NotNil(t, changeViaAnyMember(ctx, st, configOp{value: "/a"}))
}

// Guards against a cutover that is reported complete while a daemon still has
// requests on the old service, or before every daemon has applied the cutover.
func TestCutoverCompletesAfterLastRequest(t *testing.T) {
	srv, err := New(Options{ServingTTL: testTTL})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeoutContext(t, 20*time.Second)
	ops := &operatorService{srv}
	renew := func(id string, applied uint64, old uint32) {
		_, err := srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: id, AppliedVersion: applied, InFlight: []*pb.InFlight{
			{Route: "r", Service: "new", Count: 7}, {Route: "r", Service: "old", Count: old},
		}})
		require.NoError(t, err)
	}
	put := putRoute("r1", 0, "/a")
	put.Msg.Change.GetPutRoute().Service = "old"
	_, err = ops.ChangeConfig(ctx, put)
	require.NoError(t, err)
	renew("a", 1, 2)
	renew("b", 1, 1)
	commit(t, srv, &pb.ConfigChange{RequestId: "r2", BaseVersion: 1, Change: &pb.ConfigChange_Cutover{
		Cutover: &pb.RouteCutover{Route: "r", ToService: "new"},
	}})
	status := func() (uint32, bool) {
		resp, err := ops.CutoverStatus(ctx, connect.NewRequest(&pb.CutoverStatusRequest{Route: "r"}))
		require.NoError(t, err)
		return resp.Msg.Remaining, resp.Msg.Complete
	}
	expect := func(wantRemaining uint32, wantComplete bool) {
		t.Helper()
		remaining, complete := status()
		require.Equal(t, wantRemaining, remaining)
		require.Equal(t, wantComplete, complete)
	}
	expect(3, false)
	renew("a", 2, 1)
	expect(2, false)
	renew("a", 2, 0)
	renew("b", 1, 0)
	expect(0, false)
	renew("b", 2, 1)
	expect(1, false)
	renew("b", 2, 0)
	expect(0, true)
}
