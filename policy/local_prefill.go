package policy

import "time"

// LocalPrefillCooldown is the minimum time between the end of a local prefill
// and the next one on the same decode engine. During a local prefill each token
// of the running answers takes about ten times as long, so back-to-back prefills
// would add up to one long pause between two events. An event of 70 tokens takes
// 50 to 110 ms on deployed engines, so the cooldown lets one through.
const LocalPrefillCooldown = 120 * time.Millisecond

const (
	// localPrefillSpeedRatio is the prefill rate of a decode engine relative to
	// that of a prefill engine: it prefills between decode steps.
	localPrefillSpeedRatio = 0.5
	// localPrefillMinWaitSeconds is the wait for a remote prefill up to which the
	// prefill engine is preferred: a local prefill costs the decode engine twice
	// the work and lengthens the pauses of all answers there. A wait of this
	// length leaves half of the usual target for the first event.
	localPrefillMinWaitSeconds = 0.45
	// maxLocalPrefillSeconds is the longest local prefill on an engine with
	// running answers. Together with the usual 0.1 s between two events it stays
	// below the pause that callers accept.
	maxLocalPrefillSeconds = 0.18
	// localPrefillMaxBatchShare is the share of the maximum batch up to which an
	// engine is given local prefills.
	localPrefillMaxBatchShare = 0.75
)

// MinLocalPrefillTokens is the number of generated tokens from which prefilling
// them again on the decode engine counts as a local prefill. Deployed engines
// prefill this many in two chunks.
const MinLocalPrefillTokens = 512

// IsShortPrompt reports whether prefilling a prompt on a decode engine takes too short to
// count as a local prefill by itself.
func IsShortPrompt(promptTokens int) bool { return promptTokens < MinLocalPrefillTokens }

// CanPrefillLocally reports whether a decode engine may start a local prefill now: none is
// in progress and the cooldown has ended. Short prompts do not count, as long as those in
// progress are together as long as a short one.
func CanPrefillLocally(q *Query, e *Engine) bool {
	if e.LocalPrefills > 0 || e.GeneratedTokens > 0 || q.Now < e.NextLocalPrefill {
		return false
	}
	tokens := q.Request.PromptTokens
	return !IsShortPrompt(tokens) || IsShortPrompt(e.ShortPromptTokens+tokens)
}

// CanResume reports whether a decode engine may take a stream to resume, whose generated
// tokens it prefills itself after it has fetched the prompt. Several may do so at a time if
// together they take no longer than the longest local prefill.
func CanResume(r *Request, e *Engine) bool {
	if r.GeneratedTokens < MinLocalPrefillTokens {
		return true
	}
	seconds := float64(e.GeneratedTokens+r.GeneratedTokens) / (localPrefillSpeedRatio * e.PrefillRate) * e.decodeSlowdown()
	return e.LocalPrefills == 0 && (e.GeneratedTokens == 0 || seconds <= maxLocalPrefillSeconds)
}

// PlaceLocalPrefill selects a decode engine that prefills the prompt itself. It
// serves pools whose prefill engines are lost, being replaced or overloaded
// while decode engines have free slots.
func PlaceLocalPrefill(q *Query) (Placement, bool) {
	var out Placement
	for _, e := range q.Decode {
		if !Fits(q, e) || !CanPrefillLocally(q, e) || float64(e.Batch) > localPrefillMaxBatchShare*float64(e.MaxBatch) {
			continue
		}
		prefillSeconds := float64(q.Request.PromptTokens) / (localPrefillSpeedRatio * e.PrefillRate) * e.decodeSlowdown()
		if e.Batch > 0 && prefillSeconds > maxLocalPrefillSeconds {
			continue
		}
		tokenSeconds := e.TokenSeconds(e.Batch + 1)
		cost := prefillSeconds + tokenSeconds*float64(expectedOutput(q.Request)) + prefillSeconds*float64(e.Batch)
		if out.Decode == nil || cost < out.Cost {
			out = Placement{Decode: e, PrefillSeconds: prefillSeconds, TokenSeconds: tokenSeconds, Cost: cost}
		}
	}
	return out, out.Decode != nil
}

// decodeSlowdown returns the learned time per token divided by the nominal one,
// at least 1. An engine that decodes slowly prefills slowly as well.
func (e *Engine) decodeSlowdown() float64 {
	if e.NominalDecodeSeconds <= 0 || e.DecodeSeconds <= e.NominalDecodeSeconds {
		return 1
	}
	return e.DecodeSeconds / e.NominalDecodeSeconds
}

// PreferLocalPrefill reports whether the local placement is better than the
// remote one, which uses a prefill engine.
func PreferLocalPrefill(remote, local *Placement) bool {
	return remote.WaitSeconds > localPrefillMinWaitSeconds && local.TTFT() < remote.TTFT()
}
