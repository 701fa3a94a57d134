package upstream

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrorKind classifies a failed call by what is known about its execution.
type ErrorKind int

// Error kinds, from the safest to retry to the least safe.
const (
	// KindNotSent: the request provably never left this process.
	KindNotSent ErrorKind = iota + 1
	// KindNotRun: the upstream states that it did not run the request.
	KindNotRun
	// KindRejected: the upstream found the request invalid or its fencing token
	// outdated; a retry would fail too.
	KindRejected
	// KindFailed: the upstream reported a failure or sent an invalid decode stream;
	// the request may have run.
	KindFailed
	// KindOutcomeUnknown: the request may have run, completely or in part.
	KindOutcomeUnknown
	// KindStalled: no progress within the time limit; the request may still run.
	KindStalled
	// KindGone: the engine no longer knows the request or the KV cache.
	KindGone
)

func (k ErrorKind) String() string {
	switch k {
	case KindNotSent:
		return "not sent"
	case KindNotRun:
		return "not run"
	case KindRejected:
		return "rejected"
	case KindFailed:
		return "failed"
	case KindOutcomeUnknown:
		return "outcome unknown"
	case KindStalled:
		return "stalled"
	case KindGone:
		return "gone"
	}
	return fmt.Sprintf("ErrorKind(%d)", int(k))
}

// Error is a failed call to an upstream.
type Error struct {
	Kind ErrorKind
	// Status is the HTTP status of the upstream's response; 0 if there was none.
	Status int
	// FencingToken is the highest token that the engine has seen, if it rejected
	// an order with status 409; else 0.
	FencingToken uint64
	Err          error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%v (%s)", e.Err, e.Kind)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of err. It returns KindOutcomeUnknown if err contains no
// *Error, because the request may then have run.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindOutcomeUnknown
}
