package policy

import "time"

const (
	// delayMeanGain and delayDeviationGain are the gains of the usual estimator
	// for retransmission timeouts (RFC 6298).
	delayMeanGain      = 0.125
	delayDeviationGain = 0.25
	// delayDeviations is how many mean deviations the bound lies above the mean.
	delayDeviations = 2
)

// DelayEstimator estimates a bound that most samples of a delay stay under: the smoothed
// mean plus a multiple of the smoothed deviation. The zero value is ready.
type DelayEstimator struct {
	mean      time.Duration
	deviation time.Duration
	seen      bool
}

// Add learns one sample.
func (d *DelayEstimator) Add(sample time.Duration) {
	if !d.seen {
		*d = DelayEstimator{mean: sample, deviation: max(sample, 0) / 2, seen: true}
		return
	}
	off := sample - d.mean
	d.deviation += time.Duration(delayDeviationGain * float64(off.Abs()-d.deviation))
	d.mean += time.Duration(delayMeanGain * float64(off))
}

// Bound returns the estimate, 0 when nothing is known.
func (d *DelayEstimator) Bound() time.Duration {
	return max(0, d.mean+delayDeviations*d.deviation)
}
