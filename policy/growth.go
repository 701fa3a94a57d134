package policy

import "slices"

// Answer is one running answer on a decode engine whose memory grows with each
// token.
type Answer struct {
	// UsedTokens is the memory in use: the prompt and the tokens made so far.
	UsedTokens float64
	// RemainingTokens is the number of tokens that are likely still to come.
	RemainingTokens float64
}

// PeakMemory forecasts the most memory that answers use together, in tokens.
// Answers on one engine grow at the same pace, and each frees its memory at its
// end, so the peak is just before one of the ends.
//
// It answers engines whose memory and not whose batch is the limit: reserving
// every answer's final size leaves a third of the memory idle, and reserving
// less lets the engine run out, which costs the newest answer its prompt.
func PeakMemory(answers []Answer) float64 {
	ordered := slices.Clone(answers)
	slices.SortFunc(ordered, func(a, b Answer) int {
		switch {
		case a.RemainingTokens < b.RemainingTokens:
			return -1
		case a.RemainingTokens > b.RemainingTokens:
			return 1
		}
		return 0
	})
	held := 0.0
	for _, a := range ordered {
		held += a.UsedTokens
	}
	peak := held
	for i, a := range ordered {
		// Until this answer ends, it and all later ones have grown by its rest.
		running := float64(len(ordered) - i)
		peak = max(peak, held+running*a.RemainingTokens)
		held -= a.UsedTokens
	}
	return peak
}
