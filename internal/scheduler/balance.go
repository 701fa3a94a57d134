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
	// unbiasedSamples is the number of completed requests from which on their
	// mean time stands for all: of the requests that were granted first, the
	// short ones complete first.
	unbiasedSamples = 150
	// workloadGain is the weight of a new sample, which adapts to a change of
	// the workload within some tens of requests.
	workloadGain = 0.05
	// imbalanceDelay is how long an imbalance must last before engines change
	// their role, and roleChangeInterval the time between role changes of a
	// pool.
	imbalanceDelay     = time.Second
	roleChangeInterval = time.Second
	// roleChangeDivisor limits concurrent changes from prefill to decode to one
	// in roleChangeDivisor of a pool's engines, but at least one, because an
	// engine is unavailable for some seconds while it changes. Decode engines
	// have running requests and change in smaller numbers.
	roleChangeDivisor       = 4
	decodeRoleChangeDivisor = 8
	// surplusDivisor divides the number of surplus prefill engines to give the
	// number that changes at once, rounded up: the next ones change when newer
	// measurements still show a surplus.
	surplusDivisor = 2
	// roleRetryDelay is added to the time of a role change to give the time in which
	// an engine that did not confirm a role order gets no other one and counts for
	// the role it was ordered to. It may carry the order out late, and an order to
	// another engine in its place would then be one change too many.
	roleRetryDelay = 5 * time.Second
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

// unspecifiedRole stands for no change of a role.
const unspecifiedRole = pb.EngineRole_ENGINE_ROLE_UNSPECIFIED

// workload is the learned work per request of the pool. It is guarded by the
// holds lock.
type workload struct {
	// prefillSeconds is the time that a request takes on a prefill engine,
	// decodeSeconds the time that it holds a decode slot, and requestPieces its
	// mean decode memory.
	prefillSeconds, decodeSeconds, requestPieces runningMean
	promptTokens, outputTokens                   runningMean
	// forecasts counts the requests whose sizes were learned when they were
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
	m.addSizes(h)
}

// seconds returns the mean time of a request on a prefill engine and in a decode
// slot. It is forecast from the sizes of requests and the pool's typical rates
// until it has been measured.
func (m *workload) seconds(r policy.Rates, batch float64, maxBatch int) (prefill, decode float64) {
	prefill = m.promptTokens.value / max(1, r.PrefillRate)
	decode = prefill + m.outputTokens.value*r.DecodeSeconds*policy.BatchFactor(int(batch), maxBatch)
	if m.prefillSeconds.count >= minWorkloadSamples {
		prefill = m.prefillSeconds.value
	}
	switch {
	case m.decodeSeconds.count >= unbiasedSamples:
		decode = m.decodeSeconds.value
	case m.decodeSeconds.count >= minWorkloadSamples:
		decode = max(decode, m.decodeSeconds.value)
	}
	return prefill, decode
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
	needed, count := p.roleBelowTarget(now)
	if needed != s.neededRole {
		s.neededRole = needed
		s.neededSince = now
	}
	delay := imbalanceDelay
	if needed == pb.EngineRole_ENGINE_ROLE_PREFILL {
		delay = decodeToPrefillDelay
		if p.lacksPrefill(now) {
			delay = missingPrefillDelay
		}
	}
	if needed == unspecifiedRole || now-s.neededSince < delay {
		return nil
	}
	if s.changed && now-s.changedAt < p.upstreams.roleInterval() || !p.rolesKnown(now) {
		return nil
	}
	var out []Action
	for _, m := range p.underusedEngines(needed, count, now) {
		s.changed = true
		s.changedAt = now
		o := &pb.EngineOrder{
			UpstreamId: m.view.ID, FencingToken: p.fencingToken, DeadlineMs: toMillis(roleOrderTimeout),
			Order: &pb.EngineOrder_SetRole{SetRole: needed},
		}
		p.addOrder(m, o, true, now)
		out = append(out, TimelineEvent{Kind: "role.change", Upstream: m.view.ID, Detail: roleName(needed)})
	}
	return out
}

// countRoles counts the live engines of each role and the engines that are
// changing theirs. An engine that is changing counts for its new role. slots is
// the number of requests that the decode engines can run, as limited by batch
// size and memory.
func (p *Pool) countRoles(now time.Duration) (prefill, decode, changing int, slots float64) {
	work := &p.holds.workload
	pending := p.pendingRoles(now)
	for _, m := range p.upstreams.byID {
		if m.health != pb.UpstreamStatus_LIVE || !m.isEngine() {
			continue
		}
		role := m.state.Role
		if target := pending[m]; target != unspecifiedRole {
			changing++
			role = target
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
func (p *Pool) lacksPrefill(now time.Duration) bool {
	prefill, decode, _, _ := p.countRoles(now)
	return prefill < policy.MinPrefillEngines(prefill+decode)
}

// roleBelowTarget returns the role that should have more engines, and how many
// may change to it now. While the workload is not known, only the minimum of
// prefill engines counts.
func (p *Pool) roleBelowTarget(now time.Duration) (pb.EngineRole, int) {
	prefill, decode, changing, slots := p.countRoles(now)
	total := prefill + decode
	if prefill < policy.MinPrefillEngines(total) {
		return allowedChanges(pb.EngineRole_ENGINE_ROLE_PREFILL, 1, changing, total/decodeRoleChangeDivisor)
	}
	work := &p.holds.workload
	if !work.reliable() || prefill == 0 || decode == 0 {
		return unspecifiedRole, 0
	}
	batch := slots / float64(decode)
	m := policy.Workload{Batch: batch}
	m.PrefillSeconds, m.DecodeSeconds = work.seconds(p.upstreams.typical, batch, p.upstreams.maxBatch())
	switch target := m.TargetPrefillEngines(total, prefill); {
	case target == 0 || target == prefill:
		return unspecifiedRole, 0
	case target < prefill:
		surplus := (prefill - target + surplusDivisor - 1) / surplusDivisor
		return allowedChanges(pb.EngineRole_ENGINE_ROLE_DECODE, surplus, changing, total/roleChangeDivisor)
	}
	return allowedChanges(pb.EngineRole_ENGINE_ROLE_PREFILL, 1, changing, total/decodeRoleChangeDivisor)
}

// allowedChanges limits the number of changes to a role by those in progress.
func allowedChanges(role pb.EngineRole, wanted, changing, limit int) (pb.EngineRole, int) {
	n := min(wanted, max(1, limit)-changing)
	if n <= 0 {
		return unspecifiedRole, 0
	}
	return role, n
}

// pendingRoles returns the roles to which engines are changing or have an order to
// change, or may be changing after an order that it did not confirm.
func (p *Pool) pendingRoles(now time.Duration) map[*upstreamRecord]pb.EngineRole {
	out := map[*upstreamRecord]pb.EngineRole{}
	for _, o := range p.orders.byID {
		if role, ok := o.role(); ok {
			if m := p.upstreams.byID[o.order.UpstreamId]; o.concerns(m) {
				out[m] = role
			}
		}
	}
	for _, m := range p.upstreams.byID {
		if m.changingRole || now < m.roleRetryAt && m.state.Role != m.targetRole {
			out[m] = m.targetRole
		}
	}
	return out
}
