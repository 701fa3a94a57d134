package policy

import "math"

// Workload is the measured mean work per request of a pool.
type Workload struct {
	// PrefillSeconds is the time that one prompt takes on a prefill engine.
	PrefillSeconds float64
	// DecodeSeconds is the time that one answer takes on a decode engine, and
	// Batch the number of answers that an engine generates at once.
	DecodeSeconds float64
	Batch         float64
}

// prefillHeadroom is the part of an engine that is added to the target number of
// prefill engines. A granted prompt waits for one prefill engine, while a request
// that finds the decode engines full waits in the queue for any of them, so
// prefill should not be the bottleneck.
const prefillHeadroom = 0.2

const (
	// redundancyMinEngines is the number of engines from which two of them run
	// prefill, so that the pool still has a prefill engine when one fails. Decode
	// engines prefill at half the speed and slow down their running answers.
	redundancyMinEngines    = 5
	redundantPrefillEngines = 2
)

// roleHysteresis is how far, in engines, the target may differ from the current
// number beyond rounding. Without it a target midway between two whole numbers
// makes one engine switch roles back and forth, unavailable for seconds each
// time.
const roleHysteresis = 0.15

// TargetPrefillEngines returns how many of total engines should run prefill so
// that both roles are equally utilised, given that current of them do. It serves
// bursts on a pool that was split for another workload: engines move from the
// underutilised to the overloaded role. Each role keeps at least one engine, and
// larger pools two for prefill. It returns 0 when the workload is not known or
// total is below 2.
func (w *Workload) TargetPrefillEngines(total, current int) int {
	if total < 2 || w.PrefillSeconds <= 0 || w.DecodeSeconds <= 0 || w.Batch <= 0 {
		return 0
	}
	decodeSeconds := w.DecodeSeconds / w.Batch
	prefillShare := w.PrefillSeconds / (w.PrefillSeconds + decodeSeconds)
	target := float64(total)*prefillShare + prefillHeadroom
	n := int(math.Round(target))
	if math.Abs(target-float64(current)) < 0.5+roleHysteresis {
		n = current
	}
	return min(max(n, MinPrefillEngines(total)), total-1)
}

// MinPrefillEngines returns the minimum number of prefill engines in a pool of
// total engines.
func MinPrefillEngines(total int) int {
	switch {
	case total >= redundancyMinEngines:
		return redundantPrefillEngines
	case total >= 2:
		return 1
	}
	return 0
}
