package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// minMixSamples is the number of completed requests from which the mix of
	// work is trusted.
	minMixSamples = 15
	// mixGain follows a change of the mix within some tens of requests.
	mixGain = 0.05
	// balanceHold is how long an imbalance must last before an engine changes
	// its role, and balancePause the time between changes of a pool.
	balanceHold  = time.Second
	balancePause = time.Second
	// changingPart is the part of a pool's engines that may change their role at
	// once: each is away for some seconds.
	changingPart = 8
	// scarceHold replaces balanceHold for a change that takes an engine from
	// the decode side: its answers must end first, so it pays only when the
	// prefill side stays short.
	scarceHold = 8 * time.Second
	// spareHold replaces scarceHold while the prefill side is smaller than it
	// may ever be. It lasts longer than a new leader takes to hear of every
	// engine (one report each, once a second) and than a short outage.
	spareHold = 2500 * time.Millisecond
	// orderLimit bounds a role order; the engine only notes it.
	orderLimit = 1500 * time.Millisecond
)

// mix is the learned work of the pool's requests, guarded by the holds lock.
type mix struct {
	prefill float64
	decode  float64
	pieces  float64
	// prompt and answer are the usual sizes in tokens.
	prompt  float64
	answer  float64
	samples int
}

func (m *mix) read(seconds float64) { learnMean(&m.prefill, seconds) }

func (m *mix) answered(seconds float64, h *hold, pieceTokens int) {
	learnMean(&m.decode, seconds)
	learnMean(&m.prompt, float64(h.promptTokens))
	learnMean(&m.answer, float64(h.maxOutput))
	// An answer holds its prompt and on average half of its tokens.
	learnMean(&m.pieces, (float64(h.promptTokens)+float64(h.maxOutput)/2)/float64(max(1, pieceTokens)))
	m.samples++
}

func learnMean(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += mixGain * (sample - *value)
}

// balanceRoles moves engines between the sides so that the measured mix of
// work uses both alike.
func (p *Pool) balanceRoles(now time.Duration) []Action {
	defer p.lock(upstreamsTable | holdsTable | queueTableBit | linksTable | ordersTable)()
	s := &p.orders.roles
	short := p.shortSide()
	if short != s.shortRole {
		s.shortRole = short
		s.since = now
	}
	hold := balanceHold
	if short == pb.EngineRole_ENGINE_ROLE_PREFILL {
		hold = scarceHold
		if p.withoutSpare() {
			hold = spareHold
		}
	}
	if short == pb.EngineRole_ENGINE_ROLE_UNSPECIFIED || now-s.since < hold {
		return nil
	}
	if s.changed && now-s.changedAt < balancePause {
		return nil
	}
	m := p.spareEngine(short)
	if m == nil || p.ordered(m) {
		return nil
	}
	s.changed = true
	s.changedAt = now
	o := &pb.EngineOrder{
		UpstreamId: m.view.ID, FencingToken: p.token, DeadlineMs: millis(orderLimit),
		Order: &pb.EngineOrder_SetRole{SetRole: short},
	}
	p.addOrder(m, o, true, now)
	return []Action{Note{Kind: "role.change", Upstream: m.view.ID, Detail: roleName(short)}}
}

// sides counts the live engines of each role and those that change theirs; an
// engine on its way to the other side counts there already. batch is the room
// of the decode side in answers.
func (p *Pool) sides() (prefill, decode, changing int, batch float64) {
	work := &p.holds.mix
	for _, m := range p.upstreams.byID {
		if m.health != pb.UpstreamStatus_LIVE || !m.isEngine() {
			continue
		}
		role := m.state.Role
		if p.ordered(m) {
			// An engine on its way to the other side counts there already.
			changing++
			role = otherRole(role)
		}
		if role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			prefill++
			continue
		}
		decode++
		batch += min(float64(m.view.MaxBatch), float64(m.view.TotalPieces)/max(1, work.pieces))
	}
	return prefill, decode, changing, batch
}

// withoutSpare reports whether the prefill side is smaller than it may ever be.
func (p *Pool) withoutSpare() bool {
	prefill, decode, _, _ := p.sides()
	return prefill < policy.LeastPrefill(prefill+decode)
}

// shortSide returns the role that should have one engine more. Until the mix of
// work is known, only a missing spare counts.
func (p *Pool) shortSide() pb.EngineRole {
	prefill, decode, changing, batch := p.sides()
	if changing >= max(1, (prefill+decode)/changingPart) {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	if prefill < policy.LeastPrefill(prefill+decode) {
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	}
	work := &p.holds.mix
	if work.samples < minMixSamples || prefill == 0 || decode == 0 {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	m := policy.Mix{PrefillSeconds: work.prefill, DecodeSeconds: work.decode, Batch: batch / float64(decode)}
	switch target := m.PrefillEngines(prefill + decode); {
	case target == 0 || target == prefill:
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	case target < prefill:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	}
	return pb.EngineRole_ENGINE_ROLE_PREFILL
}

// ordered reports whether an engine is changing its role or has an order to.
func (p *Pool) ordered(m *member) bool {
	if m.changing {
		return true
	}
	for _, o := range p.orders.byID {
		if _, role := o.role(); role && o.order.UpstreamId == m.view.ID {
			return true
		}
	}
	return false
}

func otherRole(r pb.EngineRole) pb.EngineRole {
	if r == pb.EngineRole_ENGINE_ROLE_PREFILL {
		return pb.EngineRole_ENGINE_ROLE_DECODE
	}
	return pb.EngineRole_ENGINE_ROLE_PREFILL
}
