package scheduler

import (
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// reportRoleTimeout bounds the question for an engine's role.
	reportRoleTimeout = 500 * time.Millisecond
	// reportRoleWait is how long a new leader that may send orders waits for the reports of
	// engines before it decides: the question, and the interval in which it is asked.
	reportRoleWait = reportRoleTimeout + 2*ordersInterval
	// ignoredOrderCheck is the time after an accepted order from which on an engine that
	// reports its old role and no order in progress does not carry it out. Reports are up to
	// 0.9 s old.
	ignoredOrderCheck = 2 * time.Second
	// ignoredOrderDelay is how long an engine that accepted an order and did not change gets no
	// other one. The engine is out of service for some seconds with each.
	ignoredOrderDelay = 30 * time.Second
)

// maxIntervalDoublings limits the interval between role changes to 32 s.
const maxIntervalDoublings = 5

// roleInterval is the time between role changes. It doubles with each order that was ignored:
// otherwise, in a pool whose engines all ignore orders, some engine would always be out of
// service.
func (t *upstreamTable) roleInterval() time.Duration {
	return roleChangeInterval << min(t.ignoredOrders, maxIntervalDoublings)
}

// roleQuestion is the last question for the role of an engine.
type roleQuestion struct {
	at              time.Duration
	asked, answered bool
}

// askRoles asks each engine whether it is carrying out an order of an earlier leader: once when
// it is known, so that it gets no requests, and once when that leader can have sent no more
// orders, so that the role changes of this leader rest on all of them. An engine that has
// accepted an order of this leader is asked whether it carries it out. Reports are up to 0.9 s
// old, so an order sent in the last second of the old lease may be missed; leaders that lose
// their majority stop sooner than that.
func (p *Pool) askRoles(out []Action, now time.Duration) []Action {
	if !p.params.BalanceRoles {
		return out
	}
	var due []*upstreamRecord
	for _, m := range p.upstreams.byID {
		if m.isEngine() && m.health == pb.UpstreamStatus_LIVE && p.mustAskRole(m, now) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *upstreamRecord) int { return strings.Compare(a.view.ID, b.view.ID) })
	for _, m := range due {
		m.question = roleQuestion{at: now, asked: true}
		out = append(out, AskRole{Engine: m.state, AskedAt: now})
	}
	return out
}

func (p *Pool) mustAskRole(m *upstreamRecord, now time.Duration) bool {
	from := p.firstOrderAt(m, roleOrderTimeout)
	due := func(at time.Duration) bool { return m.question.at < at && now >= at }
	return !m.question.asked || due(from) || m.changingRole && due(m.checkRoleAt)
}

// rolesKnown reports whether each live engine has told whether it is carrying out an order of an
// earlier leader, or has had the time to.
func (p *Pool) rolesKnown(now time.Duration) bool {
	for _, m := range p.upstreams.byID {
		if !m.isEngine() || m.health != pb.UpstreamStatus_LIVE {
			continue
		}
		from := p.firstOrderAt(m, roleOrderTimeout)
		answered := m.question.answered && m.question.at >= from
		if now < from || !answered && now < from+reportRoleWait {
			return false
		}
	}
	return true
}

// RoleReported reports the outcome of an AskRole action; the report is nil if there is none. It
// returns true when the reports are complete.
func (p *Pool) RoleReported(x AskRole, r *upstream.RoleReport, now time.Duration) ([]Action, bool) {
	defer p.lock(upstreamsBit | queueBit | ordersBit)()
	m := p.upstreams.byID[x.Engine.Id]
	if m == nil || m.state.Generation != x.Engine.Generation {
		return nil, false
	}
	m.question.answered = m.question.answered || m.question.at == x.AskedAt
	complete := p.rolesKnown(now)
	// A report with another role than the announced one is older than the announcement, or the
	// announcement of the new role is on its way.
	if r == nil || r.Busy == m.changingRole || r.Role != roleName(m.state.Role) {
		return nil, complete
	}
	if m.changingRole {
		if m.checkRoleAt == 0 || x.AskedAt < m.checkRoleAt {
			return nil, complete
		}
		return []Action{p.endIgnoredOrder(m, now)}, complete
	}
	m.changingRole, m.targetRole, m.checkRoleAt = true, otherRole(m.state.Role), 0
	m.announceRoleBy = now + p.params.RoleSwitchTime + announceRoleTimeout
	p.upstreams.refresh(m, &p.params, now)
	p.upstreams.revision++
	return []Action{TimelineEvent{Kind: "role.in_progress", Upstream: m.view.ID, Detail: roleName(m.targetRole)}}, complete
}

// endIgnoredOrder uses an engine again that has accepted an order and not changed its role.
func (p *Pool) endIgnoredOrder(m *upstreamRecord, now time.Duration) Action {
	m.changingRole = false
	m.roleOrderAfter = now + ignoredOrderDelay
	if m.health == pb.UpstreamStatus_LIVE {
		p.upstreams.ignoredOrders++
	}
	p.upstreams.refresh(m, &p.params, now)
	p.upstreams.revision++
	p.unblockQueue()
	return TimelineEvent{Kind: "role.not_changed", Upstream: m.view.ID, Detail: roleName(m.state.Role)}
}

func otherRole(r pb.EngineRole) pb.EngineRole {
	if r == pb.EngineRole_ENGINE_ROLE_PREFILL {
		return pb.EngineRole_ENGINE_ROLE_DECODE
	}
	return pb.EngineRole_ENGINE_ROLE_PREFILL
}
