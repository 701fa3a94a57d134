package scheduler

import (
	"math"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// memoryDeviations is how many standard deviations of the outputs that remain
	// are left free on an engine. An engine that runs out of memory evicts a
	// request and prefills its prompt again.
	memoryDeviations = 1.0
	// usableMemoryPart is the part of an engine's memory that forecasts may fill.
	// Some is in use by results of prefills that were not fetched and by blocks
	// that are not full.
	usableMemoryPart = 0.97
)

// fitsPeakMemory reports whether a request fits the memory of an engine until
// its end, given how the requests that run there grow.
func (p *Pool) fitsPeakMemory(m *upstreamRecord, r *policy.Request, now time.Duration) bool {
	holds := p.holds.byDecode[m]
	growths := make([]policy.RequestGrowth, 0, len(holds)+1)
	variance := 0.0
	add := func(promptTokens, estimate, generated float64) {
		mean, v := p.holds.outputs.Remaining(estimate, generated)
		growths = append(growths, policy.RequestGrowth{UsedTokens: promptTokens + generated, RemainingTokens: mean})
		variance += v
	}
	tokenSeconds := m.view.TokenSeconds(m.view.Batch)
	for _, h := range holds {
		add(float64(h.promptTokens), float64(h.outputTokens), h.generatedTokens(tokenSeconds, now))
	}
	work := &p.holds.workload
	for range p.foreignRequestCount(m, now) {
		// Nothing is known of foreign requests. They are assumed to be of mean
		// size and half complete.
		add(work.promptTokens.value, work.outputTokens.value, work.outputTokens.value/2)
	}
	add(float64(r.PromptTokens), float64(r.MaxOutput), 0)
	total := float64(m.view.TotalPieces * int(m.state.PieceTokens))
	return policy.PeakMemory(growths)+memoryDeviations*math.Sqrt(variance) <= usableMemoryPart*total
}

// generatedTokens estimates how much of its output a hold has generated, from the
// engine's time per token.
func (h *hold) generatedTokens(tokenSeconds float64, now time.Duration) float64 {
	if h.firstTokenAt == 0 || tokenSeconds <= 0 {
		return 0
	}
	return (now - h.firstTokenAt).Seconds() / tokenSeconds
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
