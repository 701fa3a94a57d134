package policy

import "time"

const (
	// currentGain is the smoothing gain of the current speed. It follows a change
	// within about five completions.
	currentGain = 0.2
	// baselineGain is the smoothing gain of the baseline speed. It averages over
	// about a hundred completions.
	baselineGain = 0.01
	// firstBaselineSamples is the number of samples whose mean is the first
	// baseline of a rate that was not announced.
	firstBaselineSamples = 10
	// defaultPrefillRate, in tokens per second, and defaultDecodeSeconds are used
	// until an engine's speed has been announced or learned.
	defaultPrefillRate   = 5000
	defaultDecodeSeconds = 0.025
	// maxSampleRatio bounds the ratio between a sample and the average, so that
	// one stalled call does not make an engine look unusable.
	maxSampleRatio = 4
)

// Rates are the rates of an engine. A zero field is unknown.
type Rates struct {
	// PrefillRate is in tokens per second, DecodeSeconds the time per token at
	// full batch.
	PrefillRate   float64
	DecodeSeconds float64
}

// Speed is the learned speed of one engine.
type Speed struct {
	// PrefillRate is the current rate in tokens per second, DecodeSeconds the
	// current time per token at full batch.
	PrefillRate   float64
	DecodeSeconds float64
	prefill       learnedRate
	decode        learnedRate
}

// learnedRate is what is known of one rate besides its current value.
type learnedRate struct {
	// baseline is the rate averaged over a longer time. The current value is
	// compared with it to detect an engine that became slow.
	baseline  float64
	samples   int
	announced bool
}

// NewSpeed returns a Speed that starts from the announced rates, and from the
// assumed ones where none is announced. Samples replace an assumed rate at once
// and an announced one gradually.
func NewSpeed(announced, assumed Rates) Speed {
	s := Speed{PrefillRate: announced.PrefillRate, DecodeSeconds: announced.DecodeSeconds}
	s.prefill = learnedRate{baseline: announced.PrefillRate, announced: announced.PrefillRate > 0}
	s.decode = learnedRate{baseline: announced.DecodeSeconds, announced: announced.DecodeSeconds > 0}
	s.Assume(Rates{PrefillRate: defaultPrefillRate, DecodeSeconds: defaultDecodeSeconds})
	s.Assume(assumed)
	return s
}

// Assume replaces the rates that are neither announced nor learned.
func (s *Speed) Assume(r Rates) {
	s.prefill.assume(&s.PrefillRate, r.PrefillRate)
	s.decode.assume(&s.DecodeSeconds, r.DecodeSeconds)
}

// Known returns the rates that were announced or measured.
func (s *Speed) Known() Rates {
	var out Rates
	if s.prefill.known() {
		out.PrefillRate = s.PrefillRate
	}
	if s.decode.known() {
		out.DecodeSeconds = s.DecodeSeconds
	}
	return out
}

// minPrefillSampleTokens is the smallest prefill used as a sample: in smaller
// ones the fixed cost of a call hides the speed.
const minPrefillSampleTokens = 64

// Prefilled updates the prefill rate with one prefill.
func (s *Speed) Prefilled(tokens int, took time.Duration) {
	if tokens < minPrefillSampleTokens || took <= 0 {
		return
	}
	s.prefill.add(&s.PrefillRate, float64(tokens)/took.Seconds())
}

// Decoded updates the decode speed with one completion, given its mean time per
// token and the batch size that it ran at.
func (s *Speed) Decoded(tokens int, perToken time.Duration, batch, maxBatch int) {
	if tokens < 2 || perToken <= 0 {
		return
	}
	s.decode.add(&s.DecodeSeconds, perToken.Seconds()/BatchFactor(batch, maxBatch))
}

// Slowness returns how many times slower than its baseline the engine is.
func (s *Speed) Slowness() float64 {
	return max(s.DecodeSeconds/s.decode.baseline, s.prefill.baseline/s.PrefillRate)
}

// Reset sets the current speed to the baseline, so that a reinstated engine is
// judged by new completions.
func (s *Speed) Reset() {
	s.PrefillRate = s.prefill.baseline
	s.DecodeSeconds = s.decode.baseline
}

func (r *learnedRate) known() bool { return r.announced || r.samples > 0 }

func (r *learnedRate) assume(current *float64, rate float64) {
	if rate <= 0 || r.known() {
		return
	}
	*current = rate
	r.baseline = rate
}

