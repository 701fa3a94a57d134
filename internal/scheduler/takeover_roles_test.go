package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

const (
	switchTime = 6 * time.Second
	reportLag  = 900 * time.Millisecond
)

// roleEngine is an engine that carries out role orders. It announces its old role meanwhile.
type roleEngine struct {
	state      *pb.UpstreamState
	acceptedAt time.Duration
}

func (e *roleEngine) busy(now time.Duration) bool {
	return e.acceptedAt > 0 && now >= e.acceptedAt && now < e.acceptedAt+switchTime
}

func (e *roleEngine) announcement(now time.Duration) *pb.UpstreamState {
	if e.acceptedAt > 0 && now >= e.acceptedAt+switchTime {
		e.state.Role, e.acceptedAt = roleDecode, 0
	}
	return e.state
}

// roleFleet is four prefill and five decode engines, which leaders command in turn. The
// workload needs two prefill engines.
type roleFleet struct {
	engines map[string]*roleEngine
	ids     []string
	// left is the number of orders that still arrive. noReports is set if no engine reports.
	left      int
	noReports bool
}

func newRoleFleet() *roleFleet {
	f := &roleFleet{engines: map[string]*roleEngine{}}
	for _, s := range platformEngines(4, 5) {
		s.ChecksFencing = true
		f.engines[s.Id] = &roleEngine{state: s}
		f.ids = append(f.ids, s.Id)
	}
	return f
}

// leader returns the pool of a new leader, with requests enough to know the workload.
func (f *roleFleet) leader(token uint64, now time.Duration) *Pool {
	params := Params{
		BalanceRoles: true, DisableForecast: true, UrgentReserve: -1, RestateWindow: time.Millisecond,
		LeaseTTL: 3 * time.Second, OrdersAfterLease: true, RoleSwitchTime: switchTime,
	}
	p := NewPool(testPool, params, policy.Default{}, token, now, 1)
	f.announce(p, now)
	for _, g := range submitAll(p, now+time.Millisecond, minWorkloadSamples, 5200, 4900) {
		if f.engines[g.Prefill.Id].acceptedAt > 0 {
			// The engine that changes its role is not the least busy one.
			continue
		}
		p.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_CANCELLED}, now+time.Millisecond)
	}
	return p
}

func (f *roleFleet) announce(p *Pool, now time.Duration) {
	var states []*pb.UpstreamState
	for _, id := range f.ids {
		states = append(states, f.engines[id].announcement(now))
	}
	p.Announce(states, now)
}

// step runs the controllers of a leader every 100 ms.
func (f *roleFleet) step(p *Pool, now time.Duration) {
	f.announce(p, now)
	p.Run(Expiry, now)
	if now%time.Second == 0 {
		p.Run(Roles, now)
	}
	for _, a := range p.Run(Orders, now) {
		switch x := a.(type) {
		case SendOrder:
			f.order(p, x, now)
		case AskRole:
			if f.noReports {
				continue
			}
			e := f.engines[x.Engine.Id]
			p.RoleReported(x, &upstream.RoleReport{Role: roleName(e.state.Role), Busy: e.busy(now - reportLag)}, now)
		}
	}
}

func (f *roleFleet) order(p *Pool, x SendOrder, now time.Duration) {
	if f.left == 0 {
		return
	}
	e := f.engines[x.Engine.Id]
	if e.busy(now) {
		p.OrderDone(x.ID, "another order is in progress", now)
		return
	}
	f.left--
	e.acceptedAt = now
	p.OrderDone(x.ID, "", now)
}

// prefillEngines returns the number of prefill engines that accept requests.
func (f *roleFleet) prefillEngines(now time.Duration) (n int) {
	for _, e := range f.engines {
		if e.state.Role == rolePrefill && !e.busy(now) {
			n++
		}
	}
	return n
}

// lead runs a leader every 100 ms from one time to another, and until it has had n orders
// accepted. It returns when the first was.
func (f *roleFleet) lead(t *testing.T, p *Pool, from, to time.Duration, n int) (firstAt time.Duration) {
	f.left = n
	for now := from; now < to && f.left > 0; now += 100 * time.Millisecond {
		f.step(p, now)
		require.GreaterOrEqual(t, f.prefillEngines(now), 2, "prefill engines at %v", now)
		if f.left < n && firstAt == 0 {
			firstAt = now
		}
	}
	return firstAt
}

// Guards against a new leader that orders another engine because one that its predecessor has
// ordered announces its old role until the change is complete: too few prefill engines are left
// for seconds. And against one that waits longer than needed for role changes that nobody makes.
func TestNewLeaderCountsTheRoleChangesOfItsPredecessor(t *testing.T) {
	const leaseEnd = 3100 * time.Millisecond
	for _, c := range []struct {
		name string
		// between is what happens after the order of the first leader was accepted.
		between func(f *roleFleet, ordered *roleEngine, takeover time.Duration)
		orders  int
		by      time.Duration
	}{
		{"order accepted", func(*roleFleet, *roleEngine, time.Duration) {}, 1, 8 * time.Second},
		{"order lost", func(_ *roleFleet, e *roleEngine, _ time.Duration) { e.acceptedAt = 0 }, 2, leaseEnd + time.Second},
		{"accepted after the takeover", func(_ *roleFleet, e *roleEngine, takeover time.Duration) {
			e.acceptedAt = takeover + 1900*time.Millisecond
		}, 1, 8 * time.Second},
		{"engine restarted", func(f *roleFleet, e *roleEngine, _ time.Duration) {
			e.acceptedAt = 0
			e.state.Generation++
		}, 2, leaseEnd + time.Second},
		{"engines without reports", func(f *roleFleet, e *roleEngine, _ time.Duration) {
			e.acceptedAt = 0
			f.noReports = true
		}, 2, leaseEnd + reportRoleWait + time.Second},
	} {
		f := newRoleFleet()
		at := f.lead(t, f.leader(7, 0), 100*time.Millisecond, 10*time.Second, 1)
		require.NotZero(t, at, c.name)
		var ordered *roleEngine
		for _, e := range f.engines {
			if e.busy(at) {
				ordered = e
			}
		}
		takeover := at + time.Second
		c.between(f, ordered, takeover)
		firstAt := f.lead(t, f.leader(8, takeover), takeover, takeover+30*time.Second, 9)
		require.Equal(t, c.orders, 9-f.left, c.name)
		require.Greater(t, firstAt, takeover+3*time.Second, c.name)
		require.LessOrEqual(t, firstAt, takeover+c.by, c.name)
	}
}

// Guards against an engine that gets no requests for good because it always reports an order in
// progress.
func TestEngineThatStaysBusyIsUsedAgain(t *testing.T) {
	p := platformPool(Params{BalanceRoles: true, LeaseTTL: time.Second, RoleSwitchTime: switchTime})
	usableAt, wasUsable := time.Duration(0), true
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		p.Announce([]*pb.UpstreamState{platformEngine("p1", rolePrefill)}, now)
		p.Run(Expiry, now)
		usable := p.upstreams.byID["p1"].view.Usable
		if usable && !wasUsable {
			usableAt = now
		}
		wasUsable = usable
		for _, a := range p.Run(Orders, now) {
			if x, ok := a.(AskRole); ok {
				p.RoleReported(x, &upstream.RoleReport{Role: "prefill", Busy: true}, now)
			}
		}
	}
	require.Equal(t, switchTime+announceRoleTimeout, usableAt)
	require.True(t, wasUsable)
}
