package policy

import "time"

// Fault is how a call to an upstream failed.
type Fault uint8

// Kinds of faults.
const (
	// FaultUnreachable: no connection, or one that broke without an answer.
	FaultUnreachable Fault = iota + 1
	// FaultTimeout: no answer in time.
	FaultTimeout
	// FaultError: an answer that says that the upstream failed, or a spoiled one.
	FaultError
	// FaultUnavailable: a rejection although places are free, as by an engine that is
	// changing its role. It tells nothing about the answers of the upstream.
	FaultUnavailable
)

const (
	// firstRest is how long an upstream rests after it was unreachable or
	// silent. A crashed one comes back within seconds.
	firstRest = 400 * time.Millisecond
	// maxRest bounds the doubling of rests, so that a returning upstream is
	// found within a few seconds.
	maxRest = 3 * time.Second
	// errorGain follows the share of failed answers over about ten calls.
	errorGain = 0.1
	// silentWeight counts a silent call as that many failed answers: each
	// costs its caller the whole wait.
	silentWeight = 3
)

// Health judges one upstream from what callers got of it.
type Health struct {
	// errors is the moving share of failed calls.
	errors float64
	// rest doubles with each fault in a row; until is when it ends.
	rest  time.Duration
	until time.Duration
}

// Succeeded counts a good answer.
func (h *Health) Succeeded(time.Duration) {
	h.errors -= errorGain * h.errors
	h.rest = 0
	h.until = 0
}

// Failed counts a failure.
func (h *Health) Failed(now time.Duration, fault Fault) {
	steps := 0
	switch fault {
	case FaultError:
		steps = 1
	case FaultUnreachable, FaultTimeout:
		steps = silentWeight
	}
	for range steps {
		h.errors += errorGain * (1 - h.errors)
	}
	if fault == FaultError {
		return
	}
	h.rest = min(max(2*h.rest, firstRest), maxRest)
	h.until = now + h.rest
}

// InBackoff reports whether the upstream is left alone while others can serve.
func (h *Health) InBackoff(now time.Duration) bool { return now < h.until }

// ErrorShare is the moving share of failed calls.
func (h *Health) ErrorShare() float64 { return h.errors }
