package scheduler

import (
	"cmp"
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

// groupKey identifies the requests that are queued together: those of one organisation with
// one priority, 0 to 9, 0 first.
type groupKey struct {
	priority     int
	organisation string
}

// queueGroup contains the queued requests of one organisation with one priority, in lanes.
type queueGroup struct {
	groupKey
	band  *queueBand
	share policy.Share
	lanes [laneCount]*policy.FairQueue[*queuedRequest]
	// pieces is the memory that the queued requests of each lane need, length their number.
	pieces      [laneCount]int
	totalPieces int
	length      int
	// blocked is set for a lane when no queued request fitted and nothing has become free
	// since, so that a new request does not cause another pass over the queue.
	blocked [laneCount]bool
	// newDrafts is the rate at which new drafts ask for memory, in pieces.
	newDrafts policy.Rate
	usedAt    time.Duration
}

// queueBand contains the groups of one priority.
type queueBand struct {
	shares policy.FairShares
	groups []*queueGroup
	length int
}

// groupRetention is how long a group without queued requests is kept for its rates.
const groupRetention = time.Minute

// statedPriority returns the queue's priority for the field of a SubmitRequest.
func statedPriority(field uint32) int {
	if field == 0 {
		return policy.DefaultPriority
	}
	return min(int(field)-1, policy.LowestPriority)
}

// group returns the group of a request. It is created if necessary.
func (q *queueTable) group(key groupKey, now time.Duration) *queueGroup {
	g := q.groups[key]
	if g == nil {
		band := &q.bands[key.priority]
		g = &queueGroup{groupKey: key, band: band}
		for i := range g.lanes {
			g.lanes[i] = policy.NewFairQueue[*queuedRequest]()
		}
		if q.groups == nil {
			q.groups = map[groupKey]*queueGroup{}
		}
		q.groups[key] = g
		at, _ := slices.BinarySearchFunc(band.groups, g, compareGroups)
		band.groups = slices.Insert(band.groups, at, g)
	}
	g.usedAt = max(g.usedAt, now)
	return g
}

func compareGroups(a, b *queueGroup) int { return cmp.Compare(a.organisation, b.organisation) }

// forgetIdle drops groups that have not been used for groupRetention.
func (q *queueTable) forgetIdle(now time.Duration) {
	for key, g := range q.groups {
		if g.length > 0 || now-g.usedAt < groupRetention {
			continue
		}
		delete(q.groups, key)
		if at, ok := slices.BinarySearchFunc(g.band.groups, g, compareGroups); ok {
			g.band.groups = slices.Delete(g.band.groups, at, at+1)
		}
	}
}

// all calls fn for each group, by priority and name.
func (q *queueTable) all(fn func(*queueGroup)) {
	for i := range q.bands {
		for _, g := range q.bands[i].groups {
			fn(g)
		}
	}
}

// eachInLane calls fn for each request in a lane of all groups.
func (q *queueTable) eachInLane(l lane, fn func(*queuedRequest)) {
	q.all(func(g *queueGroup) {
		g.lanes[l].Each(func(w *queuedRequest) bool {
			fn(w)
			return true
		})
	})
}

// unblock makes the next placement try every queued request.
func (q *queueTable) unblock() {
	q.claims = nil
	q.all(func(g *queueGroup) { g.blocked = [laneCount]bool{} })
}

// piecesBefore returns the memory that the requests of the group's earlier lanes need.
func (g *queueGroup) piecesBefore(l lane) int {
	pieces := 0
	for i := range l {
		pieces += g.pieces[i]
	}
	return pieces
}

// piecesOfOthers returns the memory that is granted to other groups before the group has
// been granted own pieces: all that is queued with a higher priority, and of each other
// organisation of its priority at most as much as it gets itself.
func (q *queueTable) piecesOfOthers(g *queueGroup, own int) int {
	pieces := 0
	for i := range g.priority {
		for _, o := range q.bands[i].groups {
			pieces += o.totalPieces
		}
	}
	for _, o := range g.band.groups {
		if o != g {
			pieces += min(o.totalPieces, own)
		}
	}
	return pieces
}

// arrivals returns the rates at which new drafts ask for memory that go before the requests
// of a group: those of higher priorities, and those of its own priority, of each other
// organisation at most its share of the rate at which memory is released.
func (q *queueTable) arrivals(g *queueGroup, release float64, now time.Duration) (higher, same float64) {
	for i := range g.priority {
		for _, o := range q.bands[i].groups {
			higher += o.newDrafts.PerSecond(now)
		}
	}
	active := 1.0
	for _, o := range g.band.groups {
		if o != g && o.isActive(now) {
			active++
		}
	}
	same = g.newDrafts.PerSecond(now)
	for _, o := range g.band.groups {
		if o != g {
			same += min(o.newDrafts.PerSecond(now), max(0, release-higher)/active)
		}
	}
	return higher, same
}

// queuePart is a lane of a group.
type queuePart struct {
	group *queueGroup
	lane  lane
}

// parts lists the lanes with requests: by priority, then by lane, and within a lane the
// organisation first that has been served least.
func (q *queueTable) parts() []queuePart {
	var out []queuePart
	for i := range q.bands {
		if q.bands[i].length == 0 {
			continue
		}
		groups := slices.Clone(q.bands[i].groups)
		slices.SortStableFunc(groups, func(a, b *queueGroup) int {
			switch {
			case a.share.Before(&b.share):
				return -1
			case b.share.Before(&a.share):
				return 1
			}
			return 0
		})
		for l := range laneCount {
			for _, g := range groups {
				if g.lanes[l].Len() > 0 {
					out = append(out, queuePart{group: g, lane: l})
				}
			}
		}
	}
	return out
}

// turn is the place of a group in one placement run.
type turn struct {
	group *queueGroup
	// share is a copy of the group's, which a run compares very often.
	share policy.Share
	// lane is the first lane with requests that were not tried; laneCount if none is left.
	lane lane
	// done is set for a lane whose requests were all tried.
	done [laneCount]bool
}

// advance sets the lane of the turn.
func (t *turn) advance() {
	t.share = t.group.share
	for t.lane = 0; t.lane < laneCount; t.lane++ {
		if t.group.pieces[t.lane] > 0 && !t.group.blocked[t.lane] && !t.done[t.lane] {
			return
		}
	}
}

// nextTurn returns the turn of the group that is served next; nil if nothing is left to
// try. Urgent requests and streams to resume go first; their callers wait for the next token
// of an answer. Organisations whose shares are equal are served in the order of their lanes.
func nextTurn(turns []turn, requestCost float64) *turn {
	var first, next *turn
	for i := range turns {
		t := &turns[i]
		switch {
		case t.lane == laneCount:
		case t.lane < firstShared:
			if next == nil || t.lane < next.lane || t.lane == next.lane && t.share.Before(&next.share) {
				next = t
			}
		case first == nil || t.share.Before(&first.share):
			first = t
		}
	}
	if next != nil || first == nil {
		return next
	}
	for i := range turns {
		t := &turns[i]
		if t.lane == laneCount || !first.share.Equal(&t.share, requestCost) {
			continue
		}
		if next == nil || t.lane < next.lane || t.lane == next.lane && t.share.Before(&next.share) {
			next = t
		}
	}
	return next
}