// add updates the current rate and the baseline with a sample. The first
// samples of a rate that was not announced form its arithmetic mean.
func (r *learnedRate) add(current *float64, sample float64) {
	r.samples++
	if r.announced {
		updateAverage(current, sample, currentGain)
		updateAverage(&r.baseline, sample, baselineGain)
		return
	}
	if r.samples == 1 {
		*current, r.baseline = sample, sample
		return
	}
	updateAverage(current, sample, max(currentGain, 1/float64(r.samples)))
	gain := baselineGain
	if r.samples <= firstBaselineSamples {
		gain = 1 / float64(r.samples)
	}
	updateAverage(&r.baseline, sample, gain)
}

// updateAverage adds a sample to an exponentially weighted moving average. The
// sample is clamped to maxSampleRatio times above or below the average.
func updateAverage(value *float64, sample, gain float64) {
	sample = min(max(sample, *value/maxSampleRatio), *value*maxSampleRatio)
	*value += gain * (sample - *value)
}

const (
	// ejectionSlowness is the slowness from which an engine is ejected. Normal
	// variation with the batch stays below 2.
	ejectionSlowness = 2.5
	// ejectionFailures is the number of consecutive failures from which an engine
	// is ejected.
	ejectionFailures = 3
	minEjection      = 5 * time.Second
	maxEjection      = 60 * time.Second
	// rampUpTime is the time in which a reinstated engine reaches its full share.
	rampUpTime = 10 * time.Second
	// initialShare is the share of its capacity that a reinstated engine starts
	// with.
	initialShare = 0.1
	// ejectionResetAfter is the time without ejection after which the next one
	// lasts minEjection again.
	ejectionResetAfter = 2 * time.Minute
)

// Ejector takes a slow or failing engine out of service and reinstates it
// gradually.
type Ejector struct {
	// failures counts consecutive failures.
	failures int
	// duration is the length of the last ejection, until is when it ends.
	duration      time.Duration
	until         time.Duration
	ejectedBefore bool
}

// RecordFailure counts a failure and reports whether the engine should be
// ejected.
func (e *Ejector) RecordFailure() bool {
	e.failures++
	return e.failures >= ejectionFailures
}

// RecordSuccess resets the count of consecutive failures.
func (e *Ejector) RecordSuccess() { e.failures = 0 }

// TooSlow reports whether an engine is slow enough to be ejected.
func (e *Ejector) TooSlow(s *Speed) bool {
	return s.Slowness() >= ejectionSlowness
}

// Eject takes the engine out of service. An ejection that begins within
// ejectionResetAfter of the end of the previous one lasts twice as long, up to
// maxEjection.
func (e *Ejector) Eject(now time.Duration) {
	if e.ejectedBefore && now > e.until+ejectionResetAfter {
		e.duration = 0
	}
	e.duration = min(max(2*e.duration, minEjection), maxEjection)
	e.until = now + e.duration
	e.ejectedBefore = true
	e.failures = 0
}

// Ejected reports whether the engine is out of service.
func (e *Ejector) Ejected(now time.Duration) bool {
	return e.ejectedBefore && now < e.until
}

// Share returns the part of the engine's capacity to use.
func (e *Ejector) Share(now time.Duration) float64 {
	if !e.ejectedBefore || now >= e.until+rampUpTime {
		return 1
	}
	if now < e.until {
		return 0
	}
	return initialShare + (1-initialShare)*float64(now-e.until)/float64(rampUpTime)
}

// Rate is an exponentially weighted moving average of an amount per second.
type Rate struct {
	value       float64
	sum         float64
	windowStart time.Duration
	hasSample   bool
}

// rateWindow is the minimum time over which one sample of a rate is taken.
const rateWindow = time.Second

// Add adds an amount at time now.
func (r *Rate) Add(now time.Duration, amount float64) {
	r.update(now)
	r.sum += amount
}

// PerSecond returns the rate, 0 before the first sample.
func (r *Rate) PerSecond(now time.Duration) float64 {
	r.update(now)
	return r.value
}

// update takes a sample when the window has elapsed.
func (r *Rate) update(now time.Duration) {
	elapsed := now - r.windowStart
	if elapsed < rateWindow {
		return
	}
	sample := r.sum / elapsed.Seconds()
	switch {
	case !r.hasSample && r.sum == 0:
	case !r.hasSample:
		r.value = sample
		r.hasSample = true
	default:
		r.value += 0.3 * (sample - r.value)
	}
	r.sum = 0
	r.windowStart = now
}
