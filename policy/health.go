package policy

import "time"

// Fault is how a call to an upstream failed.
type Fault uint8

// Kinds of faults.
const (
	// FaultUnreachable: no connection, or one that broke without a response.
	FaultUnreachable Fault = iota + 1
	// FaultTimeout: no response in time.
	FaultTimeout
	// FaultError: a response that reports a failure, or a corrupt response.
	FaultError
	// FaultUnavailable: a rejection although slots are free, for example from an
	// engine that is changing its role. It tells nothing about the upstream's
	// responses, so it does not count in the error share.
	FaultUnavailable
)

const (
	// initialBackoff is the first backoff, before any doubling. A crashed upstream
	// restarts within seconds.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff bounds the doubling of the backoff, so that a restarted upstream
	// is used again within a few seconds.
	maxBackoff = 3 * time.Second
	// errorShareGain is the smoothing gain of the error share. It averages over
	// about ten calls.
	errorShareGain = 0.1
	// noResponseWeight is the number of failed responses that a call without a
	// response counts as: it can cost its caller the whole timeout.
	noResponseWeight = 3
)

// Health tracks the results of calls to one upstream.
type Health struct {
	// errorShare is the moving average of the share of failed calls.
	errorShare float64
	// backoff is the length of the last backoff, 0 after a success; backoffUntil
	// is when it ends. It doubles with each consecutive fault but FaultError.
	backoff      time.Duration
	backoffUntil time.Duration
	// unavailable is set if the last fault with a backoff was FaultUnavailable.
	unavailable bool
}

// Succeeded counts a successful response and ends the backoff.
func (h *Health) Succeeded(time.Duration) {
	h.errorShare -= errorShareGain * h.errorShare
	h.backoff = 0
	h.backoffUntil = 0
}

// Failed counts a failed call. Every fault but FaultError starts or extends the
// backoff.
func (h *Health) Failed(now time.Duration, fault Fault) {
	steps := 0
	switch fault {
	case FaultError:
		steps = 1
	case FaultUnreachable, FaultTimeout:
		steps = noResponseWeight
	}
	for range steps {
		h.errorShare += errorShareGain * (1 - h.errorShare)
	}
	if fault == FaultError {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.backoffUntil = now + h.backoff
	h.unavailable = fault == FaultUnavailable
}

// RoleChanged ends a backoff after FaultUnavailable: an engine that changes its role rejects
// the calls of the earlier one, which tells nothing about the other.
func (h *Health) RoleChanged() {
	if h.unavailable {
		h.backoff, h.backoffUntil, h.unavailable = 0, 0, false
	}
}

// InBackoff reports whether the upstream is avoided while others can serve.
func (h *Health) InBackoff(now time.Duration) bool { return now < h.backoffUntil }

// ErrorShare returns the moving average of the share of failed calls.
func (h *Health) ErrorShare() float64 { return h.errorShare }
