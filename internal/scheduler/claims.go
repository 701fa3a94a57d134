package scheduler

import (
	"slices"

	"godwitward.example/godwitward/policy"
)

// claim keeps the memory that becomes free on one engine for a request that fits nowhere.
// Without it, smaller requests of a lower priority, or of an organisation that has been
// served more, would take each part of the memory as it becomes free, and a request of
// usual size would wait until their queue is empty.
type claim struct {
	request *queuedRequest
	engine  string
}

// addClaim claims the engine with the most free memory for a request that fits nowhere. While
// all requests are of one organisation and priority there is nobody to keep it from.
func (p *Pool) addClaim(w *queuedRequest) {
	q := &p.queue
	if len(q.groups) < 2 || w.lane < firstShared || slices.ContainsFunc(q.claims, func(c claim) bool { return c.request == w }) {
		return
	}
	claimed := make([]string, 0, len(q.claims))
	for _, c := range q.claims {
		claimed = append(claimed, c.engine)
	}
	if m := p.roomiestEngine(w, claimed); m != nil {
		q.claims = append(q.claims, claim{request: w, engine: m.view.ID})
	}
}

// dropClaim drops the claim of a request that has left the queue.
func (q *queueTable) dropClaim(w *queuedRequest) {
	q.claims = slices.DeleteFunc(q.claims, func(c claim) bool { return c.request == w })
}

// claimedBefore returns the engines that requests have claimed which go before w.
func (q *queueTable) claimedBefore(w *queuedRequest) []string {
	var out []string
	for _, c := range q.claims {
		if w.lane < firstShared && c.request.group.priority >= w.group.priority {
			continue
		}
		if c.request.group.goesBefore(w.group, c.request.cost()) {
			out = append(out, c.engine)
		}
	}
	return out
}

// goesBefore reports whether requests of the group go before those of o whatever their slack.
func (g *queueGroup) goesBefore(o *queueGroup, cost float64) bool {
	if g.priority != o.priority {
		return g.priority < o.priority
	}
	return g != o && !g.share.Equal(&o.share, cost)
}

// roomiestEngine returns the usable engine with the most free memory among those
// that are large enough for the request and not in taken.
func (p *Pool) roomiestEngine(w *queuedRequest, taken []string) *upstreamRecord {
	var out *policy.Engine
	c := p.upstreams.candidatesFor(w.req.Model)
	excluded := append(taken, p.excluded(w, c, p.placementTime)...)
	for _, e := range c.decode {
		fits := e.TotalPieces-e.ForeignPieces >= w.spec.Pieces && !slices.Contains(excluded, e.ID)
		if !e.Usable || !fits {
			continue
		}
		if out == nil || e.FreePieces(policy.Urgent, 0) > out.FreePieces(policy.Urgent, 0) {
			out = e
		}
	}
	if out == nil {
		return nil
	}
	return p.upstreams.byID[out.ID]
}
