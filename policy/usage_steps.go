package policy

import (
	"math"
	"time"
)

const (
	// UsageStep is the length of the steps in which recent use is stated, and usageSteps
	// their number: a window of 8 s and the running step.
	UsageStep  = 250 * time.Millisecond
	usageSteps = 33
)

// usageRing holds the use in steps of UsageStep.
type usageRing [usageSteps + 1]struct {
	// slot is the number of the step from time 0 on.
	slot int64
	used float64
}

// add adds the use of a step that lies age steps before the one of now. Use may be negative
// where it undoes some that was added before.
func (r *usageRing) add(n float64, age int, now time.Duration) {
	slot := usageSlot(now) - int64(age)
	if slot < 0 || age > usageSteps {
		return
	}
	s := &r[slot%int64(len(r))]
	if s.slot > slot {
		return
	}
	if s.slot != slot {
		s.slot, s.used = slot, 0
	}
	s.used = max(0, s.used+n)
}

// scale multiplies the use of all steps.
func (r *usageRing) scale(ratio float64) {
	for i := range r {
		r[i].used *= ratio
	}
}

// at returns the use of the step that lies age steps before the one of now.
func (r *usageRing) at(age int, now time.Duration) float64 {
	slot := usageSlot(now) - int64(age)
	if slot < 0 {
		return 0
	}
	if s := &r[slot%int64(len(r))]; s.slot == slot {
		return s.used
	}
	return 0
}

// sum returns the use of the last n steps.
func (r *usageRing) sum(n int, now time.Duration) (sum float64) {
	for i := range n {
		sum += r.at(i, now)
	}
	return sum
}

// levelRing holds a level as it was at the beginning of each step.
type levelRing struct {
	first [usageSteps + 1]float64
	// slot is that of the last change, to level.
	slot  int64
	level float64
}

// set changes the level.
func (r *levelRing) set(level float64, now time.Duration) {
	slot, n := usageSlot(now), int64(len(r.first))
	for s := max(r.slot+1, slot-n+1); s <= slot; s++ {
		r.first[s%n] = r.level
	}
	r.slot, r.level = max(r.slot, slot), level
}

// at returns the level at the beginning of the step that lies age steps before that of the
// last change.
func (r *levelRing) at(age int) float64 {
	if r.slot < int64(age) {
		return 0
	}
	return r.first[(r.slot-int64(age))%int64(len(r.first))]
}

func usageSlot(at time.Duration) int64 { return int64(math.Floor(float64(at) / float64(UsageStep))) }
