package scheduler

import (
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// busyPart and idlePart are the hysteresis of role changes: a role is short
	// when it is used above busyPart while the other is used below idlePart.
	busyPart = 0.9
	idlePart = 0.5
	// minOfRole engines keep each role.
	minOfRole = 1
	// roleCooldown is the time between role changes of a pool, in units of
	// RoleHold: the effect of one change must show before the next.
	roleCooldown = 2
)

// roleState is the memory of the roles controller, guarded by the orders lock.
type roleState struct {
	shortRole pb.EngineRole
	since     time.Duration
	changedAt time.Duration
	changed   bool
}

// changeRoles is the roles controller: when one role has been short of
// capacity for RoleHold while the other had plenty, the least busy engine of
// the other role drains and changes.
func (p *Pool) changeRoles(now time.Duration) []Action {
	if p.params.BalanceRoles {
		return p.balanceRoles(now)
	}
	if p.params.RoleHold < 0 {
		return nil
	}
	defer p.lock(upstreamsTable | holdsTable | queueTableBit | linksTable | ordersTable)()
	s := &p.orders.roles
	short := p.shortRole()
	if short != s.shortRole {
		s.shortRole = short
		s.since = now
	}
	if short == pb.EngineRole_ENGINE_ROLE_UNSPECIFIED || now-s.since < p.params.RoleHold {
		return nil
	}
	if s.changed && now-s.changedAt < roleCooldown*p.params.RoleHold {
		return nil
	}
	m := p.spareEngine(short)
	if m == nil {
		return nil
	}
	s.changed = true
	s.changedAt = now
	o := &pb.EngineOrder{UpstreamId: m.view.ID, FencingToken: p.token, Order: &pb.EngineOrder_SetRole{SetRole: short}}
	p.addOrder(m, o, true, now)
	return []Action{Note{Kind: "role.change", Upstream: m.view.ID, Detail: roleName(short)}}
}

// shortRole returns the role that is short of capacity while requests wait.
func (p *Pool) shortRole() pb.EngineRole {
	if len(p.queue.byTicket) == 0 {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	prefill, decode := p.usedParts()
	switch {
	case decode >= busyPart && prefill <= idlePart:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	case prefill >= busyPart && decode <= idlePart:
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	}
	return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
}

// usedParts returns the used part of the prefill engines (those with work) and
// of the decode memory or batch, whichever is used more.
func (p *Pool) usedParts() (prefill, decode float64) {
	var prefills, busy, pieces, held, slots, batch float64
	for _, m := range p.upstreams.byID {
		v := &m.view
		if !v.Usable {
			continue
		}
		switch m.state.Role {
		case pb.EngineRole_ENGINE_ROLE_PREFILL:
			prefills++
			if v.Batch > 0 {
				busy++
			}
		case pb.EngineRole_ENGINE_ROLE_DECODE:
			pieces += float64(v.TotalPieces)
			held += float64(v.HeldPieces + v.ForeignPieces)
			slots += float64(v.MaxBatch)
			batch += float64(v.Batch + v.ForeignBatch)
		}
	}
	if prefills == 0 || pieces == 0 || slots == 0 {
		return 0, 0
	}
	return busy / prefills, max(held/pieces, batch/slots)
}

// spareEngine returns the least busy engine of the role that is not short. A
// model must keep an engine of each role.
func (p *Pool) spareEngine(short pb.EngineRole) *member {
	var out *member
	for _, m := range p.upstreams.byID {
		if !m.isEngine() || m.state.Role == short || !m.view.Usable || !p.sparable(m) {
			continue
		}
		if out == nil || lessBusy(m, out) {
			out = m
		}
	}
	return out
}

func lessBusy(a, b *member) bool {
	if a.view.Batch != b.view.Batch {
		return a.view.Batch < b.view.Batch
	}
	return strings.Compare(a.view.ID, b.view.ID) < 0
}

func (p *Pool) sparable(m *member) bool {
	for _, model := range m.state.Models {
		c := p.upstreams.group(model)
		list := c.decode
		if m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			list = c.prefill
		}
		others := slices.DeleteFunc(slices.Clone(list), func(e *policy.Engine) bool { return !e.Usable || e == &m.view })
		if len(others) < minOfRole {
			return false
		}
	}
	return true
}
