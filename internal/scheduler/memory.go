package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// usableMemoryPart is the part of an engine's memory that forecasts may
	// fill. Output lengths are estimated by their median. With eight requests
	// that have half of their output left on average, and lengths that vary by
	// half, the sum varies by about 7%; two such deviations are left free. An
	// engine that runs out of memory evicts a request and prefills its prompt
	// again.
	usableMemoryPart = 0.87
	// overrunPart is the output, relative to the estimate, that is assumed to
	// remain for a request that has less than half as much left or exceeds its
	// estimate.
	overrunPart = 0.2
)

// fitsPeakMemory reports whether a request fits the memory of an engine until
// its end, given how the requests that run there grow.
func (p *Pool) fitsPeakMemory(m *upstreamRecord, r *policy.Request, now time.Duration) bool {
	holds := p.holds.byDecode[m]
	growths := make([]policy.RequestGrowth, 0, len(holds)+1)
	tokenSeconds := m.view.TokenSeconds(m.view.Batch)
	for _, h := range holds {
		growths = append(growths, forecastGrowth(h, tokenSeconds, now))
	}
	for range p.foreignRequestCount(m, now) {
		// Nothing is known of foreign requests. They are assumed to be of mean
		// size and half complete.
		meanOutput := p.holds.workload.outputTokens.value
		growths = append(growths, policy.RequestGrowth{UsedTokens: p.holds.workload.promptTokens.value + meanOutput/2, RemainingTokens: meanOutput / 2})
	}
	growths = append(growths, policy.RequestGrowth{UsedTokens: float64(r.PromptTokens), RemainingTokens: float64(r.MaxOutput)})
	total := float64(m.view.TotalPieces * int(m.state.PieceTokens))
	return policy.PeakMemory(growths) <= usableMemoryPart*total
}

// forecastGrowth estimates the used and remaining tokens of a hold from the
// engine's time per token.
func forecastGrowth(h *hold, tokenSeconds float64, now time.Duration) policy.RequestGrowth {
	generated := 0.0
	if h.firstTokenAt > 0 && tokenSeconds > 0 {
		generated = (now - h.firstTokenAt).Seconds() / tokenSeconds
	}
	expected := float64(h.outputTokens)
	remaining := expected - generated
	if remaining < overrunPart*expected/2 {
		remaining = overrunPart * expected
	}
	return policy.RequestGrowth{UsedTokens: float64(h.promptTokens) + generated, RemainingTokens: remaining}
}

// foreignTTL is how long a reported load is used. Requests take some seconds,
// and each one that starts on the engine brings a newer report.
const foreignTTL = 2 * time.Second

// applyReportedLoad takes the load that an engine reported in a response. What
// exceeds the engine's holds was placed by entries themselves or under another
// lease.
func (p *Pool) applyReportedLoad(m *upstreamRecord, l *pb.StatedLoad, now time.Duration) {
	if l == nil {
		return
	}
	m.foreignRequests = max(0, int(l.Running+l.Waiting)-m.view.Batch)
	m.foreignReportedAt = now
	m.view.ForeignBatch = m.foreignRequests
}

// foreignRequestCount returns the number of requests on an engine that no hold
// accounts for, 0 once the report is older than foreignTTL.
func (p *Pool) foreignRequestCount(m *upstreamRecord, now time.Duration) int {
	if m.foreignRequests > 0 && now-m.foreignReportedAt > foreignTTL {
		m.foreignRequests = 0
		m.view.ForeignBatch = 0
	}
	return m.foreignRequests
}
