package scheduler

import (
	"slices"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

const (
	// relistInterval is the time between listings of the running requests of an
	// engine that reports work which no hold accounts for.
	relistInterval = 2 * time.Second
	// minOmittedAge is the age from which a hold ends when its entry's
	// restatement omits it. A younger hold's grant may still be on its way to
	// the entry.
	minOmittedAge = 2 * time.Second
)

// Restate adopts the holds that an entry still has. The list is complete: an
// older hold of the entry that it omits has ended at the entry, and so has one
// from before the end of its session, whose process may have ended too.
func (p *Pool) Restate(r *pb.RestateRequest, now time.Duration) []Action {
	defer p.lock(placementBits)()
	e := p.getOrCreateEntry(r.EntryId)
	reconnected := e.disconnected
	e.disconnected = false
	p.restoreRetryBudget(r, now)
	restated := map[string]bool{}
	for _, h := range r.Holds {
		restated[h.HoldId] = true
		// A hold that was granted under the current lease and is not known has
		// been cancelled; its memory may have been granted again.
		if p.holds.byID[h.HoldId] == nil && !strings.HasPrefix(h.HoldId, p.holdIDPrefix()) {
			p.restoreHold(e, h, now)
		}
	}
	var omitted []*hold
	for _, h := range e.holds {
		if !restated[h.id] && (now-h.grantedAt >= minOmittedAge || reconnected && h.grantedAt < e.disconnectedAt) {
			omitted = append(omitted, h)
		}
	}
	slices.SortFunc(omitted, func(a, b *hold) int { return strings.Compare(a.id, b.id) })
	var out []Action
	for _, h := range omitted {
		out = append(out, p.cancelHold(h, "not restated", now)...)
	}
	p.pruneEntry(e)
	return out
}

// restoreHold adds a hold that another scheduler granted.
func (p *Pool) restoreHold(e *entryRecord, s *pb.Hold, now time.Duration) {
	pre, dec := p.recordOrPlaceholder(s.PrefillId, now), p.recordOrPlaceholder(s.DecodeId, now)
	h := &hold{
		id: s.HoldId, requestID: s.RequestId, model: s.Model, entry: e, prefill: pre, decode: dec,
		grantedAt: now, expiresAt: now + defaultDeadline + p.params.DeadlineMargin, attempt: s.Attempt,
		pieces: int32(s.Pieces), promptTokens: int32(s.PromptTokens), outputTokens: int32(s.MaxOutputTokens),
		prefillTokens: int32(s.PromptTokens), startDeadline: now + p.params.HoldGrace, stage: s.Stage, class: classOf(s.RequestClass),
	}
	h.prefillReserved = s.Stage < pb.ProgressRequest_PREFILL_DONE
	if s.Stage < pb.ProgressRequest_TRANSFER_DONE {
		h.linkReserved = true
		h.promptPieces = int32(piecesFor(int(s.PromptTokens), defaultPieceTokens))
		h.linkBytes = policy.KVBytes(&pre.view, &dec.view, int(s.PromptTokens))
	}
	if s.Stage >= pb.ProgressRequest_FIRST_TOKEN {
		h.firstTokenAt = now
	}
	if h.linkReserved {
		// Its memory may only have been promised. The hold counts as promised
		// until the work that occupies the engine has been restated as well.
		h.promised = true
		p.addHold(h, now)
		p.activatePromised(dec, now)
		return
	}
	// The load report counted this work as foreign. It is corrected, so that
	// the memory is not counted twice until the next report.
	dec.held.addRestored(now, int(h.pieces), 1)
	p.addHold(h, now)
	dec.view.ForeignPieces = max(0, dec.view.ForeignPieces-int(h.pieces))
	dec.view.ForeignBatch = max(0, dec.view.ForeignBatch-1)
}

// recordOrPlaceholder returns the record of an upstream. If the upstream has
// not announced itself since the takeover, it adds a record that receives no
// work.
func (p *Pool) recordOrPlaceholder(id string, now time.Duration) *upstreamRecord {
	if m := p.upstreams.byID[id]; m != nil {
		return m
	}
	s := &pb.UpstreamState{Id: id}
	m := p.upstreams.newUpstreamRecord(s)
	m.placeholder = true
	m.state = s
	m.lastSeen = now - p.params.SilentAfter
	m.view.ID = id
	m.publishSpeed()
	p.upstreams.byID[id] = m
	p.upstreams.refresh(m, &p.params, now)
	return m
}

// mustListOnAnnounce reports whether the running requests of an engine that
// announced itself must be listed, because the previous lease holder may have
// left work there.
func (p *Pool) mustListOnAnnounce(m *upstreamRecord, now time.Duration) bool {
	if !m.isEngine() || m.listed {
		return false
	}
	return now < p.activeAt+p.params.HoldGrace
}

// findOrphans is the orphans controller. Once HoldGrace has passed after a
// takeover, it lists the running requests of each engine, and then again those
// of engines that report work which no hold accounts for.
func (p *Pool) findOrphans(now time.Duration) []Action {
	defer p.lock(upstreamsBit | holdsBit)()
	if now < p.activeAt+p.params.HoldGrace {
		return nil
	}
	var due []*upstreamRecord
	for _, m := range p.upstreams.byID {
		if !m.isEngine() || now-m.lastSeen >= p.params.SilentAfter {
			continue
		}
		foreign := m.view.ForeignPieces > 0 || m.view.ForeignBatch > 0
		if !m.listed || (foreign && now-m.listedAt >= relistInterval) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *upstreamRecord) int { return strings.Compare(a.view.ID, b.view.ID) })
	var out []Action
	for _, m := range due {
		m.listed = true
		m.listedAt = now
		out = append(out, ListRunning{Engine: m.state})
	}
	return out
}

