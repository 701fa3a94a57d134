package policy

import "time"

// Work is the size of one request.
type Work struct {
	// PromptTokens are prefilled before the first output token.
	PromptTokens int
	// MemoryTokens is the memory for the prompt and the expected output.
	MemoryTokens int
	// Seconds is the expected time of a plain call at an upstream of usual speed.
	Seconds float64
}

// reportDecayTime is the time in which the weight of a reported load decays to a
// quarter, where it stays. Requests take a few hundred milliseconds, so most of
// those in an older report have ended.
const reportDecayTime = 600 * time.Millisecond

// EngineLoad is one entry's view of the load of an upstream: the exact number
// of its own requests, and the total that the upstream last reported.
type EngineLoad struct {
	requests     int
	promptTokens int
	memoryTokens int
	seconds      float64

	reported   int
	waiting    int
	reportedAt time.Duration
	// ownAtReport is the number of own requests when the report arrived.
	ownAtReport int
	hasReport   bool
	// slots is the number of requests that the upstream runs at once; 0 if unknown.
	slots int
	// slowness is the newest stated ratio of the time that work takes to the usual time,
	// and slownessAt is when it was stated; slowness is 0 if it was never stated.
	slowness   float64
	slownessAt time.Duration
	// meanSlowness and meanOthers are the means to which reports decay, see Slowness and
	// otherCalls.
	meanSlowness, meanOthers float64
	// relativeCost is the learned lasting cost of a call, see lastingCost.
	relativeCost float64
	speedSamples int

	// relativeLatency is the learned ratio of the time of a request to the
	// expected time for its size; 0 means unknown.
	relativeLatency float64
}

// Begin counts a request that is sent to the upstream.
func (l *EngineLoad) Begin(w Work) {
	l.requests++
	l.promptTokens += w.PromptTokens
	l.memoryTokens += w.MemoryTokens
	l.seconds += w.Seconds
}

// End counts a request that has ended.
func (l *EngineLoad) End(w Work) {
	l.requests--
	l.promptTokens -= w.PromptTokens
	l.memoryTokens -= w.MemoryTokens
	if l.seconds -= w.Seconds; l.requests == 0 {
		// Rounding errors don't add up.
		l.seconds = 0
	}
}

// Reported records the load that the upstream reported with a response.
func (l *EngineLoad) Reported(running, waiting int, now time.Duration) {
	l.reported, l.waiting = running+waiting, waiting
	l.ownAtReport = l.requests
	others := float64(max(0, l.reported-l.ownAtReport))
	if !l.hasReport {
		l.meanOthers = others
	}
	l.meanOthers += meanGain * (others - l.meanOthers)
	l.reportedAt = now
	l.hasReport = true
}

// StatedCapacity records the slots that the upstream reported with a response, and the ratio
// of the time that work takes there to the usual time; 0 for a figure that it did not state.
func (l *EngineLoad) StatedCapacity(slots int, slowness float64, now time.Duration) {
	if slots > 0 {
		l.slots = slots
	}
	if slowness > 0 {
		if l.slowness == 0 {
			l.meanSlowness = 1
		}
		l.meanSlowness += meanGain * (slowness - l.meanSlowness)
		l.slowness, l.slownessAt = slowness, now
	}
}

// Requests estimates the number of requests at the upstream: the exact number
// of own requests, plus those of other entries from the last report. The weight
// of the report decays linearly to a quarter within reportDecayTime.
func (l *EngineLoad) Requests(now time.Duration) float64 {
	own := float64(l.requests)
	if !l.hasReport {
		return own
	}
	others := float64(max(0, l.reported-l.ownAtReport))
	age := now - l.reportedAt
	if age >= reportDecayTime {
		return own + others/4
	}
	decay := 1 - 0.75*float64(age)/float64(reportDecayTime)
	return own + others*decay
}

// Own returns the number of the entry's own requests at the upstream.
func (l *EngineLoad) Own() int { return l.requests }

// latencyGain is the smoothing gain of the relative latency. It follows a change
// of speed within about five requests.
const latencyGain = 0.2

// RecordLatency updates the relative latency with the time of one request,
// divided by the time expected at an upstream of nominal speed.
func (l *EngineLoad) RecordLatency(ratio float64) {
	if l.relativeLatency == 0 {
		l.relativeLatency = ratio
		return
	}
	l.relativeLatency += latencyGain * (min(ratio, 4*l.relativeLatency) - l.relativeLatency)
}

// LatencyKnown reports whether the time of a request was recorded.
func (l *EngineLoad) LatencyKnown() bool { return l.relativeLatency > 0 }

// RelativeLatency returns the learned ratio of actual to expected request time,
// 1 when unknown.
func (l *EngineLoad) RelativeLatency() float64 {
	if l.relativeLatency == 0 {
		return 1
	}
	return l.relativeLatency
}
