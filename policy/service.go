package policy

import "time"

// Service is one plain service instance as an entry sees it.
type Service struct {
	ID string
	// Weight is the scheduler's weight; 0 receives no calls.
	Weight float64
	// Outstanding counts this entry's calls that have not ended.
	Outstanding int
	// Seconds is the learned mean time of a call; 0 is unknown.
	Seconds float64
}

// serviceGain follows a change of a service's speed within about ten calls.
const serviceGain = 0.1

// Learn updates the learned time of a call.
func (s *Service) Learn(took time.Duration) {
	if s.Seconds == 0 {
		s.Seconds = took.Seconds()
		return
	}
	s.Seconds += serviceGain * (took.Seconds() - s.Seconds)
}

// PickService selects an instance by power of two choices: of two instances
// drawn by weight it takes the one that would finish the call first. r are two
// uniform values in [0, 1). It returns the index, or -1 when none may be used.
func PickService(list []Service, skip func(*Service) bool, r [2]float64) int {
	total := 0.0
	known, n := 0.0, 0
	for i := range list {
		s := &list[i]
		if skip != nil && skip(s) {
			continue
		}
		total += max(0, s.Weight)
		if s.Seconds > 0 {
			known += s.Seconds
			n++
		}
	}
	if total <= 0 {
		return -1
	}
	// An instance of unknown speed is taken for an average one.
	mean := 1.0
	if n > 0 {
		mean = known / float64(n)
	}
	a := draw(list, skip, r[0]*total)
	b := draw(list, skip, r[1]*total)
	if finish(&list[b], mean) < finish(&list[a], mean) {
		return b
	}
	return a
}

// draw returns the instance at a position on the line of weights.
func draw(list []Service, skip func(*Service) bool, at float64) int {
	last := -1
	for i := range list {
		s := &list[i]
		if s.Weight <= 0 || (skip != nil && skip(s)) {
			continue
		}
		last = i
		if at -= s.Weight; at < 0 {
			return i
		}
	}
	return last
}

func finish(s *Service, mean float64) float64 {
	seconds := s.Seconds
	if seconds == 0 {
		seconds = mean
	}
	return float64(s.Outstanding+1) * seconds / s.Weight
}
