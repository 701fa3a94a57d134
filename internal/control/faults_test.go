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

// lossy commits a command and then fails, as when the leader dies between the
// commit and the answer.
type lossy struct {
	Replication
	lose atomic.Bool
	lost chan struct{}
}

func (l *lossy) Propose(ctx context.Context, group uint32, data []byte) (any, error) {
	res, err := l.Replication.Propose(ctx, group, data)
	if err == nil && l.lose.CompareAndSwap(true, false) {
		close(l.lost)
		return nil, errors.New("connection lost")
	}
	return res, err
}

// dieAfterCommit makes the leader commit the next command and die before it
// answers. The returned channel is closed when it has restarted.
func (s *testStore) dieAfterCommit() <-chan struct{} {
	var m *member
	require.Eventually(s.t, func() bool {
		m = s.leader()
		for g := uint32(0); g < 3; g++ {
			if _, self, _ := m.srv.repl.Leader(g); !self {
				return false
			}
		}
		return m.srv.begin(context.Background()) == nil
	}, 10*time.Second, 10*time.Millisecond)
	m.lossy.lose.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-m.lossy.lost
		s.kill(m)
		s.start(m, replica.StartExisting)
	}()
	return done
}

func change(id string, base uint64, path string) *connect.Request[pb.ChangeConfigRequest] {
	return connect.NewRequest(&pb.ChangeConfigRequest{Change: &pb.ConfigChange{
		RequestId: id, BaseVersion: base,
		Change: &pb.ConfigChange_PutRoute{PutRoute: &pb.Route{Name: "r", Path: path}},
	}})
}

// commit applies a change without waiting until it is in force.
func commit(t *testing.T, srv *Server, c *pb.ConfigChange) {
	data, err := encodeCommand(commandChange, c)
	require.NoError(t, err)
	_, err = srv.propose(timeout(t, 10*time.Second), storeGroup, data)
	require.NoError(t, err)
}

// Guards against a second effect of a command that was committed, lost its
// answer with the leader, and is sent again.
func TestLeaderDiesBetweenCommitAndAnswer(t *testing.T) {
	st := startTestStore(t, 3, nil)
	c, _ := daemon(t, st.addrs(), "entry")
	ctx := timeout(t, 40*time.Second)

	died := st.dieAfterCommit()
	op := configOp{value: "/a"}
	resp := changeAnywhere(ctx, st, op)
	require.Equal(t, pb.ChangeOutcome_ACCEPTED, resp.GetOutcome().GetCode())
	require.Equal(t, uint64(1), resp.Outcome.Version)
	<-died
	again := changeAnywhere(ctx, st, op)
	require.Equal(t, uint64(1), again.GetOutcome().GetVersion())
	require.Equal(t, uint64(1), readAnywhere(ctx, st).GetVersion())

	digest := sha256.Sum256(nil)
	claim := func(run string) pb.ClaimResponse_Result {
		resp, err := c.Claim(ctx, &pb.ClaimRequest{Organisation: "o", Key: "k", RequestId: run, Digest: digest[:], DeadlineMs: 600_000})
		require.NoError(t, err)
		return resp.Result
	}
	died = st.dieAfterCommit()
	require.Equal(t, pb.ClaimResponse_CLAIMED, claim("r1"))
	<-died
	require.Equal(t, pb.ClaimResponse_IN_PROGRESS, claim("r2"))

	died = st.dieAfterCommit()
	l, err := c.AcquireLease(ctx, "p/r", 1)
	require.NoError(t, err)
	require.True(t, l.Granted)
	<-died
	require.Equal(t, uint64(1), l.Lease.FencingToken, "the resend must not take a second token")
}

// Guards against several winners among changes that name one version, and
// losers that do not learn what they missed.
func TestEqualVersionsRace(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeout(t, 20*time.Second)
	readAnywhere(ctx, st)
	var wg sync.WaitGroup
	var winners, losers atomic.Int32
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp := changeAnywhere(ctx, st, configOp{value: fmt.Sprint("/", i)})
			if resp.GetOutcome().GetCode() == pb.ChangeOutcome_ACCEPTED {
				winners.Add(1)
				return
			}
			if len(resp.GetOutcome().GetMissed()) == 1 && resp.Outcome.Version == 1 {
				losers.Add(1)
			}
		}()
	}
	wg.Wait()
	require.Equal(t, int32(1), winners.Load())
	require.Equal(t, int32(15), losers.Load())
}

// Guards against an operator who asks a follower and does not learn where the
// leader is.
func TestFollowerNamesLeader(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeout(t, 20*time.Second)
	readAnywhere(ctx, st)
	leader := st.leader()
	for _, m := range st.members {
		if m == leader {
			continue
		}
		require.Eventually(t, func() bool {
			_, err := st.operators(m).GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
			var e *connect.Error
			return errors.As(err, &e) && e.Code() == connect.CodeFailedPrecondition &&
				e.Meta().Get(LeaderAddressHeader) == leader.operator
		}, 5*time.Second, 10*time.Millisecond)
	}
}

