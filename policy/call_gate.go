package policy

import "time"

const (
	// maxReturning limits the refused calls that are remembered.
	maxReturning = 512
	// returnPatience is how long after its Retry-After a refused call is expected.
	returnPatience = time.Second
	// reportDelay is added to the age of a report for its way to the entry.
	reportDelay = 10 * time.Millisecond
	// reportedWaitingTTL is how long a report of waiting calls is a sign of a shortage.
	reportedWaitingTTL = time.Second
	// newCallShare is the share of its time within which a new call must end while refused
	// calls are expected to return.
	newCallShare = 0.8
	// fastestDrain is the rate at which a queue may drain as a multiple of the expected one.
	// With 1, some calls of the replay were refused while a slot was free.
	fastestDrain = 1.5
)

// present returns the calls at the upstream as in the last report, with the entry's own calls
// that were sent since.
func (l *EngineLoad) present() float64 {
	return float64(l.reported + max(0, l.requests-l.ownAtReport))
}

// QueuedCalls returns how many calls at least wait at the upstream for a slot: those that it
// reported and the entry's own since then, less those that could have ended at usual speed
// since the report if no others had come. It is 0 unless the upstream states its slots and
// slowness and the cost is learned, and it falls to 0 as the report ages.
func (l *EngineLoad) QueuedCalls(cost CallCost, now time.Duration) float64 {
	if !cost.Learned || l.slots == 0 || !l.StatesSlowness() || l.reported <= l.slots {
		return 0
	}
	perSecond := fastestDrain * float64(l.slots) / (cost.Mean * l.lastingCost())
	return max(0, l.present()-(now-l.reportedAt+reportDelay).Seconds()*perSecond-float64(l.slots))
}

// ReportsWaiting reports whether the upstream has stated in the last second that calls wait.
func (l *EngineLoad) ReportsWaiting(now time.Duration) bool {
	return l.slots > 0 && l.reported > l.slots && now-l.reportedAt < reportedWaitingTTL
}

// queueEnd returns when one more call would end if the queue is as it was reported.
func (l *EngineLoad) queueEnd(cost CallCost, now time.Duration) float64 {
	excess := max(0, l.present()+1-float64(l.slots))
	return (excess/float64(l.slots) + 1) * cost.Mean * l.lastingCost() * l.Slowness(now)
}

// CallGate refuses the plain calls to one service that cannot end before their deadline. The
// zero value is ready. It is not safe for concurrent use.
type CallGate struct {
	// returning holds, by the key of a refused call, until when it is expected to return.
	returning map[uint64]time.Duration
}

// CallVerdict is the decision of a CallGate.
type CallVerdict struct {
	Refused bool
	// RetryAfter is the time until there will be room for the call; End is the forecast time
	// until it would have ended.
	RetryAfter, End time.Duration
	// Returning is set if the call was refused before.
	Returning bool
}

// Admit decides about a call with a key, 0 if it can't be recognised, that has the time
// remaining until its deadline. It is refused only if every upstream of the list has calls
// that surely wait for a slot, and none would end the call in time. A call that was refused
// before is served before new ones: while such calls are expected, the last part of the time
// is kept for them.
func (g *CallGate) Admit(list []Candidate, cost CallCost, key uint64, remaining, now time.Duration) CallVerdict {
	return g.admit(list, cost, key, remaining, now)
}

// AdmitSurging is Admit for a call of a tenant that surges, see CallSurges. It is also refused
// if most upstreams have reported waiting calls within the last second. While the queues of
// such calls are short, no entry can tell that slots are surely busy, so that some are refused
// although a slot has become free. It is not remembered, as no time is kept for it.
func (g *CallGate) AdmitSurging(list []Candidate, cost CallCost, remaining, now time.Duration) CallVerdict {
	short := 0
	for i := range list {
		if list[i].Load.StatesSlowness() && list[i].Load.ReportsWaiting(now) {
			short++
		}
	}
	if 2*short > len(list) {
		return CallVerdict{Refused: true, RetryAfter: surgeRetryAfter}
	}
	return g.admit(list, cost, 0, remaining, now)
}

func (g *CallGate) admit(list []Candidate, cost CallCost, key uint64, remaining, now time.Duration) CallVerdict {
	v := CallVerdict{}
	until, known := g.returning[key]
	v.Returning = known && now <= until
	v.End = QueueEnd(list, cost, now)
	if v.End == 0 {
		if len(list) > 0 {
			delete(g.returning, key)
		}
		return v
	}
	limit := remaining
	if !v.Returning && g.expectsReturns(now) {
		limit = time.Duration(newCallShare * float64(remaining))
	}
	if v.End <= limit {
		delete(g.returning, key)
		return v
	}
	v.Refused, v.RetryAfter = true, v.End-limit
	if g.returning == nil {
		g.returning = map[uint64]time.Duration{}
	}
	if key != 0 && (v.Returning || len(g.returning) < maxReturning) {
		g.returning[key] = now + v.RetryAfter + returnPatience
	}
	return v
}

// QueueEnd returns the time until one more call would end at the best upstream of a list if
// calls surely wait for a slot at each of them; otherwise 0.
func QueueEnd(list []Candidate, cost CallCost, now time.Duration) time.Duration {
	end := 0.0
	for i := range list {
		l := list[i].Load
		if l.QueuedCalls(cost, now) <= 0 {
			return 0
		}
		if e := l.queueEnd(cost, now); i == 0 || e < end {
			end = e
		}
	}
	return Seconds(end)
}

// expectsReturns reports whether a refused call is still to return, and forgets those that
// have not returned in time.
func (g *CallGate) expectsReturns(now time.Duration) bool {
	for key, until := range g.returning {
		if now > until {
			delete(g.returning, key)
		}
	}
	return len(g.returning) > 0
}
