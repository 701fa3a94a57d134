package policy

import "time"

// Candidate is an upstream among which PickUpstream chooses.
type Candidate struct {
	Health *Health
	Load   *EngineLoad
	// SamePlace is set when the upstream is in the caller's data centre.
	SamePlace bool
	// Suspect upstreams, such as silent ones, are used when nothing else is
	// left.
	Suspect bool
	// Tried upstreams failed this request before.
	Tried bool
	// GlobalErrorShare is the share of failed calls that all entries together had
	// there lately.
	GlobalErrorShare float64
}

const (
	// farCost is the cost of leaving the data centre, in requests. Crossing
	// takes a tenth of a typical call, so it only breaks ties.
	farCost = 0.1
	// errorCost scales the load of an upstream whose calls fail.
	errorCost = 12
	// restCost, doubtCost and triedCost order what is used when nothing better
	// is left. Each exceeds every load.
	restCost  = 1e3
	doubtCost = 1e4
	triedCost = 1e6
)

// PickUpstream returns the index of the upstream that should take a request,
// -1 when there is none. r is uniform in [0, 1) and breaks ties, so that
// entries with the same view do not all choose the same upstream.
func PickUpstream(list []Candidate, now time.Duration, r float64) int {
	best, bestCost := -1, 0.0
	first := int(r * float64(len(list)))
	for k := range list {
		i := (first + k) % len(list)
		if cost := pickCost(&list[i], now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func pickCost(c *Candidate, now time.Duration) float64 {
	errors := max(c.Health.ErrorShare(), c.GlobalErrorShare)
	cost := (1 + c.Load.Requests(now)) * c.Load.RelativeLatency() * (1 + errorCost*errors*errors)
	if !c.SamePlace {
		cost += farCost
	}
	if c.Health.InBackoff(now) {
		cost += restCost
	}
	if c.Suspect {
		cost += doubtCost
	}
	if c.Tried {
		cost += triedCost
	}
	return cost
}
