package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// memoryShare is the part of an engine's memory that forecasts may fill.
	// Estimates of answers are right at the median only: with eight answers
	// that have on average half of their tokens to come, and lengths that vary
	// by half, the sum varies by about 7%, and two such deviations are left. An
	// engine that runs out of memory drops an answer and reads its prompt again.
	memoryShare = 0.87
	// overrun is the rest that is assumed of an answer that is longer than
	// estimated, relative to the estimate.
	overrun = 0.2
)

// fitsGrowing reports whether an engine has memory for a request until its end,
// given how the answers that run there grow.
func (p *Pool) fitsGrowing(m *member, r *policy.Request, now time.Duration) bool {
	holds := p.holds.byDecode[m]
	answers := make([]policy.Answer, 0, len(holds)+1)
	token := m.view.TokenSeconds(m.view.Batch)
	for _, h := range holds {
		answers = append(answers, growth(h, token, now))
	}
	for range p.foreignAnswers(m, now) {
		// Nothing is known of them, so they are taken for usual ones halfway.
		usual := p.holds.mix.answer.value
		answers = append(answers, policy.Answer{UsedTokens: p.holds.mix.prompt.value + usual/2, RemainingTokens: usual / 2})
	}
	answers = append(answers, policy.Answer{UsedTokens: float64(r.PromptTokens), RemainingTokens: float64(r.MaxOutput)})
	total := float64(m.view.TotalPieces * int(m.state.PieceTokens))
	return policy.PeakMemory(answers) <= memoryShare*total
}

// growth estimates how far an answer is from its pace on the engine.
func growth(h *hold, token float64, now time.Duration) policy.Answer {
	made := 0.0
	if h.firstAt > 0 && token > 0 {
		made = (now - h.firstAt).Seconds() / token
	}
	likely := float64(h.maxOutput)
	left := likely - made
	if left < overrun*likely/2 {
		left = overrun * likely
	}
	return policy.Answer{UsedTokens: float64(h.promptTokens) + made, RemainingTokens: left}
}

// foreignLife is how long a stated load counts: answers take some seconds, and
// each request that starts on the engine brings a newer one.
const foreignLife = 2 * time.Second

// stateLoad takes the load that an engine stated. What exceeds the engine's
// holds was placed by entries themselves or under another lease.
func (p *Pool) stateLoad(m *member, l *pb.StatedLoad, now time.Duration) {
	if l == nil {
		return
	}
	m.foreign = max(0, int(l.Running+l.Waiting)-m.view.Batch)
	m.foreignAt = now
	m.view.ForeignBatch = m.foreign
}

// foreignAnswers returns the number of answers on an engine that no hold
// accounts for.
func (p *Pool) foreignAnswers(m *member, now time.Duration) int {
	if m.foreign > 0 && now-m.foreignAt > foreignLife {
		m.foreign = 0
		m.view.ForeignBatch = 0
	}
	return m.foreign
}
