package policy

import "time"

// StatedLimit is how many requests a second an upstream process takes from all daemons
// together, as one of its responses stated.
type StatedLimit struct {
	// PerSecond is 0 if the response stated no limit.
	PerSecond float64
	// SentAt is when the request was sent to which the response belongs.
	SentAt time.Duration
}

// minStatedLimit replaces lower limits, 0 among them. Without any request nobody would
// learn that the limit has ended.
const minStatedLimit = 0.1

// NewStatedLimit returns the limit that a response stated.
func NewStatedLimit(perSecond float64, sentAt time.Duration) StatedLimit {
	return StatedLimit{PerSecond: max(minStatedLimit, perSecond), SentAt: sentAt}
}

// NoStatedLimit returns what a response without a limit states.
func NoStatedLimit(sentAt time.Duration) StatedLimit { return StatedLimit{SentAt: sentAt} }

// Update replaces l by next unless next is older, and reports whether the limit
// changed. Responses overtake each other on their way, so the order is that in which
// their requests were sent. Of two sent at the same time, a limit counts.
func (l *StatedLimit) Update(next StatedLimit) bool {
	if next.SentAt < l.SentAt || next.SentAt == l.SentAt && next.PerSecond == 0 {
		return false
	}
	changed := next.PerSecond != l.PerSecond
	*l = next
	return changed
}
