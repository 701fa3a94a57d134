package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// overloadThreshold and underuseThreshold give role changes a hysteresis: a
	// role is overloaded when its utilisation is at least overloadThreshold
	// while that of the other is at most underuseThreshold.
	overloadThreshold = 0.9
	underuseThreshold = 0.5
	// minEnginesPerRole engines keep their role for each model.
	minEnginesPerRole = 1
	// roleCooldownFactor is the time between role changes of a pool in units of
	// RoleChangeDelay: the effect of one change must show before the next.
	roleCooldownFactor = 2
)

// roleState is the state of the roles controller. It is guarded by the orders
// lock.
type roleState struct {
	// neededRole is the role that should get another engine, since neededSince.
	neededRole  pb.EngineRole
	neededSince time.Duration
	changedAt   time.Duration
	changed     bool
}

// changeRoles is the roles controller. When one role has been overloaded for
// RoleChangeDelay while the other was underused, the least busy engine of the
// other role drains and changes its role.
func (p *Pool) changeRoles(now time.Duration) []Action {
	if p.params.BalanceRoles {
		return p.balanceRoles(now)
	}
	if p.params.RoleChangeDelay < 0 {
		return nil
	}
	defer p.lock(upstreamsBit | holdsBit | queueBit | linksBit | ordersBit)()
	s := &p.orders.roles
	needed := p.overloadedRole()
	if needed != s.neededRole {
		s.neededRole = needed
		s.neededSince = now
	}
	if needed == pb.EngineRole_ENGINE_ROLE_UNSPECIFIED || now-s.neededSince < p.params.RoleChangeDelay {
		return nil
	}
	if s.changed && now-s.changedAt < roleCooldownFactor*p.params.RoleChangeDelay {
		return nil
	}
	engines := p.underusedEngines(needed, 1, now)
	if len(engines) == 0 {
		return nil
	}
	m := engines[0]
	s.changed = true
	s.changedAt = now
	o := &pb.EngineOrder{UpstreamId: m.view.ID, FencingToken: p.fencingToken, Order: &pb.EngineOrder_SetRole{SetRole: needed}}
	p.addOrder(m, o, true, now)
	return []Action{TimelineEvent{Kind: "role.change", Upstream: m.view.ID, Detail: roleName(needed)}}
}

// overloadedRole returns the role that is overloaded while requests are queued.
func (p *Pool) overloadedRole() pb.EngineRole {
	if len(p.queue.byTicket) == 0 {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	prefill, decode := p.utilisation()
	switch {
	case decode >= overloadThreshold && prefill <= underuseThreshold:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	case prefill >= overloadThreshold && decode <= underuseThreshold:
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	}
	return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
}

// utilisation returns the fraction of prefill engines that have work, and the
// used fraction of decode memory or decode slots, whichever is larger.
func (p *Pool) utilisation() (prefill, decode float64) {
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

// underusedEngines returns up to n engines that can change to the needed role, the
// least busy first. Each model keeps engines of each role.
func (p *Pool) underusedEngines(needed pb.EngineRole, n int, now time.Duration) []*upstreamRecord {
	pending := p.pendingRoles(now)
	var list []*upstreamRecord
	remaining := map[string]*roleEngines{}
	for _, m := range p.upstreams.byID {
		if !m.isEngine() || !m.view.Usable {
			continue
		}
		if m.state.Role != needed && pending[m] == unspecifiedRole {
			if now >= m.roleOrderAfter {
				list = append(list, m)
			}
			addRemaining(remaining, m, 1)
		}
		if m.state.Role == pb.EngineRole_ENGINE_ROLE_DECODE {
			addPaired(remaining, m)
		}
	}
	slices.SortFunc(list, compareBusy)
	var out []*upstreamRecord
	for _, m := range list {
		if len(out) == n {
			break
		}
		if canChangeRole(remaining, m) {
			out = append(out, m)
			addRemaining(remaining, m, -1)
		}
	}
	return out
}

// compareBusy orders engines by the number of their requests.
func compareBusy(a, b *upstreamRecord) int {
	return cmp.Or(cmp.Compare(a.view.Batch, b.view.Batch), strings.Compare(a.view.ID, b.view.ID))
}

// roleEngines are the usable engines of a model and role that keep the role, by version.
type roleEngines struct {
	byVersion map[version]int
	// paired are the weights of the usable decode engines.
	paired map[string]bool
}

func roleEnginesOf(byModel map[string]*roleEngines, model string) *roleEngines {
	r := byModel[model]
	if r == nil {
		r = &roleEngines{byVersion: map[version]int{}, paired: map[string]bool{}}
		byModel[model] = r
	}
	return r
}

func addRemaining(byModel map[string]*roleEngines, m *upstreamRecord, n int) {
	for _, model := range m.state.Models {
		roleEnginesOf(byModel, model).byVersion[m.versionOf(model)] += n
	}
}

func addPaired(byModel map[string]*roleEngines, m *upstreamRecord) {
	for _, model := range m.state.Models {
		roleEnginesOf(byModel, model).paired[m.versionOf(model).weights] = true
	}
}

// count returns the number of engines that fit a version.
func (r *roleEngines) count(v version) int {
	n := 0
	for engine, engines := range r.byVersion {
		if v.fits(engine) {
			n += engines
		}
	}
	return n
}

// canChangeRole reports whether enough other engines of the role remain for each model of
// the engine. A decode engine leaves another one to the streams of its version, a prefill
// engine another one to the decode engines of its weights.
func canChangeRole(remaining map[string]*roleEngines, m *upstreamRecord) bool {
	for _, model := range m.state.Models {
		r, needed := remaining[model], m.versionOf(model)
		if m.state.Role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			needed.software = ""
			if !r.paired[needed.weights] {
				needed.weights = ""
			}
		}
		// The engine itself counts too.
		if min(r.count(version{}), r.count(needed))-1 < minEnginesPerRole {
			return false
		}
	}
	return true
}
