package forward

import (
	"time"

	"github.com/pkg/errors"
)

// The values of exchange.progress.
const (
	progressUnsent int32 = iota
	// progressSent: a connection to an upstream is ready for the request or its prefill.
	progressSent
	// progressStopped: the server refuses requests, and this one was not sent before.
	progressStopped
)

const (
	reasonStopping = "stopping"
	// stoppingRetryAfter is the Retry-After of a process that is about to exit. Another
	// entry can serve the request at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// errStopping means that a request was not sent, because the server refuses requests.
var errStopping = errors.New("the server refuses requests")

// stopUnsent ends the request if it has not been sent to an upstream. It would be sent when
// little of the grace period is left for its answer.
func (x *exchange) stopUnsent() {
	if x.progress.CompareAndSwap(progressUnsent, progressStopped) {
		x.cancel()
	}
}

// stopped reports whether stopUnsent has ended the request.
func (x *exchange) stopped() bool { return x.progress.Load() == progressStopped }

// beginSend must be called before anything of the request is sent to an upstream. If it
// returns false, nothing may be sent.
func (x *exchange) beginSend() bool {
	x.progress.CompareAndSwap(progressUnsent, progressSent)
	return !x.stopped()
}
