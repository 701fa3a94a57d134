package policy

import (
	"math"
	"time"
)

const (
	// outcomesHalfLife is the half-life of the weight of counted calls, so that
	// the error share follows a change within a few seconds.
	outcomesHalfLife = 2 * time.Second
	// minOutcomeWeight is the total weight below which the error share is not
	// used: at a true error share of a tenth, three or more of ten calls fail by
	// chance 7 times in 100.
	minOutcomeWeight = 10
	// maxOutcomeWeight bounds the total weight of busy upstreams. From there it
	// decays to minOutcomeWeight in 4 s, so an upstream that gets no calls because
	// they failed is then tried again.
	maxOutcomeWeight = 40
)

// Outcomes counts the succeeded and failed calls of several entries to one
// upstream, with exponential decay. Each entry alone needs several failures to
// detect a bad upstream; over dozens of entries these add up to hundreds.
type Outcomes struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

// Add counts calls.
func (o *Outcomes) Add(succeeded, failed int, now time.Duration) {
	o.decay(now)
	o.succeeded += float64(succeeded)
	o.failed += float64(failed)
	if total := o.succeeded + o.failed; total > maxOutcomeWeight {
		o.succeeded *= maxOutcomeWeight / total
		o.failed *= maxOutcomeWeight / total
	}
}

// ErrorShare returns the share of failed calls, 0 when there are too few calls.
func (o *Outcomes) ErrorShare(now time.Duration) float64 {
	o.decay(now)
	if total := o.succeeded + o.failed; total >= minOutcomeWeight {
		return o.failed / total
	}
	return 0
}

// Decayed reports whether the remaining weight is so small that the counts can
// be dropped.
func (o *Outcomes) Decayed(now time.Duration) bool {
	o.decay(now)
	return o.succeeded+o.failed < 0.5
}

func (o *Outcomes) decay(now time.Duration) {
	if now <= o.updatedAt {
		return
	}
	weight := math.Exp2(-float64(now-o.updatedAt) / float64(outcomesHalfLife))
	o.succeeded *= weight
	o.failed *= weight
	o.updatedAt = now
}
