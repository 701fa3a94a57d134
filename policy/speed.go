package policy

import "time"

const (
	// fastGain follows a change of speed within about five completions.
	fastGain = 0.2
	// slowGain keeps the usual speed over some hundred completions.
	slowGain = 0.01
	// defaultPrefillRate and defaultDecodeSeconds are used until an engine has
	// announced or shown its speed.
	defaultPrefillRate   = 5000
	defaultDecodeSeconds = 0.025
	// maxStep bounds one sample's effect, so that one stalled call does not
	// make an engine look unusable.
	maxStep = 4
)

// Speed is the learned speed of one engine.
type Speed struct {
	// PrefillRate is in tokens a second, DecodeSeconds is for a full batch.
	PrefillRate   float64
	DecodeSeconds float64
	// Usual values change slowly; comparing the present ones with them shows
	// an engine that became slow.
	usualPrefill float64
	usualDecode  float64
	Samples      int
}

// NewSpeed starts from announced figures; 0 means unknown.
func NewSpeed(prefillRate, decodeSeconds float64) Speed {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	if decodeSeconds <= 0 {
		decodeSeconds = defaultDecodeSeconds
	}
	return Speed{PrefillRate: prefillRate, DecodeSeconds: decodeSeconds, usualPrefill: prefillRate, usualDecode: decodeSeconds}
}

// minPrefillSample is the shortest prefill that is learned from: below it the
// fixed cost of a call hides the speed.
const minPrefillSample = 64

// Prefilled learns from one prefill.
func (s *Speed) Prefilled(tokens int, took time.Duration) {
	if tokens < minPrefillSample || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	learn(&s.PrefillRate, rate, fastGain)
	learn(&s.usualPrefill, rate, slowGain)
	s.Samples++
}

// Decoded learns from one completion with its mean time per token.
func (s *Speed) Decoded(tokens int, perToken time.Duration, batch, maxBatch int) {
	if tokens < 2 || perToken <= 0 {
		return
	}
	full := perToken.Seconds() / BatchFactor(batch, maxBatch)
	learn(&s.DecodeSeconds, full, fastGain)
	learn(&s.usualDecode, full, slowGain)
	s.Samples++
}

// Slowness returns how many times slower than usual the engine is at present.
func (s *Speed) Slowness() float64 {
	return max(s.DecodeSeconds/s.usualDecode, s.usualPrefill/s.PrefillRate)
}

func learn(value *float64, sample, gain float64) {
	sample = min(max(sample, *value/maxStep), *value*maxStep)
	*value += gain * (sample - *value)
}

const (
	// ejectSlowness is the slowness from which an engine is ejected. Ordinary
	// variation of a batch stays below 2.
	ejectSlowness = 2.5
	// ejectFailures is the number of consecutive failures that eject.
	ejectFailures = 3
	minEjection   = 5 * time.Second
	maxEjection   = 60 * time.Second
	// returnTime is how long a reinstated engine takes to its full share.
	returnTime = 10 * time.Second
	// firstShare is the share with which an engine returns.
	firstShare = 0.1
	// forgiveAfter is the time without ejection after which the next ejection
	// is short again.
	forgiveAfter = 2 * time.Minute
)

// Ejector takes an engine out of service when it is slow or fails, and returns
// it gradually.
type Ejector struct {
	failures int
	length   time.Duration
	until    time.Duration
	active   bool
}

// Failed counts a failure and reports whether the engine should be ejected.
func (e *Ejector) Failed() bool {
	e.failures++
	return e.failures >= ejectFailures
}

// Succeeded ends a run of failures.
func (e *Ejector) Succeeded() { e.failures = 0 }

// TooSlow reports whether an engine should be ejected for its speed.
func (e *Ejector) TooSlow(s *Speed) bool {
	return s.Slowness() >= ejectSlowness
}

// Eject takes the engine out of service. Each ejection soon after another one
// is twice as long.
func (e *Ejector) Eject(now time.Duration) {
	if e.active && now > e.until+forgiveAfter {
		e.length = 0
	}
	e.length = min(max(2*e.length, minEjection), maxEjection)
	e.until = now + e.length
	e.active = true
	e.failures = 0
}

// Ejected reports whether the engine is out of service.
func (e *Ejector) Ejected(now time.Duration) bool {
	return e.active && now < e.until
}

// Share returns the part of the engine's capacity to use.
func (e *Ejector) Share(now time.Duration) float64 {
	if !e.active || now >= e.until+returnTime {
		return 1
	}
	if now < e.until {
		return 0
	}
	return firstShare + (1-firstShare)*float64(now-e.until)/float64(returnTime)
}

// Reset forgets learned slowness, so that a returning engine is judged by new
// completions.
func (s *Speed) Reset() {
	s.PrefillRate = s.usualPrefill
	s.DecodeSeconds = s.usualDecode
}

// Rate is an exponentially weighted rate of events per second.
type Rate struct {
	value float64
	sum   float64
	since time.Duration
	seen  bool
}

// rateWindow is the time over which one sample of a rate is taken.
const rateWindow = time.Second

// Add counts amount at a time.
func (r *Rate) Add(now time.Duration, amount float64) {
	r.roll(now)
	r.sum += amount
}

// PerSecond returns the rate; 0 when nothing is known.
func (r *Rate) PerSecond(now time.Duration) float64 {
	r.roll(now)
	return r.value
}

func (r *Rate) roll(now time.Duration) {
	elapsed := now - r.since
	if elapsed < rateWindow {
		return
	}
	sample := r.sum / elapsed.Seconds()
	switch {
	case !r.seen && r.sum == 0:
	case !r.seen:
		r.value = sample
		r.seen = true
	default:
		r.value += 0.3 * (sample - r.value)
	}
	r.sum = 0
	r.since = now
}
