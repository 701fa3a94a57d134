package policy

import "time"

// LocalPrefillCooldown is the time that a decode engine makes answers only after it has
// read a prompt. While it reads, each token of its answers takes some ten times
// as long; without a rest, reads in a row fall into one pause between two events.
// An event of 70 tokens takes 50 to 110 ms on the users' engines.
const LocalPrefillCooldown = 120 * time.Millisecond

const (
	// directSpeed is the reading speed of a decode engine relative to a prefill
	// engine: it reads between the tokens of its answers.
	directSpeed = 0.5
	// directPatience is the prefill wait, in seconds, up to which a prefill
	// engine is preferred: a direct read costs its decode engine twice the work
	// and stretches the pauses of all answers there. Half of the usual target
	// for the first event remains after it.
	directPatience = 0.45
	// maxDirectRead is the longest direct read, in seconds, on an engine with
	// running answers. Together with the usual 0.1 s between two events it stays
	// below the pause that callers accept.
	maxDirectRead = 0.18
	// directBatch is the part of an engine's batch up to which it reads prompts.
	directBatch = 0.75
)

// MinLocalPrefillTokens is the number of tokens of an earlier answer from which reading
// them counts as a direct read: it takes two chunks of the users' engines.
const MinLocalPrefillTokens = 512

// CanPrefillLocally reports whether a decode engine can read tokens itself now.
func CanPrefillLocally(q *Query, e *Engine) bool {
	return e.LocalPrefills == 0 && q.Now >= e.NextLocalPrefill
}

// PlaceLocalPrefill selects a decode engine that reads the prompt itself. It answers
// a prefill side that is lost, replaced or overrun while decode engines have
// places free.
func PlaceLocalPrefill(q *Query) (Placement, bool) {
	var out Placement
	for _, e := range q.Decode {
		if !Fits(q, e) || !CanPrefillLocally(q, e) || float64(e.Batch) > directBatch*float64(e.MaxBatch) {
			continue
		}
		read := float64(q.Request.PromptTokens) / (directSpeed * e.PrefillRate) * e.relativeSlowness()
		if e.Batch > 0 && read > maxDirectRead {
			continue
		}
		token := e.TokenSeconds(e.Batch + 1)
		cost := read + token*float64(expectedOutput(q.Request)) + read*float64(e.Batch)
		if out.Decode == nil || cost < out.Cost {
			out = Placement{Decode: e, Compute: read, PerToken: token, Cost: cost}
		}
	}
	return out, out.Decode != nil
}

// relativeSlowness is the learned time of a token over the announced one; an
// engine that decodes slowly reads slowly as well.
func (e *Engine) relativeSlowness() float64 {
	if e.NominalDecodeSeconds <= 0 || e.DecodeSeconds <= e.NominalDecodeSeconds {
		return 1
	}
	return e.DecodeSeconds / e.NominalDecodeSeconds
}

// PreferLocalPrefill reports whether a direct read is better than a placement with a
// prefill engine.
func PreferLocalPrefill(apart, direct *Placement) bool {
	return apart.Wait > directPatience && direct.TTFT() < apart.TTFT()
}
