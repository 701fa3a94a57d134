package policy

import "time"

// Work is the size of one request.
type Work struct {
	// PromptTokens are read before the first token.
	PromptTokens int
	// MemoryTokens is the room for prompt and expected answer.
	MemoryTokens int
}

// statedLife is how long a load that an upstream stated is used. Requests take
// some hundred milliseconds.
const statedLife = 600 * time.Millisecond

// EngineLoad is what one entry knows of the work at an upstream: its own
// requests exactly, and all requests as the upstream last stated.
type EngineLoad struct {
	requests int
	prompt   int
	memory   int

	stated   int
	waiting  int
	statedAt time.Duration
	// ownAtStated is the number of own requests when the load was stated.
	ownAtStated int
	known       bool

	// pace is the learned time of a request relative to its size; 0 is unknown.
	pace float64
}

// Begin counts a request that was sent.
func (l *EngineLoad) Begin(w Work) {
	l.requests++
	l.prompt += w.PromptTokens
	l.memory += w.MemoryTokens
}

// End counts a request that has ended.
func (l *EngineLoad) End(w Work) {
	l.requests--
	l.prompt -= w.PromptTokens
	l.memory -= w.MemoryTokens
}

// Reported takes the counts of an answer.
func (l *EngineLoad) Reported(running, waiting int, now time.Duration) {
	l.stated, l.waiting = running+waiting, waiting
	l.ownAtStated = l.requests
	l.statedAt = now
	l.known = true
}

// Requests estimates the requests at the upstream: the requests of others are
// taken from the last statement, which fades, and the own ones are exact.
func (l *EngineLoad) Requests(now time.Duration) float64 {
	own := float64(l.requests)
	if !l.known {
		return own
	}
	others := float64(max(0, l.stated-l.ownAtStated))
	age := now - l.statedAt
	if age >= statedLife {
		return own + others/4
	}
	fade := 1 - 0.75*float64(age)/float64(statedLife)
	return own + others*fade
}

// Own returns the entry's own requests at the upstream.
func (l *EngineLoad) Own() int { return l.requests }

// paceGain follows a change of speed within about five requests.
const paceGain = 0.2

// Learn takes the time that one request took, divided by what was expected of
// an upstream of usual speed.
func (l *EngineLoad) Learn(ratio float64) {
	if l.pace == 0 {
		l.pace = ratio
		return
	}
	l.pace += paceGain * (min(ratio, 4*l.pace) - l.pace)
}

// RelativeLatency returns the learned relative time of a request; 1 when unknown.
func (l *EngineLoad) RelativeLatency() float64 {
	if l.pace == 0 {
		return 1
	}
	return l.pace
}
