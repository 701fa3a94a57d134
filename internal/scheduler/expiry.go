package scheduler

import (
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// reserveMemory is how long capacity stays reserved after the last urgent
// request.
const reserveMemory = time.Minute

// expire is the expiry controller. It ends waits whose time is over, cancels
// holds of entries that stayed away and holds past their deadline, and forgets
// upstreams that have long been silent.
func (p *Pool) expire(now time.Duration) []Action {
	defer p.lock(placementTables)()
	p.upstreams.refreshAll(&p.params, now, true)
	p.forgetUpstreams(now)
	for _, c := range p.upstreams.models {
		policy.SpreadReserve(c.decode)
	}
	out := p.expireQueue(now)
	p.demoteOverdue(now)
	out = p.expireHolds(out, now)
	if now-p.queue.urgentAt >= reserveMemory {
		p.queue.urgentSeen = false
	}
	// Shares and speeds change with time, so every request is tried again.
	p.unblock()
	return out
}

func (p *Pool) expireQueue(now time.Duration) []Action {
	var due []*waiting
	for _, w := range p.queue.byTicket {
		if now >= w.giveUp {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(a, b *waiting) int { return int(a.ticket) - int(b.ticket) })
	var out []Action
	for _, w := range due {
		p.unqueue(w)
		wait := p.queueWait(w, now)
		r := refusal(w.late, max(wait, minRetryAfter), "no capacity within %v", (now - w.since).Round(time.Millisecond))
		out = append(out, refuse(w.ticket, r), refusalNote(w.req, r))
	}
	return out
}

// demoteOverdue moves drafts whose TTFT target is out of reach to the lane
// that gets what the others leave.
func (p *Pool) demoteOverdue(now time.Duration) {
	var due []*waiting
	p.queue.lanes[draftLane].Each(func(w *waiting) bool {
		if w != p.queue.earmark && p.overdue(w, now) {
			due = append(due, w)
		}
		return true
	})
	slices.SortFunc(due, func(a, b *waiting) int { return int(a.ticket) - int(b.ticket) })
	for _, w := range due {
		p.unqueue(w)
		w.lane = overdueLane
		p.enqueue(w)
	}
}

func (p *Pool) expireHolds(out []Action, now time.Duration) []Action {
	var due []*hold
	for _, h := range p.holds.byID {
		if h.ending && now < h.retryAt {
			continue
		}
		if h.ending || p.holdOver(h, now) != "" {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *hold) int { return strings.Compare(a.id, b.id) })
	for _, h := range due {
		if h.ending {
			out = append(out, p.cancelPending(h, now)...)
			continue
		}
		out = append(out, p.endHold(h, p.holdOver(h, now), now)...)
	}
	return out
}

// holdOver returns why a hold must end, or "".
func (p *Pool) holdOver(h *hold, now time.Duration) string {
	switch {
	case now >= h.expires:
		return "deadline"
	case h.stage == pb.ProgressRequest_STAGE_UNSPECIFIED && now >= h.startBy:
		// The grant was lost on its way, or the entry gave up on it.
		return "not started"
	case h.entry.gone && now >= h.entry.goneAt+p.params.HoldGrace:
		return "entry gone"
	}
	return ""
}

// forgetUpstreams removes upstreams that have been silent for long, and drops
// the holds on engines that are gone or restarted: nothing runs there for them.
func (p *Pool) forgetUpstreams(now time.Duration) {
	changed := false
	for id, m := range p.upstreams.byID {
		if m.changing && m.changeBy > 0 && now >= m.changeBy {
			m.changing = false
			p.upstreams.refresh(m, &p.params, now)
		}
		if now-m.seen < p.params.ForgetAfter {
			continue
		}
		delete(p.upstreams.byID, id)
		p.replaced(m)
		changed = true
	}
	if changed {
		p.upstreams.regroup()
	}
}

// Statuses returns the state of every upstream, sorted by id, and the revision
// of the table.
func (p *Pool) Statuses() ([]*pb.UpstreamStatus, uint64) {
	defer p.lock(upstreamsTable | holdsTable | linksTable)()
	out := make([]*pb.UpstreamStatus, 0, len(p.upstreams.byID))
	mean := p.upstreams.meanCapacity()
	for _, m := range p.upstreams.byID {
		out = append(out, &pb.UpstreamStatus{
			State: m.state, Health: m.health, HeldPieces: uint32(max(0, m.view.HeldPieces)), Holds: uint32(max(0, m.view.Batch)),
			PrefillTokensPerS: m.view.PrefillRate, DecodeUsPerToken: m.view.DecodeSeconds * 1e6,
			Weight: m.weight(mean),
		})
	}
	slices.SortFunc(out, func(a, b *pb.UpstreamStatus) int { return strings.Compare(a.State.Id, b.State.Id) })
	return out, p.upstreams.revision
}

// Revision grows with each change of the upstream table.
func (p *Pool) Revision() uint64 {
	defer p.lock(upstreamsTable)()
	return p.upstreams.revision
}

// meanCapacity returns the mean batch size of the plain services.
func (t *upstreamTable) meanCapacity() float64 {
	sum, n := 0, 0
	for _, m := range t.byID {
		if !m.isEngine() && m.health == pb.UpstreamStatus_LIVE {
			sum += m.view.MaxBatch
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// weight returns the part of the calls that a plain service should get,
// relative to the mean of the pool.
func (m *member) weight(mean float64) float64 {
	if m.isEngine() || mean <= 0 {
		return 1
	}
	return float64(m.view.MaxBatch) / mean * m.view.Share
}
