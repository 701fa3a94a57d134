package policy

import "slices"

// RequestGrowth is the present and expected memory of a request that runs on a
// decode engine that allocates memory for each generated token.
type RequestGrowth struct {
	// UsedTokens is the memory in use: the prompt and the tokens generated so far.
	UsedTokens float64
	// RemainingTokens is the expected number of tokens still to be generated.
	RemainingTokens float64
}

// PeakMemory forecasts the peak of the memory that the requests use together,
// in tokens. Requests on one engine grow at the same rate and each frees its
// memory when it ends, so the peak is just before one of them ends.
//
// It is meant for engines that are limited by memory rather than batch size.
// Reserving every request's final size there leaves a third of the memory idle;
// reserving less lets the engine run out of memory, and the newest request then
// loses its prefilled prompt.
func PeakMemory(requests []RequestGrowth) float64 {
	ordered := slices.Clone(requests)
	slices.SortFunc(ordered, func(a, b RequestGrowth) int {
		switch {
		case a.RemainingTokens < b.RemainingTokens:
			return -1
		case a.RemainingTokens > b.RemainingTokens:
			return 1
		}
		return 0
	})
	used := 0.0
	for _, a := range ordered {
		used += a.UsedTokens
	}
	peak := used
	for i, a := range ordered {
		// When this request ends, it and all later ones have grown by its
		// remaining tokens.
		running := float64(len(ordered) - i)
		peak = max(peak, used+running*a.RemainingTokens)
		used -= a.UsedTokens
	}
	return peak
}
