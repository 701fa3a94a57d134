package forward

import (
	"context"
	"errors"
	"time"
)

// ReserveRequest describes a request for which capacity is to be reserved on the
// engines of a service.
type ReserveRequest struct {
	Service string
	Model   string
	// ID and Attempt identify the request; Attempt counts from 1.
	ID      string
	Attempt int
	// Organisation is the tenant of the request, among which the scheduler shares capacity,
	// and Priority the request's priority, 0 to 9, 0 first. Without an organisation the
	// priority is stated to the scheduler only if HasPriority is set, which means that the
	// configuration has tenants.
	Organisation string
	Priority     int
	HasPriority  bool
	// PromptTokens and OutputTokens determine the memory to reserve.
	PromptTokens int
	OutputTokens int
	// GeneratedTokens is the part of PromptTokens that was generated before a
	// stream was interrupted; 0 for a new stream.
	GeneratedTokens int
	// MaxWait limits the wait for the reservation; RemainingTime is the time left
	// until the deadline; TTFTTarget is the route's target for the time to the
	// first token.
	MaxWait       time.Duration
	RemainingTime time.Duration
	TTFTTarget    time.Duration
	// Age is the time since the request arrived or, for a stream to be resumed,
	// since its last event.
	Age time.Duration
	// HeldPrompt is the time until the result of an earlier attempt's prefill expires; 0 if
	// there is none.
	HeldPrompt time.Duration
	// RetrySends is the number of requests to engines of this attempt that the scheduler
	// takes from its part of the retry budget.
	RetrySends int
	// ContentHash identifies the content of the caller's request, by which one that
	// returns after a refusal is recognised.
	ContentHash uint64
	// Version is the software version that the decode engine must have, and Weights the
	// version of its model's weights; empty if any may serve the request.
	Version string
	Weights string
	// Exclude lists engines that have failed the request.
	Exclude []string
	// OtherVersions lists engines that must not serve the request because of their
	// versions, as far as the entry knows them.
	OtherVersions []string
}

// Stage is the progress of a request on its engines.
type Stage uint8

// Stages, in order.
const (
	StagePrefilling Stage = iota + 1
	StagePrefilled
	StageDecoding
	// StagePrefillRejected: the reserved prefill engine has rejected the call although it
	// has free slots. It is no progress.
	StagePrefillRejected
)

// Outcome is how a reservation ended.
type Outcome uint8

// Outcomes of a reservation.
const (
	OutcomeCompleted Outcome = iota + 1
	OutcomeCancelled
	OutcomePrefillFailed
	OutcomeDecodeFailed
	OutcomeNotStarted
	// OutcomeRejected: the decode engine was full.
	OutcomeRejected
	// OutcomeHandleLost: the decode engine could not fetch the prefill result.
	OutcomeHandleLost
	// OutcomeUnreachable: no connection to the decode engine could be made.
	OutcomeUnreachable
)

// Reservation is reserved capacity on a decode engine and possibly on a prefill
// engine.
type Reservation interface {
	// Prefill and Decode return the ids of the engines; Prefill returns "" if none
	// is reserved.
	Prefill() string
	Decode() string
	// ReportProgress tells the scheduler that the request has reached a stage.
	// took is the duration of a completed prefill. load is what the decode engine
	// reported, or nil.
	ReportProgress(s Stage, took time.Duration, load *Load)
	// Release returns the reserved capacity.
	Release(r Result)
}

// Result describes how a reservation ended.
type Result struct {
	Outcome Outcome
	// OutputTokens is the number of tokens generated after the first event, and
	// Took the time from the first event to the last.
	OutputTokens int
	Took         time.Duration
	// Load is what the decode engine reported with a rejection, or nil.
	Load *Load
}

// Placer reserves capacity on engines through a scheduler.
type Placer interface {
	// Reserve waits for a reservation. It returns a *Refusal if the scheduler
	// refuses it, and ErrNoScheduler if no scheduler can place the request.
	Reserve(ctx context.Context, req *ReserveRequest) (Reservation, error)
}

// ErrNoScheduler means that no scheduler is reachable, or that the one reached
// cannot place requests. The entry then chooses the engines itself.
var ErrNoScheduler = errors.New("no scheduler can place the request")

// Refusal is the error of a reservation that the scheduler has refused, usually
// because no capacity becomes free in time.
type Refusal struct {
	// Reason is the scheduler's refusal code in lower case.
	Reason string
	// RetryAfter is the suggested delay before a retry; 0 if there is none.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "refused by the scheduler: " + r.Reason }
