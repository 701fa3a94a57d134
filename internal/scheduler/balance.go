package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// minMixSamples is the number of requests from which the mix of work is
	// trusted: the mean of 15 prompts is mostly within a fifth of the usual one.
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
	// prefill and decode are seconds of an engine, pieces the memory of an
	// answer, prompt and answer the usual sizes in tokens.
	prefill, decode, pieces mean
	prompt, answer          mean
	// expected counts the requests whose work was forecast at their grant,
	// answered those whose work was measured.
	expected, answered int
}

// known reports whether the mix can be trusted.
func (m *mix) known() bool { return m.expected+m.answered >= minMixSamples }

// granted learns from what a request states, until enough answers are complete.
// Answers take seconds, and a burst in which a new leader knows nothing of its
// pool's work is over before enough of them have ended.
func (m *mix) granted(h *hold) {
	if m.answered >= minMixSamples {
		return
	}
	m.expected++
	read := float64(h.uncached) / max(1, h.prefill.speed.PrefillRate)
	if !h.direct {
		m.prefill.add(read)
	}
	m.decode.add(read + float64(h.maxOutput)*h.decode.speed.DecodeSeconds)
	m.sizes(h)
}

func (m *mix) read(seconds float64) { m.prefill.add(seconds) }

func (m *mix) completed(seconds float64, h *hold) {
	m.decode.add(seconds)
	m.sizes(h)
	m.answered++
}

func (m *mix) sizes(h *hold) {
	m.prompt.add(float64(h.promptTokens))
	m.answer.add(float64(h.maxOutput))
	// An answer holds its prompt and on average half of its tokens.
	pieceTokens := max(1, float64(h.decode.state.PieceTokens))
	m.pieces.add((float64(h.promptTokens) + float64(h.maxOutput)/2) / pieceTokens)
}

// mean is the plain mean of the first samples, then a moving one.
type mean struct {
	value float64
	count int
}

func (m *mean) add(sample float64) {
	m.count++
	m.value += max(mixGain, 1/float64(m.count)) * (sample - m.value)
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
		batch += min(float64(m.view.MaxBatch), float64(m.view.TotalPieces)/max(1, work.pieces.value))
	}
	return prefill, decode, changing, batch
}

// withoutSpare reports whether the prefill side is smaller than it may ever be.
func (p *Pool) withoutSpare() bool {
	prefill, decode, _, _ := p.sides()
	return prefill < policy.MinPrefillEngines(prefill+decode)
}

// shortSide returns the role that should have one engine more. Until the mix of
// work is known, only a missing spare counts.
func (p *Pool) shortSide() pb.EngineRole {
	prefill, decode, changing, batch := p.sides()
	if changing >= max(1, (prefill+decode)/changingPart) {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	if prefill < policy.MinPrefillEngines(prefill+decode) {
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	}
	work := &p.holds.mix
	if !work.known() || prefill == 0 || decode == 0 {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	m := policy.Workload{PrefillSeconds: work.prefill.value, DecodeSeconds: work.decode.value, Batch: batch / float64(decode)}
	switch target := m.TargetPrefillEngines(prefill+decode, prefill); {
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