// Guards against a daemon that serves without contact, a change that is
// confirmed while it still may, and one that serves an old version on return.
func TestCutOffEntryStopsServing(t *testing.T) {
	st := startTestStore(t, 1, nil)
	m := st.leader()
	p := newProxy(t, m.sessionAddr)
	cutOff, _ := daemon(t, []string{p.addr()}, "entry-cut-off")
	ctx := timeout(t, 20*time.Second)
	require.Eventually(t, cutOff.Serving, 10*time.Second, time.Millisecond)
	_, err := st.operators(m).ChangeConfig(ctx, change("r0", 0, "/0"))
	require.NoError(t, err)

	p.setCut(true)
	resp, err := st.operators(m).ChangeConfig(ctx, change("r1", 1, "/1"))
	require.NoError(t, err)
	require.True(t, resp.Msg.InForce)
	require.False(t, cutOff.Serving())
	require.Equal(t, uint64(1), cutOff.Config().Version)
	p.setCut(false)
	require.Eventually(t, func() bool {
		serving := cutOff.Serving()
		require.False(t, serving && cutOff.Config().Version < 2, "serves a replaced version")
		return serving
	}, 15*time.Second, time.Millisecond)
}

// Guards against daemons and members that do not catch up after hundreds of
// changes, by difference, by the whole configuration, and by snapshot.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	const changes = 400
	st := startTestStore(t, 3, func(o *Options) { o.Cluster.SnapshotBytes = 4 << 10 })
	ctx := timeout(t, 60*time.Second)
	readAnywhere(ctx, st)
	var behind *member
	for _, m := range st.members {
		if m != st.leader() {
			behind = m
		}
	}
	st.kill(behind)
	for v := uint64(0); v < changes; v++ {
		c := change(fmt.Sprint(v), v, fmt.Sprint("/", v)).Msg.Change
		c.GetPutRoute().Name = fmt.Sprint("r", v%20)
		data, err := encodeCommand(commandChange, c)
		require.NoError(t, err)
		// On a busy machine the leader may lose its quorum before the commit;
		// the change is then repeated under its request id.
		for {
			if _, err = st.leader().srv.propose(ctx, storeGroup, data); err == nil {
				break
			}
			require.NoError(t, ctx.Err(), "change %d: %v", v, err)
		}
	}
	srv := st.leader().srv
	st.start(behind, replica.StartExisting)
	require.Eventually(t, func() bool { return behind.srv.store.version() == changes }, 20*time.Second, 5*time.Millisecond)
	want, _ := srv.store.current()
	got, _ := behind.srv.store.current()
	require.True(t, proto.Equal(want, got))
	require.True(t, proto.Equal(&pb.GetHistoryResponse{Entries: srv.store.newest(10, "")},
		&pb.GetHistoryResponse{Entries: behind.srv.store.newest(10, "")}))

	c, _ := daemon(t, st.addrs(), "restarted")
	require.Eventually(t, func() bool { return c.Config().GetVersion() == changes && c.Serving() }, 20*time.Second, 5*time.Millisecond)
	require.True(t, proto.Equal(want, c.Config()))

	u, _, _ := srv.store.update(0, 0)
	require.NotNil(t, u.Config, "400 changes are larger than 20 routes")
	u, _, _ = srv.store.update(changes-1, 0)
	require.Nil(t, u.Config)
	require.Len(t, u.Changes, 1)
}

// Guards against a replaced member that never votes, one that keeps its vote,
// and members that cannot reach the new one after a restart.
func TestReplaceMember(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeout(t, 60*time.Second)
	readAnywhere(ctx, st)
	leader := st.leader()
	joined := newMember(t, 4)
	var removed *member
	for id, m := range st.members {
		joined.out[id] = newProxy(t, m.sessionAddr)
		if m != leader {
			removed = m
		}
	}
	st.start(joined, replica.StartJoining)
	st.mu.Lock()
	st.members[4] = joined
	st.mu.Unlock()
	resp, err := st.operators(leader).ChangeMembers(ctx, connect.NewRequest(&pb.ChangeMembersRequest{
		Add: &pb.Member{Id: 4, Address: joined.addr}, Remove: removed.id,
	}))
	require.NoError(t, err)
	require.Len(t, resp.Msg.Members, 3)
	st.kill(removed)
	st.mu.Lock()
	delete(st.members, removed.id)
	st.mu.Unlock()
	// With one of the old members down, the new one is needed for a majority.
	st.kill(leader)
	require.NotNil(t, changeAnywhere(ctx, st, configOp{value: "/a"}))
	for _, m := range st.members {
		st.kill(m)
	}
	for _, m := range st.members {
		if m != leader {
			st.start(m, replica.StartExisting)
		}
	}
	require.Equal(t, "/a", pathOf(readAnywhere(ctx, st)))
}

