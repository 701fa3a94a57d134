package scheduler

import (
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// urgentReserveRetention is how long capacity stays reserved after the last
// urgent request.
const urgentReserveRetention = time.Minute

// expire is the expiry controller. It refuses queued requests past their
// deadline, cancels the holds that expiryReason selects, ends role changes, and
// forgets upstreams that have been silent for ForgetAfter.
func (p *Pool) expire(now time.Duration) []Action {
	defer p.lock(placementBits)()
	p.upstreams.refreshAll(&p.params, now, true)
	p.upstreams.updateTypicalRates(now)
	out := p.endRoleChanges(now)
	p.forgetUpstreams(now)
	p.queue.forgetIdle(now)
	for _, c := range p.upstreams.byModel {
		policy.AssignReserve(c.decode)
	}
	out = append(out, p.expireQueue(now)...)
	out = append(out, p.reviewLanes(now)...)
	out = p.expireHolds(out, now)
	if now-p.queue.lastUrgentAt >= urgentReserveRetention {
		p.queue.recentUrgent = false
	}
	// Engine shares and speeds change with time, so every request is tried
	// again.
	p.unblockQueue()
	return out
}

func (p *Pool) expireQueue(now time.Duration) []Action {
	var due []*queuedRequest
	for _, w := range p.queue.byTicket {
		if now >= w.queueDeadline {
			due = append(due, w)
		}
	}
	sortByTicket(due)
	var out []Action
	for _, w := range due {
		p.dequeue(w)
		p.returnRetries(w)
		p.queue.refused.add(w.req, now)
		wait := p.forecastWait(w, now)
		r := newRefusal(w.timeoutCode, max(wait, minRetryAfter), "no capacity within %v", (now - w.queuedAt).Round(time.Millisecond))
		out = append(out, refusalResult(w.ticket, r), refusalEvent(w.req, r))
	}
	return out
}

func (p *Pool) expireHolds(out []Action, now time.Duration) []Action {
	var due []*hold
	for _, h := range p.holds.byID {
		if h.cancelling && now < h.cancelRetryAt {
			continue
		}
		if h.cancelling || p.expiryReason(h, now) != "" {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *hold) int { return strings.Compare(a.id, b.id) })
	for _, h := range due {
		if h.cancelling {
			out = append(out, p.cancelPending(h, now)...)
			continue
		}
		out = append(out, p.cancelHold(h, p.expiryReason(h, now), now)...)
	}
	return out
}

// expiryReason returns why a hold must end, or "".
func (p *Pool) expiryReason(h *hold, now time.Duration) string {
	switch {
	case now >= h.expiresAt:
		return "deadline"
	case h.stage == pb.ProgressRequest_STAGE_UNSPECIFIED && now >= h.startDeadline:
		// The grant did not arrive, or the entry did not use it.
		return "not started"
	case h.entry.disconnected && now >= h.entry.disconnectedAt+p.params.HoldGrace:
		return "entry gone"
	}
	return ""
}

// endRoleChanges ends role changes that were not announced in time.
func (p *Pool) endRoleChanges(now time.Duration) []Action {
	var due []*upstreamRecord
	for _, m := range p.upstreams.byID {
		if m.changingRole && m.announceRoleBy > 0 && now >= m.announceRoleBy {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *upstreamRecord) int { return strings.Compare(a.view.ID, b.view.ID) })
	var out []Action
	for _, m := range due {
		out = append(out, p.endIgnoredOrder(m, now))
	}
	return out
}

// forgetUpstreams removes upstreams that have been silent for ForgetAfter.
func (p *Pool) forgetUpstreams(now time.Duration) {
	changed := false
	for id, m := range p.upstreams.byID {
		if now-m.lastSeen < p.params.ForgetAfter {
			continue
		}
		delete(p.upstreams.byID, id)
		p.dropReferences(m)
		changed = true
	}
	if changed {
		p.upstreams.rebuildCandidates()
	}
}

// Statuses returns the state of every upstream, sorted by id, and the revision
// of the table.
func (p *Pool) Statuses() ([]*pb.UpstreamStatus, uint64) {
	defer p.lock(upstreamsBit | holdsBit | linksBit)()
	out := make([]*pb.UpstreamStatus, 0, len(p.upstreams.byID))
	meanBatch := p.upstreams.meanBatchSize()
	for _, m := range p.upstreams.byID {
		out = append(out, &pb.UpstreamStatus{
			State: m.state, Health: m.health, HeldPieces: uint32(max(0, m.view.HeldPieces)), Holds: uint32(max(0, m.view.Batch)),
			PrefillTokensPerS: m.view.PrefillRate, DecodeUsPerToken: m.view.DecodeSeconds * 1e6,
			Weight: m.weight(meanBatch),
		})
	}
	slices.SortFunc(out, func(a, b *pb.UpstreamStatus) int { return strings.Compare(a.State.Id, b.State.Id) })
	return out, p.upstreams.revision
}

// Revision returns a number that increases with each change of the upstream
// table.
func (p *Pool) Revision() uint64 {
	defer p.lock(upstreamsBit)()
	return p.upstreams.revision
}

// meanBatchSize returns the mean maximum batch size of the live plain services.
func (t *upstreamTable) meanBatchSize() float64 {
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

// weight returns the share of calls that a plain service should get, relative
// to the pool's mean.
func (m *upstreamRecord) weight(meanBatch float64) float64 {
	if m.isEngine() || meanBatch <= 0 {
		return 1
	}
	return float64(m.view.MaxBatch) / meanBatch * m.view.Share
}
