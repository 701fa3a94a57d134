package policy

import "time"

const (
	// firstRejectionBackoff is the first backoff of a prefill engine that rejects calls while
	// it has free slots. It doubles with each further rejection up to maxRejectionBackoff, so
	// that an engine that is back is used again within that time.
	firstRejectionBackoff = 500 * time.Millisecond
	maxRejectionBackoff   = 2 * time.Second
)

// PrefillRejections decides whether a prefill engine gets requests that has rejected calls
// although it has free slots.
//
// It answers the load after a change of the leader: an engine that changes its role rejects
// all calls for about 6 s, still reports its old role, and looks idle to a scheduler that
// has not ordered the change. Of 25 streams a second about 90 were refused within 3 s. After
// a backoff, one request at a time finds out whether the engine is back.
type PrefillRejections struct {
	count int
	until time.Duration
}

// Usable reports whether the engine may get a request.
func (r *PrefillRejections) Usable(now time.Duration) bool { return now >= r.until }

// Granted records that the engine gets a request. It reports whether the engine may get no
// other one until the call is answered.
func (r *PrefillRejections) Granted(now time.Duration) bool {
	if r.count == 0 {
		return false
	}
	// A trial whose answer is never reported ends with the backoff.
	r.until = now + r.backoff()
	return true
}

// Rejected records a rejected call.
func (r *PrefillRejections) Rejected(now time.Duration) {
	r.until = now + r.backoff()
	r.count++
}

// Accepted records a call that was answered. It reports whether a trial ends.
func (r *PrefillRejections) Accepted(now time.Duration) bool {
	ends := now < r.until
	*r = PrefillRejections{}
	return ends
}

// maxBackoffDoublings is the number of doublings to maxRejectionBackoff.
const maxBackoffDoublings = 2

func (r *PrefillRejections) backoff() time.Duration {
	return min(firstRejectionBackoff<<min(r.count, maxBackoffDoublings), maxRejectionBackoff)
}
