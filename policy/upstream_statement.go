package policy

import "time"

// UpstreamStatement is what one response of an upstream process says about the requests
// that the process takes.
type UpstreamStatement struct {
	// Limit is how many requests a second it takes from all daemons together, 0 if it
	// states no limit.
	Limit float64
	// Leaving is set if the process is about to end and takes no new requests.
	Leaving bool
	// SentAt is when the request was sent to which the response belongs.
	SentAt time.Duration
}

// minStatedLimit replaces lower limits, 0 among them. Without any request nobody would
// learn that the limit has ended.
const minStatedLimit = 0.1

// StatedLimit returns the limit to keep for a stated number of requests a second.
func StatedLimit(perSecond float64) float64 { return max(minStatedLimit, perSecond) }

// Update adds another statement of the same process to s and reports whether anything
// but its age changed. Responses overtake each other on their way, so the limit is that
// of the request sent last; of two sent at the same time, a limit counts. A process that
// has said that it leaves does not stay.
func (s *UpstreamStatement) Update(next UpstreamStatement) bool {
	changed := next.Leaving && !s.Leaving
	s.Leaving = s.Leaving || next.Leaving
	if next.SentAt < s.SentAt || next.SentAt == s.SentAt && next.Limit == 0 {
		return changed
	}
	changed = changed || next.Limit != s.Limit
	s.Limit, s.SentAt = next.Limit, next.SentAt
	return changed
}
