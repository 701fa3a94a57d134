package policy

import "math"

// Workload is the measured work of a pool's requests.
type Workload struct {
	// PrefillSeconds is the time that one prompt takes on a prefill engine.
	PrefillSeconds float64
	// DecodeSeconds is the time that one answer takes on a decode engine, and
	// Batch the number of answers that an engine makes at once.
	DecodeSeconds float64
	Batch         float64
}

// prefillHeadroom is the part of an engine that is added to the prefill side.
// Prompts wait in line for one engine, while a full decode side only lets
// requests queue, so the prefill side should not be the tighter one.
const prefillHeadroom = 0.2

const (
	// spareFrom is the number of engines from which two of them run prefill, so
	// that the loss of one does not stop the pool's prompts. Decode engines read
	// prompts at half the speed and to the cost of running answers.
	spareFrom = 5
	minSpare  = 2
)

// roleMargin is how much of an engine the wanted number may differ from the
// present one beyond rounding. Without it a learned mix between two whole
// numbers moves one engine to and fro, which is away for seconds each time.
const roleMargin = 0.15

// TargetPrefillEngines returns how many of a number of engines should run prefill so
// that both sides are used alike, given that present do. It answers bursts on
// pools whose engines were split for another mix: the side with spare engines
// gives one to the other. Each side keeps at least one engine, and the prefill
// side of larger pools two. It returns 0 when the mix is not known.
func (m *Workload) TargetPrefillEngines(total, present int) int {
	if total < 2 || m.PrefillSeconds <= 0 || m.DecodeSeconds <= 0 || m.Batch <= 0 {
		return 0
	}
	decode := m.DecodeSeconds / m.Batch
	share := m.PrefillSeconds / (m.PrefillSeconds + decode)
	wanted := float64(total)*share + prefillHeadroom
	n := int(math.Round(wanted))
	if math.Abs(wanted-float64(present)) < 0.5+roleMargin {
		n = present
	}
	return min(max(n, MinPrefillEngines(total)), total-1)
}

// MinPrefillEngines returns how many of a number of engines run prefill at least.
func MinPrefillEngines(total int) int {
	switch {
	case total >= spareFrom:
		return minSpare
	case total >= 2:
		return 1
	}
	return 0
}
