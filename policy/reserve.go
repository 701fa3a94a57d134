package policy

import "slices"

// minSpeedRatio is the ratio of the longest to the shortest time per token from
// which the reserve is moved to the faster engines.
const minSpeedRatio = 1.15

// AssignReserve moves the capacity reserved for urgent requests to the faster
// half of the decode engines and keeps its total. A short urgent answer spends
// most of its time on output tokens, so a free slot on a slow engine is of
// little use to it. Engines of similar speed keep equal reserves.
func AssignReserve(engines []*Engine) {
	usable := slices.DeleteFunc(slices.Clone(engines), func(e *Engine) bool { return !e.Usable || e.DecodeSeconds <= 0 })
	slices.SortStableFunc(usable, func(a, b *Engine) int {
		switch {
		case a.DecodeSeconds < b.DecodeSeconds:
			return -1
		case a.DecodeSeconds > b.DecodeSeconds:
			return 1
		}
		return 0
	})
	n := len(usable)
	if n < 2 || usable[n-1].DecodeSeconds < minSpeedRatio*usable[0].DecodeSeconds {
		for _, e := range engines {
			e.ReserveFactor = 1
		}
		return
	}
	fastCount := (n + 1) / 2
	for i, e := range usable {
		e.ReserveFactor = -1
		if i < fastCount {
			e.ReserveFactor = float64(n) / float64(fastCount)
		}
	}
}
