package policy

import "time"

// Candidate is an upstream that PickUpstream can select.
type Candidate struct {
	Health *Health
	Load   *EngineLoad
	// SamePlace is set when the upstream is in the entry's own place (data
	// centre).
	SamePlace bool
	// Suspect upstreams, such as those without recent reports, are used only
	// when no other is left.
	Suspect bool
	// Tried is set when the upstream failed this request before.
	Tried bool
	// GlobalErrorShare is the recent share of failed calls over all entries.
	GlobalErrorShare float64

	// rank and end are set by PickByForecast.
	rank, end float64
}

const (
	// otherPlaceCost is the cost of leaving the data centre, in requests. The
	// network delay is a tenth of a typical call, so it only breaks ties.
	otherPlaceCost = 0.1
	// errorCostFactor weights the squared error share, which scales the load: at
	// an error share of 1 the load counts 13 times.
	errorCostFactor = 12
	// backoffCost, suspectCost and triedCost rank the upstreams that are used only
	// when no better one is left. Each exceeds every load.
	backoffCost = 1e3
	suspectCost = 1e4
	triedCost   = 1e6
)

// PickUpstream returns the index of the upstream with the lowest cost, -1 when
// the list is empty. r is uniform in [0, 1) and breaks ties, so that entries
// with the same view do not all select the same upstream.
func PickUpstream(list []Candidate, now time.Duration, r float64) int {
	best, bestCost := -1, 0.0
	first := int(r * float64(len(list)))
	untried := untriedLatency(list)
	for k := range list {
		i := (first + k) % len(list)
		if cost := candidateCost(&list[i], untried, now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// untriedLatency returns the relative latency to assume for upstreams that have none: the
// lowest of the others, at most 1. With a higher one, an entry whose calls are faster than the
// nominal time would keep to the upstreams that it has tried.
func untriedLatency(list []Candidate) float64 {
	lowest := 1.0
	for i := range list {
		lowest = min(lowest, list[i].Load.RelativeLatency())
	}
	return lowest
}

// candidateCost returns the cost of an upstream in equivalent requests. untried is the
// relative latency of one that has none.
func candidateCost(c *Candidate, untried float64, now time.Duration) float64 {
	latency := untried
	if c.Load.LatencyKnown() {
		latency = c.Load.RelativeLatency()
	}
	cost := (1 + c.Load.Requests(now)) * latency * c.errorFactor()
	if !c.SamePlace {
		cost += otherPlaceCost
	}
	return cost + c.penalty(now)
}

// errorFactor returns the factor by which failed calls raise the cost of an upstream.
func (c *Candidate) errorFactor() float64 {
	errorShare := max(c.Health.ErrorShare(), c.GlobalErrorShare)
	return 1 + errorCostFactor*errorShare*errorShare
}

// penalty returns the cost that ranks an upstream behind better ones, 0 for a sound one.
func (c *Candidate) penalty(now time.Duration) float64 {
	cost := 0.0
	if c.Health.InBackoff(now) {
		cost += backoffCost
	}
	if c.Suspect {
		cost += suspectCost
	}
	if c.Tried {
		cost += triedCost
	}
	return cost
}
