package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// orderRole queues an order of the roles controller to an engine.
func orderRole(p *Pool, id string, role pb.EngineRole, now time.Duration) uint64 {
	o := &pb.EngineOrder{UpstreamId: id, DeadlineMs: toMillis(roleOrderTimeout), Order: &pb.EngineOrder_SetRole{SetRole: role}}
	return p.addOrder(p.upstreams.byID[id], o, true, now)
}

func announceStart(p *Pool, id string, generation uint64, now time.Duration) {
	s := platformEngine(id, roleDecode)
	s.Generation, s.ChecksFencing = generation, true
	p.Announce([]*pb.UpstreamState{s}, now)
}

func sentOrders(actions []Action) (sent []SendOrder) {
	for _, a := range actions {
		if x, ok := a.(SendOrder); ok {
			sent = append(sent, x)
		}
	}
	return sent
}

// Guards against a role order to an engine that has started again since it was decided: the
// roles and versions that it was decided on are those of the process before.
func TestRoleOrderOfAPredecessorIsDropped(t *testing.T) {
	p := platformPool(Params{BalanceRoles: true, LeaseTTL: 3 * time.Second, OrdersAfterLease: true})
	announceStart(p, "d1", 1, 0)
	orderRole(p, "d1", rolePrefill, 0)
	announceStart(p, "d1", 2, time.Second)
	require.Empty(t, p.pendingRoles(time.Second))
	for now := time.Second; now < 8*time.Second; now += 100 * time.Millisecond {
		announceStart(p, "d1", 2, now)
		require.Empty(t, sentOrders(p.Run(Orders, now)))
		require.True(t, p.upstreams.byID["d1"].view.Usable)
	}
	orderRole(p, "d1", rolePrefill, 8*time.Second)
	require.Len(t, sentOrders(p.Run(Orders, 8*time.Second)), 1, "control")
}

// Guards against a role change of an engine that is taken for failed, or for accepted, by the
// outcome of an order to the process before.
func TestOutcomeOfAnOrderToAPredecessorIsIgnored(t *testing.T) {
	p := platformPool(Params{BalanceRoles: true, LeaseTTL: time.Millisecond})
	now := 10 * time.Second
	announceStart(p, "d1", 1, now)
	first := orderRole(p, "d1", rolePrefill, now)
	require.Len(t, sentOrders(p.Run(Orders, now)), 1)
	announceStart(p, "d1", 2, now)
	orderRole(p, "d1", rolePrefill, now)
	require.Len(t, sentOrders(p.Run(Orders, now)), 1)
	p.OrderDone(first, "connection refused", now)
	require.True(t, p.upstreams.byID["d1"].changingRole)
	require.Zero(t, p.upstreams.byID["d1"].roleRetryAt)
}

// Guards against capacity that requests of an entry's predecessor hold until their deadlines:
// those granted just before it ended.
func TestRestartedEntryHoldsNothingOfItsPredecessor(t *testing.T) {
	p := platformPool(Params{BalanceRoles: true, LocalPrefill: true, OnDemandMemory: true})
	now := 10 * time.Second
	p.Announce(platformEngines(1, 1), now)
	require.Len(t, submitAll(p, now, 2, 1000, 70), 2)
	entry := p.holds.byID[p.Holds()[0].HoldId].entry
	now += 100 * time.Millisecond
	p.EntryDisconnected(entry.id, now)
	now += minOmittedAge / 2
	p.Restate(&pb.RestateRequest{EntryId: entry.id}, now)
	p.EntryConnected(entry.id)
	p.Run(Expiry, now)
	for _, h := range p.holds.byID {
		require.True(t, h.cancelling, "hold %s", h.id)
	}
}

// Guards against a retry budget that is spent once more by a scheduler whose process has started
// after the retries that entries restate.
func TestRestartedSchedulerDoesNotSpendTheRetryBudgetAgain(t *testing.T) {
	params := Params{RetryRatio: 0.2, RetrySlack: 5, RetryWindow: 10 * time.Second}
	restated := func(now time.Duration) *Pool {
		p := NewPool(testPool, params, policy.Default{}, 8, now, 1)
		p.Restate(&pb.RestateRequest{EntryId: "e", Pool: testPool, FencingToken: 8, RetryBudgetUse: []*pb.RetryBudgetUse{{AgeMs: 3100, Requests: 10, Retries: 5}}}, now)
		return p
	}
	const justStarted, running = 500 * time.Millisecond, 20500 * time.Millisecond
	fresh, known := restated(justStarted), restated(running)
	require.Equal(t, 2.0, fresh.retryBudget.Remaining(justStarted), "0.2 of 10 requests")
	for passed := time.Duration(0); passed < 12*time.Second; passed += 100 * time.Millisecond {
		require.Equal(t, known.retryBudget.Remaining(running+passed), fresh.retryBudget.Remaining(justStarted+passed), passed)
	}
}

// Guards against an engine that gets no request for as long as it reports, because its predecessor
// under its id was leaving and neither tells its start; and against requests to one that is
// leaving, by an announcement that was overtaken.
func TestEngineThatTellsNoStartIsUsedAfterItsPredecessorLeft(t *testing.T) {
	p := platformPool(Params{BalanceRoles: true})
	announce := func(leaving bool, now time.Duration) {
		s := platformEngine("d1", roleDecode)
		s.Generation, s.Leaving = 0, leaving
		p.Announce([]*pb.UpstreamState{s}, now)
	}
	now := 10 * time.Second
	announce(false, now)
	p.SetStatement(&pb.UpstreamStatement{Id: "d1", Leaving: true}, now)
	announce(true, now)
	announce(false, now+p.params.SilentAfter)
	require.False(t, p.upstreams.byID["d1"].view.Usable, "overtaken")
	now += 10 * time.Second
	announce(false, now)
	require.True(t, p.upstreams.byID["d1"].view.Usable)
	require.False(t, p.upstreams.byID["d1"].saysLeaving)

	announceStart(p, "d2", 7, now)
	s := platformEngine("d2", roleDecode)
	s.Generation, s.Leaving = 7, true
	p.Announce([]*pb.UpstreamState{s}, now)
	announceStart(p, "d2", 7, now+10*time.Second)
	require.False(t, p.upstreams.byID["d2"].view.Usable, "the same process")
}
