package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// minWorkloadSamples is the number of requests from which on the learned
	// workload is used. The mean of 15 prompts is mostly within a fifth of the
	// long-term mean.
	minWorkloadSamples = 15
	// workloadGain is the weight of a new sample, which adapts to a change of
	// the workload within some tens of requests.
	workloadGain = 0.05
	// imbalanceDelay is how long an imbalance must last before an engine
	// changes its role, and roleChangeInterval the time between role changes of
	// a pool.
	imbalanceDelay     = time.Second
	roleChangeInterval = time.Second
	// roleChangeDivisor limits concurrent role changes to one in
	// roleChangeDivisor of a pool's engines, but at least one, because an engine
	// is unavailable for some seconds while it changes.
	roleChangeDivisor = 8
	// decodeToPrefillDelay replaces imbalanceDelay for a change from decode to
	// prefill. The engine must finish its running requests first, so the change
	// pays only when prefill stays overloaded.
	decodeToPrefillDelay = 8 * time.Second
	// missingPrefillDelay replaces decodeToPrefillDelay while there are fewer
	// prefill engines than the minimum. It is longer than a new leader takes to
	// receive a report of every engine (one a second each) and than a short
	// outage.
	missingPrefillDelay = 2500 * time.Millisecond
	// roleOrderTimeout bounds a role order, which the engine only has to
	// record.
	roleOrderTimeout = 1500 * time.Millisecond
)

// workload is the learned work per request of the pool. It is guarded by the
// holds lock.
type workload struct {
	// prefillSeconds is the time that a request takes on a prefill engine,
	// decodeSeconds the time that it holds a decode slot, and requestPieces its
	// mean decode memory.
	prefillSeconds, decodeSeconds, requestPieces runningMean
	promptTokens, outputTokens                   runningMean
	// forecasts counts the requests whose work was forecast when they were
	// granted, measured those whose work was measured.
	forecasts, measured int
}

// reliable reports whether there are enough samples.
func (m *workload) reliable() bool { return m.forecasts+m.measured >= minWorkloadSamples }

// addForecast learns from the size of a granted request until enough requests
// are complete. Requests take seconds: a burst that a new leader must serve
// without knowing the workload would be over before enough of them had
// completed.
func (m *workload) addForecast(h *hold) {
	if m.measured >= minWorkloadSamples {
		return
	}
	m.forecasts++
	prefill := float64(h.prefillTokens) / max(1, h.prefill.speed.PrefillRate)
	if !h.localPrefill {
		m.prefillSeconds.add(prefill)
	}
	m.decodeSeconds.add(prefill + float64(h.outputTokens)*h.decode.speed.DecodeSeconds)
	m.addSizes(h)
}

func (m *workload) addPrefill(seconds float64) { m.prefillSeconds.add(seconds) }

func (m *workload) addCompleted(seconds float64, h *hold) {
	m.decodeSeconds.add(seconds)
	m.addSizes(h)
	m.measured++
}

func (m *workload) addSizes(h *hold) {
	m.promptTokens.add(float64(h.promptTokens))
	m.outputTokens.add(float64(h.outputTokens))
	// A request holds its whole prompt and on average half of its output.
	pieceTokens := max(1, float64(h.decode.state.PieceTokens))
	m.requestPieces.add((float64(h.promptTokens) + float64(h.outputTokens)/2) / pieceTokens)
}

// runningMean is the arithmetic mean of the first samples and then an
// exponential moving average.
type runningMean struct {
	value float64
	count int
}

func (m *runningMean) add(sample float64) {
	m.count++
	m.value += max(workloadGain, 1/float64(m.count)) * (sample - m.value)
}

// balanceRoles changes engines between the roles so that both have the same
// utilisation under the measured workload.
func (p *Pool) balanceRoles(now time.Duration) []Action {
	defer p.lock(upstreamsBit | holdsBit | queueBit | linksBit | ordersBit)()
	s := &p.orders.roles
	needed := p.roleBelowTarget()
	if needed != s.neededRole {
		s.neededRole = needed
		s.neededSince = now
	}
	delay := imbalanceDelay
	if needed == pb.EngineRole_ENGINE_ROLE_PREFILL {
		delay = decodeToPrefillDelay
		if p.lacksPrefill() {
			delay = missingPrefillDelay
		}
	}
	if needed == pb.EngineRole_ENGINE_ROLE_UNSPECIFIED || now-s.neededSince < delay {
		return nil
	}
	if s.changed && now-s.changedAt < roleChangeInterval {
		return nil
	}
	m := p.underusedEngine(needed)
	if m == nil || p.roleChangePending(m) {
		return nil
	}
	s.changed = true
	s.changedAt = now
	o := &pb.EngineOrder{
		UpstreamId: m.view.ID, FencingToken: p.fencingToken, DeadlineMs: toMillis(roleOrderTimeout),
		Order: &pb.EngineOrder_SetRole{SetRole: needed},
	}
	p.addOrder(m, o, true, now)
	return []Action{TimelineEvent{Kind: "role.change", Upstream: m.view.ID, Detail: roleName(needed)}}
}

// countRoles counts the live engines of each role and the engines that are
// changing theirs. An engine that is changing counts for its new role. slots is
// the number of requests that the decode engines can run, as limited by batch
// size and memory.
func (p *Pool) countRoles() (prefill, decode, changing int, slots float64) {
	work := &p.holds.workload
	for _, m := range p.upstreams.byID {
		if m.health != pb.UpstreamStatus_LIVE || !m.isEngine() {
			continue
		}
		role := m.state.Role
		if p.roleChangePending(m) {
			changing++
			role = otherRole(role)
		}
		if role == pb.EngineRole_ENGINE_ROLE_PREFILL {
			prefill++
			continue
		}
		decode++
		slots += min(float64(m.view.MaxBatch), float64(m.view.TotalPieces)/max(1, work.requestPieces.value))
	}
	return prefill, decode, changing, slots
}

// lacksPrefill reports whether there are fewer prefill engines than the
// minimum.
func (p *Pool) lacksPrefill() bool {
	prefill, decode, _, _ := p.countRoles()
	return prefill < policy.MinPrefillEngines(prefill+decode)
}

// roleBelowTarget returns the role that should have one more engine. While the
// workload is not known, only the minimum of prefill engines counts.
func (p *Pool) roleBelowTarget() pb.EngineRole {
	prefill, decode, changing, slots := p.countRoles()
	if changing >= max(1, (prefill+decode)/roleChangeDivisor) {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	if prefill < policy.MinPrefillEngines(prefill+decode) {
		return pb.EngineRole_ENGINE_ROLE_PREFILL
	}
	work := &p.holds.workload
	if !work.reliable() || prefill == 0 || decode == 0 {
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	}
	m := policy.Workload{PrefillSeconds: work.prefillSeconds.value, DecodeSeconds: work.decodeSeconds.value, Batch: slots / float64(decode)}
	switch target := m.TargetPrefillEngines(prefill+decode, prefill); {
	case target == 0 || target == prefill:
		return pb.EngineRole_ENGINE_ROLE_UNSPECIFIED
	case target < prefill:
		return pb.EngineRole_ENGINE_ROLE_DECODE
	}
	return pb.EngineRole_ENGINE_ROLE_PREFILL
}

// roleChangePending reports whether an engine is changing its role or has an
// order to change it.
func (p *Pool) roleChangePending(m *upstreamRecord) bool {
	if m.changingRole {
		return true
	}
	for _, o := range p.orders.byID {
		if _, ok := o.role(); ok && o.order.UpstreamId == m.view.ID {
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
