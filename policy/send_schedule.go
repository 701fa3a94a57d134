package policy

import "time"

// SendSchedule spaces the requests to an upstream that states a limit, over all daemons
// that ask the holder of the schedule.
//
// It is made for limits far below the number of daemons, where a fixed share for each
// would leave most of the limit to daemons without a request for it.
type SendSchedule struct {
	// last is the latest time that was handed out, 0 if there is none. A new schedule
	// does not know what was sent before it, and starts with one request.
	last time.Duration
}

// sendBurst is the number of requests that may be sent at once after a pause.
const sendBurst = 2

// Reserve hands out the next time at which a request may be sent, as the wait until
// then. If that exceeds maxWait, it hands out nothing and ok is false.
func (s *SendSchedule) Reserve(perSecond float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	if s.last == 0 {
		return s.reserve(now, maxWait, now)
	}
	interval := sendInterval(perSecond)
	next := max(s.last+interval, now-(sendBurst-1)*interval)
	return s.reserve(next, maxWait, now)
}

// Wait returns the wait that Reserve would return.
func (s *SendSchedule) Wait(perSecond float64, now time.Duration) time.Duration {
	if s.last == 0 {
		return 0
	}
	return max(0, s.last+sendInterval(perSecond)-now)
}

const (
	// PermitTTL is how long after its time a permit to send may be used.
	PermitTTL = time.Second
	// unsupervisedShare is the share of a limit that all daemons together use while
	// none of them can reach the holder of the schedule. Some may still reach it and
	// use the whole limit: together they stay under one and a half times of it.
	unsupervisedShare = 0.25
)

// ReserveShare is Reserve for a daemon that cannot reach the holder of the schedule and
// keeps one of its own. daemons is their number, 0 if unknown. The first time, and the
// first after a pause, is random, so that daemons that lose the holder together do not
// send together: u is a random number, uniform in [0, 1).
func (s *SendSchedule) ReserveShare(perSecond float64, daemons int, u float64, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	if daemons <= 0 {
		return PermitTTL, false
	}
	interval := sendInterval(perSecond * unsupervisedShare / float64(daemons))
	next := s.last + interval
	if s.last == 0 || next < now-PermitTTL {
		next = now + time.Duration(u*float64(interval))
		s.last = next - interval
	}
	return s.reserve(next, maxWait, now)
}

func (s *SendSchedule) reserve(next, maxWait, now time.Duration) (wait time.Duration, ok bool) {
	wait = max(0, next-now)
	if wait > maxWait {
		return wait, false
	}
	s.last = next
	return wait, true
}

func sendInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
