package forward

import (
	"context"
	"errors"
	"time"
)

// ReserveRequest asks a scheduler for room on the engines of a service.
type ReserveRequest struct {
	Service string
	Model   string
	// ID and Attempt name the request.
	ID      string
	Attempt int
	// PromptTokens and OutputTokens size the memory to reserve.
	PromptTokens int
	OutputTokens int
	// GeneratedTokens is the part of PromptTokens that an earlier answer made.
	GeneratedTokens int
	// MaxWait is the longest time to wait for room; RemainingTime the time left for the
	// whole answer; TTFTTarget the route's time to the first event.
	MaxWait       time.Duration
	RemainingTime time.Duration
	TTFTTarget    time.Duration
	// Age is the time since the request arrived.
	Age time.Duration
	// Exclude lists engines that failed the request before.
	Exclude []string
}

// Stage is how far a request got on its engines.
type Stage uint8

// Stages, in order.
const (
	StagePrefilling Stage = iota + 1
	StagePrefilled
	StageDecoding
)

// Outcome is how a reservation ended.
type Outcome uint8

// Ends of a reservation.
const (
	OutcomeCompleted Outcome = iota + 1
	OutcomeCancelled
	OutcomePrefillFailed
	OutcomeDecodeFailed
	OutcomeNotStarted
	// OutcomeRejected: the decode engine was full.
	OutcomeRejected
	// OutcomeHandleLost: the decode engine could not fetch the prompt.
	OutcomeHandleLost
	// OutcomeUnreachable: the decode engine could not be connected to.
	OutcomeUnreachable
)

// Reservation is room on a prefill and a decode engine.
type Reservation interface {
	// Prefill and Decode are the ids of the engines.
	Prefill() string
	Decode() string
	// Budgeted reports whether the scheduler has charged a repeated attempt to
	// the budget that all entries share.
	Budgeted() bool
	// ReportProgress tells the scheduler how far the request got.
	// load is what the decode engine stated, nil when it stated nothing.
	ReportProgress(s Stage, took time.Duration, load *Load)
	// Release gives the room back.
	Release(r Result)
}

// Result tells how a reservation was used.
type Result struct {
	Outcome Outcome
	// OutputTokens were made in Took.
	OutputTokens int
	Took         time.Duration
	// Load is what the decode engine stated with a rejection.
	Load *Load
}

// Placer reserves room on engines.
type Placer interface {
	// Reserve waits for room. It returns a *Refusal when there is none in
	// time, and ErrNoScheduler when nobody can be asked.
	Reserve(ctx context.Context, d *ReserveRequest) (Reservation, error)
}

// ErrNoScheduler means that no scheduler is in reach: the entry places the
// request by itself.
var ErrNoScheduler = errors.New("no scheduler is in reach")

// Refusal is a scheduler's answer that a request has no room in time.
type Refusal struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "refused by the scheduler: " + r.Reason }
