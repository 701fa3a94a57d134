package policy

import "time"

const (
	// delayMeanGain and delayDeviationGain are the smoothing gains of the
	// estimator for retransmission timeouts (RFC 6298).
	delayMeanGain      = 0.125
	delayDeviationGain = 0.25
	// delayDeviationFactor is the number of mean deviations that the bound lies
	// above the mean.
	delayDeviationFactor = 2
)

// DelayEstimator estimates an upper bound for most samples of a delay: the
// smoothed mean plus a multiple of the smoothed deviation. The zero value is
// ready to use.
type DelayEstimator struct {
	mean      time.Duration
	deviation time.Duration
	hasSample bool
}

// Add updates the estimate with one sample.
func (d *DelayEstimator) Add(sample time.Duration) {
	if !d.hasSample {
		*d = DelayEstimator{mean: sample, deviation: max(sample, 0) / 2, hasSample: true}
		return
	}
	diff := sample - d.mean
	d.deviation += time.Duration(delayDeviationGain * float64(diff.Abs()-d.deviation))
	d.mean += time.Duration(delayMeanGain * float64(diff))
}

// Bound returns the estimate, 0 without samples.
func (d *DelayEstimator) Bound() time.Duration {
	return max(0, d.mean+delayDeviationFactor*d.deviation)
}
