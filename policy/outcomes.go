package policy

import (
	"math"
	"time"
)

const (
	// outcomesHalfLife is the time in which counted calls lose half of their
	// weight, so that a share follows a change within a few seconds.
	outcomesHalfLife = 2 * time.Second
	// minOutcomes is the weight from which a share is known. Where a tenth of
	// all requests fails, three of ten do so by chance 7 times in 100.
	minOutcomes = 10
	// maxOutcomes bounds the weight of busy upstreams. One that receives nothing
	// because its calls failed is tried again after 4 s.
	maxOutcomes = 40
)

// Outcomes counts the good and the failed calls that several callers had at one
// upstream. Each caller alone needs several failures to judge; with dozens of
// callers these add up to hundreds.
type Outcomes struct {
	good, failed float64
	at           time.Duration
}

// Add counts calls.
func (o *Outcomes) Add(good, failed int, now time.Duration) {
	o.fade(now)
	o.good += float64(good)
	o.failed += float64(failed)
	if total := o.good + o.failed; total > maxOutcomes {
		o.good *= maxOutcomes / total
		o.failed *= maxOutcomes / total
	}
}

// ErrorShare returns the share of failed calls, 0 while it is not known.
func (o *Outcomes) ErrorShare(now time.Duration) float64 {
	o.fade(now)
	if total := o.good + o.failed; total >= minOutcomes {
		return o.failed / total
	}
	return 0
}

// Decayed reports whether so little is left that the counts can be forgotten.
func (o *Outcomes) Decayed(now time.Duration) bool {
	o.fade(now)
	return o.good+o.failed < 0.5
}

func (o *Outcomes) fade(now time.Duration) {
	if now <= o.at {
		return
	}
	weight := math.Exp2(-float64(now-o.at) / float64(outcomesHalfLife))
	o.good *= weight
	o.failed *= weight
	o.at = now
}
