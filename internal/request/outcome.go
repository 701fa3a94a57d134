package request

import (
	"fmt"
	"time"
)

// State is the stage of a request.
type State int

// States in the order in which a request passes them.
const (
	Accepted State = iota
	Claiming
	Queued
	Reserved
	Prefill
	Transfer
	Decode
	Sending
	Done
)

var stateNames = [...]string{
	Accepted: "accepted", Claiming: "claiming", Queued: "queued", Reserved: "reserved", Prefill: "prefill",
	Transfer: "transfer", Decode: "decode", Sending: "sending", Done: "done",
}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(s))
	}
	return stateNames[s]
}

// Ran tells whether a request ran at an upstream.
type Ran int

// Values of Ran. RanNo is reported only when nothing was sent or when every
// upstream that received the request rejected it before running it.
const (
	RanNo Ran = iota
	RanUnknown
	RanYes
)

func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	}
	return "unknown"
}

// Failure is the reason why a request ended without a complete answer.
type Failure int

// Failures. FailureNone means that the answer is complete.
const (
	FailureNone Failure = iota
	// FailureOverloaded: no capacity within the time that the request may wait.
	FailureOverloaded
	// FailureNoUpstream: no upstream serves the pool or model.
	FailureNoUpstream
	// FailureTooLarge: prompt and maximum output exceed the memory of every engine.
	FailureTooLarge
	// FailureNoScheduler: the pool's scheduler could not be reached in time.
	FailureNoScheduler
	// FailureRejected: an upstream rejected the request as invalid.
	FailureRejected
	// FailureUpstream: upstreams failed and no retry was left.
	FailureUpstream
	// FailureDeadline: the request's deadline passed.
	FailureDeadline
	// FailureCallerGone: the caller disconnected; nobody receives the outcome.
	FailureCallerGone
	// FailureOutcomeUnknown: a call that must not be retried was sent and its
	// outcome is not known.
	FailureOutcomeUnknown
	// FailureInProgress: another call with the same key is running.
	FailureInProgress
	// FailureOtherBody: the key was used for a different request.
	FailureOtherBody
	// FailureKeyExpired: the key is older than the ledger's retention.
	FailureKeyExpired
	// FailureLedgerFull: the ledger has no capacity for another key.
	FailureLedgerFull
	// FailureNoControl: the control store could not be reached for the claim.
	FailureNoControl
	// FailureStopped: this process stopped before the request was complete.
	FailureStopped
)

const stoppedMessage = "this entry stopped before the request was complete"

// Outcome is the single result of a request.
type Outcome struct {
	Failure Failure
	Message string
	Ran     Ran
	// RetryAfter is the delay to suggest to the caller; 0 means none.
	RetryAfter time.Duration
	// Finish is the finish reason of a complete answer, "stop" or "length".
	Finish       string
	PromptTokens int
	OutputTokens int
}
