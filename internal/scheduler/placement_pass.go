package scheduler

import (
	"maps"
	"slices"
	"time"

	"godwitward.example/godwitward/policy"
)

// placeBand grants the requests of one priority that fit, but those for the models in held. It
// adds the models for which too many organisations were tried in vain. It reports whether
// every other request that could fit was tried.
func (p *Pool) placeBand(band *queueBand, held map[string]bool, out []Action, now time.Duration) ([]Action, bool) {
	turns := make([]turn, 0, len(band.groups))
	queued := 0
	for _, g := range band.groups {
		if g.length == 0 {
			continue
		}
		queued++
		t := turn{group: g}
		if t.advance(); t.lane < laneCount {
			turns = append(turns, t)
		}
	}
	pass := lanePass{onlyFirst: queued > 1, free: map[freeKey]int{}, held: held}
	if len(held) > 0 {
		turns = skipHeld(turns, held)
	}
	untried, tried := 0, map[string]bool{}
	for {
		t := nextTurn(turns, p.meanCost())
		if t == nil {
			return out, true
		}
		var result laneResult
		out, result = p.placeLane(t.group, t.lane, &pass, out, now)
		switch result {
		case laneTried:
			t.done[t.lane] = true
			if len(held) == 0 {
				t.group.blocked[t.lane] = true
			}
			t.group.lanes[t.lane].EachGroup(func(model string) { tried[model] = true })
			if untried++; untried >= maxSkippedGroups && queued > 1 {
				// Requests for other models don't wait for those.
				maps.Copy(held, tried)
				if p.queue.onlyModels(held) {
					return out, false
				}
				turns = skipHeld(turns, held)
				untried = 0
				clear(tried)
				continue
			}
		case laneIncomplete:
			if t.lane != resumedLane {
				return out, false
			}
			t.done[t.lane] = true
		case laneGranted:
		}
		t.advance()
	}
}

// skipHeld leaves out the lanes that have only requests for the models in held, and the turns
// of groups with no other lane.
func skipHeld(turns []turn, held map[string]bool) []turn {
	for i := range turns {
		t := &turns[i]
		for l, lane := range t.group.lanes {
			other := false
			lane.EachGroup(func(model string) { other = other || !held[model] })
			t.done[l] = t.done[l] || !other
		}
		t.advance()
	}
	return slices.DeleteFunc(turns, func(t turn) bool { return t.lane == laneCount })
}

// onlyModels reports whether all queued requests are for models of the set.
func (q *queueTable) onlyModels(models map[string]bool) bool {
	for model := range q.models {
		if !models[model] {
			return false
		}
	}
	return true
}

// meanCost returns the mean size of a request in tokens; 0 before the first grant.
func (p *Pool) meanCost() float64 {
	work := &p.holds.workload
	return work.promptTokens.value + work.outputTokens.value
}

// activateRestored reserves memory for the restored holds once the restate
// window is over.
func (p *Pool) activateRestored(now time.Duration) {
	if p.holds.restoredActive {
		return
	}
	p.holds.restoredActive = true
	for m := range p.holds.byDecode {
		p.activatePromised(m, now)
	}
}

// laneResult is how a pass over a lane ended.
type laneResult uint8

const (
	// laneTried: every request that could fit was tried.
	laneTried laneResult = iota
	// laneGranted: a request was granted, and others may fit.
	laneGranted
	// laneIncomplete: too many requests fitted nowhere.
	laneIncomplete
)

// lanePass is what the lanes of a band have in common in one run.
type lanePass struct {
	// onlyFirst is set if a lane is left after one grant, because it may be the turn of another
	// organisation. One that is alone is served without a pause.
	onlyFirst bool
	// free caches the memory that one request may get.
	free map[freeKey]int
	// held are the models whose requests are not tried.
	held map[string]bool
}

type freeKey struct {
	model string
	class policy.Class
}

// placeLane grants the requests of a group's lane that fit, or only the first one.
func (p *Pool) placeLane(g *queueGroup, l lane, pass *lanePass, out []Action, now time.Duration) ([]Action, laneResult) {
	class := l.class()
	limit, skipped := maxSkipped, 0
	if l == resumedLane {
		limit = maxSkippedStreams
	}
	freePieces := func(model string) int {
		if pass.held[model] {
			return 0
		}
		if !p.policy.RespectsReserve() {
			return unlimitedPieces
		}
		n, ok := pass.free[freeKey{model, class}]
		if !ok {
			c := p.upstreams.candidatesFor(model)
			n = c.maxFreePieces(class, p.urgentReserve(), p.reservedPrefill(c), p.params.LocalPrefill)
			pass.free[freeKey{model, class}] = n
		}
		return n
	}
	granted := false
	g.lanes[l].Serve(freePieces, func(w *queuedRequest) policy.Verdict {
		if granted && pass.onlyFirst {
			return policy.Stop
		}
		q := p.query(w, now)
		pl, ok := p.choosePlacement(&q, w)
		if ok {
			out = append(out, p.grant(w, &pl, 0, now)...)
			clear(pass.free)
			granted = true
			return policy.Taken
		}
		skipped++
		if skipped >= limit {
			return policy.Stop
		}
		return p.verdict(&q, skipped)
	})
	switch {
	case skipped >= limit:
		return out, laneIncomplete
	case granted && pass.onlyFirst:
		return out, laneGranted
	}
	g.lanes[l].Each(func(w *queuedRequest) bool {
		if !pass.held[w.req.Model] {
			p.addClaim(w)
		}
		return false
	})
	return out, laneTried
}
