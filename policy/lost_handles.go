package policy

import "time"

const (
	// LostHandleLimit is the number of consecutive results that decode engines could not
	// fetch after which a prefill engine gets no requests for LostHandleBackoff.
	LostHandleLimit = 2
	// LostHandleBackoff is the time between trials of such an engine.
	LostHandleBackoff = 2 * time.Second
)

// LostHandles decides whether a prefill engine gets requests whose results decode engines
// may not be able to fetch.
//
// It answers a fault in which handles of a third of the engines lapse at once for 4 to 5 s.
// After a backoff, one request at a time finds out whether the fault is over: it takes
// some tenths of a second until the decode engine has been asked, in which several more
// prompts would be prefilled in vain.
type LostHandles struct {
	count int
	until time.Duration
}

// Usable reports whether the engine may get a request.
func (l *LostHandles) Usable(now time.Duration) bool { return now >= l.until }

// Granted records that the engine gets a request. It reports whether the engine may get no
// other one until the result is fetched.
func (l *LostHandles) Granted(now time.Duration) bool {
	if l.count < LostHandleLimit {
		return false
	}
	// A trial that is never reported ends with the backoff.
	l.until = now + LostHandleBackoff
	return true
}

// Lost records a result that could not be fetched. It reports whether a backoff begins.
func (l *LostHandles) Lost(now time.Duration) bool {
	l.count++
	if l.count < LostHandleLimit {
		return false
	}
	l.until = now + LostHandleBackoff
	return true
}

// Fetched records a result that was fetched. It reports whether a trial ends.
func (l *LostHandles) Fetched(now time.Duration) bool {
	ends := now < l.until
	*l = LostHandles{}
	return ends
}
