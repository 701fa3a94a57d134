package scheduler

import (
	"cmp"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// lastChanceTime is how long before its queue deadline a returned draft goes ahead
// of new ones: a few times the interval in which memory becomes free.
const lastChanceTime = 600 * time.Millisecond

// firstLane returns the lane in which a request is queued unless it is overdue.
// A draft whose prompt is prefilled goes before new ones: the result expires within 0.5 s,
// which under shortage is shorter than the wait of others.
func firstLane(class policy.Class, wasRefused, resumes, prefilled bool) lane {
	switch {
	case class == policy.Urgent:
		return urgentLane
	case resumes:
		return resumedLane
	case prefilled:
		return lastChanceLane
	case wasRefused:
		return returnedLane
	}
	return draftLane
}

var laneNames = [laneCount]string{
	urgentLane: "urgent", resumedLane: "resumed", lastChanceLane: "last_chance", draftLane: "draft", returnedLane: "returned", overdueLane: "overdue",
}

// String implements fmt.Stringer.
func (l lane) String() string { return laneNames[l] }

// yields reports whether new drafts are served before those of the lane.
func (l lane) yields() bool { return l == overdueLane }

// reviewLanes moves queued drafts between lanes as time passes, and refuses those
// that cannot be served in time any more.
func (p *Pool) reviewLanes(now time.Duration) []Action {
	p.demoteOverdue(now)
	p.promoteReturned(now)
	return p.refuseHopeless(now)
}

// demoteOverdue moves drafts that can no longer meet their TTFT target to the
// overdue lane.
func (p *Pool) demoteOverdue(now time.Duration) {
	p.moveToLane(draftLane, overdueLane, func(w *queuedRequest) bool { return p.overdue(w, now) })
}

// promoteReturned moves returned drafts ahead of new ones shortly before they
// would be refused again. Served ahead from the start, they would make as many
// new drafts miss their target, in a burst nearly all.
func (p *Pool) promoteReturned(now time.Duration) {
	p.moveToLane(returnedLane, lastChanceLane, func(w *queuedRequest) bool { return w.queueDeadline-now <= lastChanceTime })
}

// moveToLane moves the matching requests of a lane to another one, in the order of
// their arrival. The earmarked draft stays.
func (p *Pool) moveToLane(from, to lane, match func(*queuedRequest) bool) {
	var list []*queuedRequest
	p.queue.eachInLane(from, func(w *queuedRequest) {
		if w != p.queue.earmarkedDraft && match(w) {
			list = append(list, w)
		}
	})
	sortByTicket(list)
	for _, w := range list {
		p.dequeue(w)
		w.lane = to
		p.enqueue(w)
	}
}

// refuseHopeless refuses the overdue drafts whose forecast wait exceeds the time
// that they may still wait, so that their callers can return when there is
// capacity.
func (p *Pool) refuseHopeless(now time.Duration) []Action {
	var out []Action
	for i := range p.queue.bands {
		var load *bandLoad
		for _, g := range p.queue.bands[i].groups {
			if g.lanes[overdueLane].Len() == 0 {
				continue
			}
			if load == nil || len(load.changed) >= maxChangedGroups {
				load = p.queue.load(i, now)
			}
			before := g.totalPieces
			out = append(out, p.refuseHopelessOf(g, load, now)...)
			if g.totalPieces != before {
				load.changed = append(load.changed, changedGroup{g, before})
			}
		}
	}
	return out
}

func (p *Pool) refuseHopelessOf(g *queueGroup, load *bandLoad, now time.Duration) []Action {
	total := g.totalPieces
	forecasts := map[string]policy.QueueForecast{}
	wait := func(w *queuedRequest, ahead int) time.Duration {
		f, ok := forecasts[w.req.Model]
		if !ok {
			f = load.forecast(p, w.req.Model, g, now)
			forecasts[w.req.Model] = f
		}
		return f.Wait(ahead+load.piecesOfOthers(total, ahead), true)
	}
	ahead := g.piecesBefore(overdueLane)
	var due []*queuedRequest
	g.lanes[overdueLane].Each(func(w *queuedRequest) bool {
		if w != p.queue.earmarkedDraft && now+scaleWait(wait(w, ahead)) > w.queueDeadline {
			due = append(due, w)
			return true
		}
		ahead += w.spec.Pieces
		return true
	})
	sortByTicket(due)
	var out []Action
	for _, w := range due {
		p.dequeue(w)
		p.returnRetries(w)
		p.queue.refused.add(w.req, now)
		// Those refused at the same time return one after the other.
		ahead += w.spec.Pieces
		forecast := wait(w, ahead)
		r := newRefusal(pb.Refusal_OVERLOADED, max(forecast, minRetryAfter), "forecast wait %v is over the remaining %v", forecast.Round(time.Millisecond), (w.queueDeadline - now).Round(time.Millisecond))
		out = append(out, refusalResult(w.ticket, r), refusalEvent(w.req, r))
	}
	return out
}

// fullMemoryShare is the share of the decode memory that is held when requests are
// queued.
const fullMemoryShare = 0.75

// queueForecast returns the forecast for a group's queue. Memory is released at the rate
// of a full pool at least, which a pool that has just got engines back reaches
// soon.
func (p *Pool) queueForecast(now time.Duration, model string, g *queueGroup) policy.QueueForecast {
	release := p.memoryReleaseRate(now, model)
	higher, same := p.queue.arrivals(g, release, now)
	return policy.QueueForecast{ReleaseRate: release, ArrivalRate: same}.Behind(higher)
}

// memoryReleaseRate returns the rate at which memory is released for a model, in pieces a
// second.
func (p *Pool) memoryReleaseRate(now time.Duration, model string) float64 {
	release := p.holds.releaseRate(now)
	if c := p.upstreams.byModel[model]; c != nil && p.holds.meanHoldTime > 0 {
		release = max(release, fullMemoryShare*float64(c.usablePieces(nil))/p.holds.meanHoldTime.Seconds())
	}
	return release
}

// scaleWait reduces a forecast wait before it is compared with an allowed one.
func scaleWait(d time.Duration) time.Duration { return time.Duration(waitForecastFactor * float64(d)) }

func sortByTicket(list []*queuedRequest) {
	slices.SortFunc(list, func(a, b *queuedRequest) int { return cmp.Compare(a.ticket, b.ticket) })
}
