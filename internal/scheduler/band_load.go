package scheduler

import (
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

// cappedSums returns sums of values of which each counts at most a limit.
type cappedSums struct {
	// values are sorted; sums[i] is the sum of the first i.
	values, sums []float64
}

// newCappedSums sorts and keeps values.
func newCappedSums(values []float64) cappedSums {
	slices.Sort(values)
	sums := make([]float64, len(values)+1)
	for i, v := range values {
		sums[i+1] = sums[i] + v
	}
	return cappedSums{values, sums}
}

func (c *cappedSums) sum(limit float64) float64 {
	n, _ := slices.BinarySearch(c.values, limit)
	return c.sums[n] + limit*float64(len(c.values)-n)
}

// bandLoad contains what piecesOfOthers and arrivals compute for the groups of one priority,
// at one time. With 950 organisations that all have overdue requests, adding up all groups for
// each of them took 14 ms in each review of the queue.
type bandLoad struct {
	higherPieces int
	higherRate   float64
	pieces       cappedSums
	rates        cappedSums
	// active is the number of groups with queued or recent requests.
	active int
	// changed lists the groups whose requests were refused since, with their memory before.
	changed []changedGroup
}

type changedGroup struct {
	group  *queueGroup
	before int
}

// maxChangedGroups is the number of changed groups from which on a bandLoad is made again.
const maxChangedGroups = 32

// load returns the load of a priority.
func (q *queueTable) load(priority int, now time.Duration) *bandLoad {
	l := &bandLoad{}
	for i := range priority {
		for _, g := range q.bands[i].groups {
			l.higherPieces += g.totalPieces
			l.higherRate += g.newDrafts.PerSecond(now)
		}
	}
	groups := q.bands[priority].groups
	pieces, rates := make([]float64, 0, len(groups)), make([]float64, 0, len(groups))
	for _, g := range groups {
		pieces = append(pieces, float64(g.totalPieces))
		rates = append(rates, g.newDrafts.PerSecond(now))
		if g.isActive(now) {
			l.active++
		}
	}
	l.pieces, l.rates = newCappedSums(pieces), newCappedSums(rates)
	return l
}

// isActive reports whether the group has queued requests or new drafts.
func (g *queueGroup) isActive(now time.Duration) bool {
	return g.length > 0 || g.newDrafts.PerSecond(now) > 0
}

// piecesOfOthers is queueTable.piecesOfOthers for a group that needed total pieces when the
// load was made.
func (l *bandLoad) piecesOfOthers(total, own int) int {
	pieces := l.higherPieces + int(l.pieces.sum(float64(own))) - min(total, own)
	for _, c := range l.changed {
		pieces += min(c.group.totalPieces, own) - min(c.before, own)
	}
	return pieces
}

// arrivals is queueTable.arrivals for a group with queued requests.
func (l *bandLoad) arrivals(g *queueGroup, release float64, now time.Duration) (higher, same float64) {
	own := g.newDrafts.PerSecond(now)
	limit := max(0, release-l.higherRate) / float64(l.active)
	return l.higherRate, own + max(0, l.rates.sum(limit)-min(own, limit))
}

// forecast is queueForecast with the load of the group's priority.
func (l *bandLoad) forecast(p *Pool, model string, g *queueGroup, now time.Duration) policy.QueueForecast {
	release := p.memoryReleaseRate(now, model)
	higher, same := l.arrivals(g, release, now)
	return policy.QueueForecast{ReleaseRate: release, ArrivalRate: same}.Behind(higher)
}
