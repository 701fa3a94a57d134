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

const (
	// minRejectionMemory is the least time for which a rejected prefill call is remembered.
	minRejectionMemory = 2 * time.Second
	// soundPrefillRun is the number of accepted calls after which a rejected one is
	// forgotten. One of about twenty calls that is rejected is paid for by what the retry
	// budget gains.
	soundPrefillRun = 20
)

// PrefillRisk tells one daemon whether the prefill engines of a service may reject its next
// call. A call that the retry budget cannot pay for costs the request its run if it is
// rejected, so it is made only while calls are accepted.
type PrefillRisk struct {
	known      bool
	rejectedAt time.Duration
	// accepted is the number of calls accepted since.
	accepted int
}

// Rejected records a rejected call.
func (r *PrefillRisk) Rejected(now time.Duration) {
	*r = PrefillRisk{known: true, rejectedAt: now}
}

// Accepted records an accepted call.
func (r *PrefillRisk) Accepted() {
	if r.accepted++; r.accepted >= soundPrefillRun {
		*r = PrefillRisk{}
	}
}

// MayReject reports whether the next call may be rejected. window is that of the retry
// budget: after it the budget has room for rejections again, unless other retries use it.
func (r *PrefillRisk) MayReject(window, now time.Duration) bool {
	return r.known && now-r.rejectedAt < max(window, minRejectionMemory)
}
