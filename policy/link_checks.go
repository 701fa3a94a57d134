package policy

import "time"

const (
	// minEndedChecks is the number of direct checks in a row that must have failed,
	// minConnectChecks the same if some of them wait for a connection, and minSilentChecks if
	// some wait for an answer: an upstream resets connections that it has no room for, and a
	// network loses packets.
	minEndedChecks, minConnectChecks, minSilentChecks = 3, 4, 6
	// minCheckSilence is how long the first direct check must have been open without an
	// answer, and minConnectTime without a connection.
	minCheckSilence = 500 * time.Millisecond
	minConnectTime  = 300 * time.Millisecond
	// relayedFactor is how many times as long as the relayed checks have taken the last direct
	// one must have been open, and minLastCheck the least.
	relayedFactor = 2
	minLastCheck  = 50 * time.Millisecond
	// checkInterval is the shortest time between two checks, and endedInterval the same after
	// a direct one that has failed.
	checkInterval = 90 * time.Millisecond
	endedInterval = 10 * time.Millisecond
	// MaxRelayedCheck is how long a relayed check may take.
	MaxRelayedCheck = 400 * time.Millisecond
	// MaxLinkChecks is how long a link is checked at most.
	MaxLinkChecks = time.Second
)

// LinkCheck is an attempt to reach an upstream directly beside a relayed one.
type LinkCheck struct {
	Began time.Duration
	// Direct and Relayed are the results, PathUnknown while an attempt is open.
	Direct, Relayed           PathResult
	DirectEnded, RelayedEnded bool
	// Connected is set once the direct attempt has a connection.
	Connected bool
	// RelayedTook is how long the relayed attempt took.
	RelayedTook time.Duration
}

// relayedSilent reports whether the relayed attempt takes too long.
func (c *LinkCheck) relayedSilent(now time.Duration) bool {
	return !c.RelayedEnded && now-c.Began >= MaxRelayedCheck
}

// LinkChecks are checks of one link, in the order in which they began. One check proves
// nothing but a link that is up: an upstream may answer late, now and then, or one request at a
// time, it resets connections that it has no room for, and a network loses packets. A direct
// check stays open until the verdict, so that a late answer counts.
type LinkChecks struct {
	Checks []LinkCheck
	// Heard is set once bytes have come from the upstream directly since the first check
	// began.
	Heard bool
}

// Step is what to do next about a link.
type Step struct {
	// Done is set if no further check is of use. Direct and Relayed are then the results for
	// JudgeLink, which are unknown if the checks prove nothing.
	Done            bool
	Direct, Relayed PathResult
	// Begin is set if another check should begin. Its relayed attempt comes first if
	// RelayedFirst is set.
	Begin, RelayedFirst bool
	// Wait is how long nothing needs to be done, unless an attempt ends.
	Wait time.Duration
}

// Next returns what to do next. It is to be called at the beginning, and when an attempt or the
// wait of the step before has ended.
func (l *LinkChecks) Next(now time.Duration) Step {
	if len(l.Checks) == 0 {
		return Step{Begin: true}
	}
	s := l.summary(now)
	switch {
	case s.reached:
		return Step{Done: true, Direct: PathReached}
	case s.noDirect:
		return Step{Done: true}
	case l.Heard && s.open > 0 && s.connected:
		// The link carries bytes, and the upstream is late.
		return Step{Done: true}
	case s.down(now):
		return Step{Done: true, Direct: s.direct(), Relayed: PathReached}
	case s.counted == 0 && s.awaited == 0:
		return Step{Done: true, Direct: s.direct(), Relayed: s.relayed}
	case now-s.began >= MaxLinkChecks:
		return Step{Done: true}
	}
	last := &l.Checks[len(l.Checks)-1]
	due := last.Began + checkInterval
	switch {
	case !last.RelayedEnded && (!last.DirectEnded || s.awaited >= minEndedChecks):
		// Another check would only wait behind this one.
		due = last.Began + MaxRelayedCheck
	case last.DirectEnded:
		due = last.Began + endedInterval
	}
	if now >= due {
		return Step{Begin: true, RelayedFirst: len(l.Checks)%2 == 1}
	}
	return Step{Wait: max(time.Millisecond, min(due, s.next(now))-now)}
}

// checkSummary summarizes checks.
type checkSummary struct {
	// began is when the first check began, and lastBegan the last one beside which the
	// upstream was reached.
	began, lastBegan time.Duration
	// reached is set if a direct check was answered, and noDirect if one could not be made.
	reached, noDirect bool
	// counted is the number of checks beside which the upstream was reached by the other
	// daemon, open that of direct ones among all that have not ended.
	counted, open int
	connected     bool
	ended         PathResult
	// slowest is the longest time that a relayed check took.
	slowest time.Duration
	// awaited is the number of relayed checks that may still be answered in time, and relayed
	// the result of the last one.
	awaited int
	relayed PathResult
}

func (l *LinkChecks) summary(now time.Duration) checkSummary {
	s := checkSummary{began: l.Checks[0].Began}
	for i := range l.Checks {
		c := &l.Checks[i]
		s.reached = s.reached || c.Direct == PathReached
		s.noDirect = s.noDirect || c.DirectEnded && c.Direct == PathUnknown
		if !c.DirectEnded {
			s.open++
			s.connected = s.connected || c.Connected
		} else {
			s.ended = c.Direct
		}
		if c.RelayedEnded && c.Relayed == PathReached {
			s.counted++
			s.lastBegan, s.slowest = c.Began, max(s.slowest, c.RelayedTook)
		}
		switch s.relayed = c.Relayed; {
		case c.relayedSilent(now):
			s.relayed = PathSilent
		case !c.RelayedEnded:
			s.awaited++
		}
	}
	return s
}

// direct returns the result for the direct path, if it was not reached.
func (s *checkSummary) direct() PathResult {
	switch {
	case s.open > 0 && s.connected:
		return PathSilent
	case s.open > 0:
		return PathFailed
	}
	return s.ended
}

// down reports whether the link is down.
func (s *checkSummary) down(now time.Duration) bool {
	return s.counted >= s.needed() && (s.open == 0 || now >= s.ripe())
}

// needed is the number of checks that a verdict needs.
func (s *checkSummary) needed() int {
	switch {
	case s.open == 0:
		return minEndedChecks
	case !s.connected:
		return minConnectChecks
	}
	return minSilentChecks
}

// ripe is when open direct checks have been open for long enough.
func (s *checkSummary) ripe() time.Duration {
	least := minConnectTime
	if s.connected {
		least = minCheckSilence
	}
	return max(s.began+least, s.lastBegan+max(minLastCheck, relayedFactor*s.slowest))
}

// next is when the passing of time alone may change the verdict.
func (s *checkSummary) next(now time.Duration) time.Duration {
	next := s.began + MaxLinkChecks
	if ripe := s.ripe(); s.counted >= s.needed() && ripe > now {
		next = min(next, ripe)
	}
	return next
}