// Guards against a lagging daemon that keeps its lease for ever, and one that
// gets a lease for a version that is no longer in force.
func TestLaggingDaemonLosesItsLease(t *testing.T) {
	srv, err := New(Options{ServingTTL: testTTL})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeout(t, 20*time.Second)
	renew := func(id string, applied uint64) uint32 {
		resp, err := srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: id, AppliedVersion: applied})
		require.NoError(t, err)
		return resp.TtlMs
	}
	require.NotZero(t, renew("a", 0))
	commit(t, srv, change("r", 0, "/a").Msg.Change)
	time.Sleep(testTTL / 2)
	require.LessOrEqual(t, renew("a", 0), uint32((testTTL/2 + time.Millisecond).Milliseconds()))
	require.NoError(t, srv.awaitInForce(ctx, 1))
	require.Zero(t, renew("a", 0))
	require.Zero(t, renew("new", 0))
	require.NotZero(t, renew("new", 1))

	commit(t, srv, change("r2", 1, "/b").Msg.Change)
	require.NotZero(t, renew("new", 2))
	require.NoError(t, srv.awaitInForce(ctx, 2))
	require.Zero(t, renew("late", 1), "the change is in force, although it is younger than a lifetime")
	st := srv.Stats()
	require.Equal(t, []any{uint64(2), 1, 0, true}, []any{st.Version, st.Serving, st.Lagging, st.Leads})
}

// deposed is a Replication that has lost its leadership without noticing.
type deposed struct{ Replication }

func (deposed) ReadIndex(context.Context, uint32) error { return ErrNotLeader }

// Guards against reads, serving leases and renewals by a leader that was
// replaced and does not know it.
func TestDeposedLeaderConfirmsNothing(t *testing.T) {
	srv, err := New(Options{wrap: func(r Replication) Replication { return deposed{r} }})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeout(t, 20*time.Second)
	acquired, err := srv.acquireLease(ctx, &pb.AcquireLeaseRequest{Name: "p", Holder: "a"})
	require.NoError(t, err, "a commit is its own proof")
	require.True(t, acquired.Granted)
	_, err = srv.renewLease(ctx, &pb.RenewLeaseRequest{Name: "p", Holder: "a", FencingToken: acquired.Lease.FencingToken})
	require.Error(t, err)
	_, err = srv.acquireLease(ctx, &pb.AcquireLeaseRequest{Name: "p", Holder: "a"})
	require.Error(t, err)
	_, err = srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: "d"})
	require.Error(t, err)
	_, err = (&operators{srv}).GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
	require.Error(t, err)
}

// Guards against a decision of a deposed leader that is committed after the
// member was elected again, past renewals by the leader in between.
func TestAcquisitionOfEarlierTermIsRefused(t *testing.T) {
	s := newStore(testTTL)
	lead := func(term uint64) {
		data, err := encodeNumbered(commandLeader, term, &pb.Hello{DaemonId: "1"})
		require.NoError(t, err)
		s.Apply(0, data)
	}
	acquire := func(term, replaces uint64, holder string) bool {
		data, err := encodeNumbered(commandAcquire, term, &pb.PoolLease{Name: "p", Holder: holder, FencingToken: replaces})
		require.NoError(t, err)
		return s.Apply(0, data).(leaseResult).ok
	}
	lead(5)
	require.True(t, acquire(5, 0, "a"))
	lead(6)
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

// Guards against a leader that removes itself and takes the groups that it
// leads down with it, instead of handing over first.
func TestRemoveLeader(t *testing.T) {
	st := startTestStore(t, 3, nil)
	ctx := timeout(t, 30*time.Second)
	readAnywhere(ctx, st)
	leader := st.leader()
	req := &pb.ChangeMembersRequest{Remove: leader.id}
	_, err := st.operators(leader).ChangeMembers(ctx, connect.NewRequest(req))
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	require.Eventually(t, func() bool {
		resp, err := st.operators(st.leader()).ChangeMembers(ctx, connect.NewRequest(req))
		return err == nil && len(resp.Msg.Members) == 2
	}, 20*time.Second, 20*time.Millisecond)
	st.kill(leader)
	require.NotNil(t, changeAnywhere(ctx, st, configOp{value: "/a"}))
}

// Guards against a cutover that is reported complete while a daemon still works
// on the old service, or before every daemon knows of it.
func TestCutoverCompletesAfterLastRequest(t *testing.T) {
	srv, err := New(Options{ServingTTL: testTTL})
	require.NoError(t, err)
	defer func() { require.NoError(t, srv.Close()) }()
	ctx := timeout(t, 20*time.Second)
	ops := &operators{srv}
	renew := func(id string, applied uint64, old uint32) {
		_, err := srv.renewServing(ctx, &pb.RenewServingRequest{DaemonId: id, AppliedVersion: applied, InFlight: []*pb.InFlight{
			{Route: "r", Service: "new", Count: 7}, {Route: "r", Service: "old", Count: old},
		}})
		require.NoError(t, err)
	}
	put := change("r1", 0, "/a")
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
