package forward

import (
	"time"

	"godwitward.example/godwitward/policy"
)

// wastePrefill counts a prefill of the request whose result is not used. The causes that the
// caller of this function knows are in facts.
func (x *exchange) wastePrefill(facts policy.PrefillFacts) {
	facts.CallerLeft = facts.CallerLeft || x.callerGone()
	facts.DeadlinePassed = facts.DeadlinePassed || x.remaining() < deadlineMargin
	cause := facts.Cause().String()
	x.s.vars.wastedPrefills.Add(cause, 1)
	x.s.vars.wastedTokens.Add(cause, int64(x.info.PromptTokens))
	if len(x.wasted) < maxTrailEntries {
		x.wasted = append(x.wasted, cause)
	}
}

// dropPrompt counts and forgets the result that the request holds, if there is one.
func (x *exchange) dropPrompt(st *streamState, facts policy.PrefillFacts) {
	if st.prompt == nil {
		return
	}
	x.wastePrefill(facts)
	st.prompt = nil
}

// keepUnexpired keeps the prefill result for the next attempt unless it is about to expire.
func (x *exchange) keepUnexpired(st *streamState) {
	if st.prompt != nil && time.Now().After(st.prompt.expires) {
		x.dropPrompt(st, policy.PrefillFacts{HandleLapsed: true})
	}
}

// endPrompt frees the result that is left at the end of the request.
func (x *exchange) endPrompt(st *streamState, rejected bool) {
	prompt := st.prompt
	x.dropPrompt(st, policy.PrefillFacts{DecodeRefused: rejected, HandleLapsed: prompt != nil && time.Now().After(prompt.expires)})
	x.freeHandle(prompt)
}
