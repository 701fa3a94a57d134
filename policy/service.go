package policy

import "time"

// Service is an entry's view of one instance of a plain service.
type Service struct {
	ID string
	// Weight is assigned by the scheduler; an instance of weight 0 gets no calls.
	Weight float64
	// Outstanding is the number of this entry's calls in progress.
	Outstanding int
	// MeanCallSeconds is the learned mean time of a call; 0 means unknown.
	MeanCallSeconds float64
}

// callTimeGain is the smoothing gain of the mean call time. It follows a change
// of an instance's speed within about ten calls.
const callTimeGain = 0.1

// RecordCall updates the mean call time with one call.
func (s *Service) RecordCall(took time.Duration) {
	if s.MeanCallSeconds == 0 {
		s.MeanCallSeconds = took.Seconds()
		return
	}
	s.MeanCallSeconds += callTimeGain * (took.Seconds() - s.MeanCallSeconds)
}

// PickService selects an instance by power of two choices: of two instances
// drawn at random by weight, the one that is expected to finish the call first.
// r holds two uniform values in [0, 1). It returns the index, -1 when no
// instance may be used.
func PickService(list []Service, skip func(*Service) bool, r [2]float64) int {
	totalWeight := 0.0
	knownSeconds, n := 0.0, 0
	for i := range list {
		s := &list[i]
		if skip != nil && skip(s) {
			continue
		}
		totalWeight += max(0, s.Weight)
		if s.MeanCallSeconds > 0 {
			knownSeconds += s.MeanCallSeconds
			n++
		}
	}
	if totalWeight <= 0 {
		return -1
	}
	// An instance of unknown speed is assumed to have the mean call time.
	mean := 1.0
	if n > 0 {
		mean = knownSeconds / float64(n)
	}
	a := pickByWeight(list, skip, r[0]*totalWeight)
	b := pickByWeight(list, skip, r[1]*totalWeight)
	if weightedFinishSeconds(&list[b], mean) < weightedFinishSeconds(&list[a], mean) {
		return b
	}
	return a
}

// pickByWeight returns the index of the instance at a position in the cumulative
// weights.
func pickByWeight(list []Service, skip func(*Service) bool, position float64) int {
	last := -1
	for i := range list {
		s := &list[i]
		if s.Weight <= 0 || (skip != nil && skip(s)) {
			continue
		}
		last = i
		if position -= s.Weight; position < 0 {
			return i
		}
	}
	return last
}

// weightedFinishSeconds returns the expected time until one more call would
// finish, divided by the weight. mean replaces an unknown call time.
func weightedFinishSeconds(s *Service, mean float64) float64 {
	seconds := s.MeanCallSeconds
	if seconds == 0 {
		seconds = mean
	}
	return float64(s.Outstanding+1) * seconds / s.Weight
}