// Listed processes an engine's list of running requests that was asked for at
// askedAt. Work that no hold accounts for is cancelled once the grace period is
// over.
func (p *Pool) Listed(engine *pb.UpstreamState, running []upstream.Running, askedAt, now time.Duration) []Action {
	defer p.lock(upstreamsBit | holdsBit)()
	m := p.upstreams.byID[engine.Id]
	if m == nil || m.state.Generation != engine.Generation {
		return nil
	}
	known := map[attemptID]bool{}
	for _, h := range p.holds.byID {
		if h.prefill == m || h.decode == m {
			known[attemptID{h.requestID, h.attempt}] = true
		}
	}
	var out []Action
	pieces, batch := 0, 0
	for _, r := range running {
		if known[attemptID{r.RequestID, r.Attempt}] {
			continue
		}
		pieces += r.Pieces
		batch++
		// Younger work may belong to a hold that was released while the list
		// was made.
		if now >= p.activeAt+p.params.HoldGrace && fromMillis64(r.AgeMillis) >= p.params.HoldGrace/2 {
			work := upstream.CancelRequest{RequestID: r.RequestID, Attempt: r.Attempt}
			out = append(out, CancelOrphan{Engine: m.state, Work: work},
				TimelineEvent{Kind: "orphan.cancelled", RequestID: r.RequestID, Attempt: r.Attempt, Upstream: m.view.ID, Detail: r.Stage})
		}
	}
	// Until the grace period is over, work that no hold accounts for keeps its
	// memory, even if the load report does not show it.
	if askedAt < p.activeAt+p.params.HoldGrace && m.state.Role == pb.EngineRole_ENGINE_ROLE_DECODE {
		m.view.ForeignPieces = max(m.view.ForeignPieces, pieces)
		m.view.ForeignBatch = max(m.view.ForeignBatch, batch)
	}
	return out
}

// ListFailed records that an engine's running requests could not be listed; the
// next run of the controller asks again.
func (p *Pool) ListFailed(engine *pb.UpstreamState) {
	defer p.lock(upstreamsBit | holdsBit)()
	m := p.upstreams.byID[engine.Id]
	if m != nil && m.state.Generation == engine.Generation {
		m.listed = false
	}
}

// attemptID identifies one attempt of a request.
type attemptID struct {
	request string
	attempt uint32
}

func fromMillis64(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Holds returns the holds of the pool, sorted by id.
func (p *Pool) Holds() []*pb.Hold {
	defer p.lock(holdsBit)()
	out := make([]*pb.Hold, 0, len(p.holds.byID))
	for _, h := range p.holds.byID {
		out = append(out, &pb.Hold{
			HoldId: h.id, RequestId: h.requestID, Attempt: h.attempt, PrefillId: h.prefill.view.ID, DecodeId: h.decode.view.ID,
			Pieces: uint32(h.pieces), RequestClass: protoClass(h.class), Stage: h.stage, PromptTokens: uint32(h.promptTokens),
			MaxOutputTokens: uint32(h.outputTokens), Model: h.model,
		})
	}
	slices.SortFunc(out, func(a, b *pb.Hold) int { return strings.Compare(a.HoldId, b.HoldId) })
	return out
}
