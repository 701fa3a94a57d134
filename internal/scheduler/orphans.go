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
	// listEvery is the time between lists of an engine that reports memory in
	// use which no hold accounts for.
	listEvery = 2 * time.Second
	// restateGrace is how old a hold must be before an entry's restatement that
	// omits it ends it: a grant may cross the restatement on the way.
	restateGrace = 2 * time.Second
)

// Restate takes over the holds that an entry still has. The list is complete:
// an older hold of the entry that is not in it has ended there.
func (p *Pool) Restate(r *pb.RestateRequest, now time.Duration) []Action {
	defer p.lock(placementTables)()
	e := p.entry(r.EntryId)
	e.gone = false
	stated := map[string]bool{}
	for _, h := range r.Holds {
		stated[h.HoldId] = true
		// A hold that this holder granted and does not know has been cancelled;
		// its memory may have been granted again.
		if p.holds.byID[h.HoldId] == nil && !strings.HasPrefix(h.HoldId, p.holdPrefix()) {
			p.restore(e, h, now)
		}
	}
	var lost []*hold
	for _, h := range e.holds {
		if !stated[h.id] && now-h.granted >= restateGrace {
			lost = append(lost, h)
		}
	}
	slices.SortFunc(lost, func(a, b *hold) int { return strings.Compare(a.id, b.id) })
	var out []Action
	for _, h := range lost {
		out = append(out, p.endHold(h, "not restated", now)...)
	}
	p.forgetEntry(e)
	return out
}

// restore adds a hold that another scheduler granted.
func (p *Pool) restore(e *entryRecord, s *pb.Hold, now time.Duration) {
	pre, dec := p.placeholder(s.PrefillId, now), p.placeholder(s.DecodeId, now)
	h := &hold{
		id: s.HoldId, requestID: s.RequestId, model: s.Model, entry: e, prefill: pre, decode: dec,
		granted: now, expires: now + defaultDeadline + p.params.DeadlineMargin, attempt: s.Attempt,
		pieces: int32(s.Pieces), promptTokens: int32(s.PromptTokens), maxOutput: int32(s.MaxOutputTokens),
		uncached: int32(s.PromptTokens), startBy: now + p.params.HoldGrace, stage: s.Stage, class: classOf(s.RequestClass),
	}
	h.prefilling = s.Stage < pb.ProgressRequest_PREFILL_DONE
	if s.Stage < pb.ProgressRequest_TRANSFER_DONE {
		h.linked = true
		h.promptPieces = int32(piecesFor(int(s.PromptTokens), defaultPieceTokens))
		h.linkBytes = policy.KVBytes(&pre.view, &dec.view, int(s.PromptTokens))
	}
	if s.Stage >= pb.ProgressRequest_FIRST_TOKEN {
		h.firstAt = now
	}
	if h.linked {
		// Its memory may have been promised. It counts as promised until the
		// work that occupies the engine has been restated as well.
		h.promised = true
		p.addHold(h, now)
		p.activatePromises(dec, now)
		return
	}
	// The report that showed this work as unknown is corrected, so that its
	// memory is not counted twice until the next report.
	dec.held.raise(now, int(h.pieces), 1)
	p.addHold(h, now)
	dec.view.ForeignPieces = max(0, dec.view.ForeignPieces-int(h.pieces))
	dec.view.ForeignBatch = max(0, dec.view.ForeignBatch-1)
}

// placeholder returns the member with an id. For one that has not announced itself
// since the takeover it adds a record that receives no work.
func (p *Pool) placeholder(id string, now time.Duration) *member {
	if m := p.upstreams.byID[id]; m != nil {
		return m
	}
	s := &pb.UpstreamState{Id: id}
	m := newMember(s)
	m.placeholder = true
	m.state = s
	m.seen = now - p.params.SilentAfter
	m.view.ID = id
	m.publishSpeed()
	p.upstreams.byID[id] = m
	p.upstreams.refresh(m, &p.params, now)
	return m
}

// listsOnArrival reports whether the running requests of an engine that
// announced itself must be listed: the holder before may have left work there.
func (p *Pool) listsOnArrival(m *member, now time.Duration) bool {
	if !m.isEngine() || m.listed {
		return false
	}
	return now < p.activeAt+p.params.HoldGrace
}

// findOrphans is the orphans controller. It asks for the running requests of
// each engine once the grace after a takeover is over, and of engines that go
// on to report memory that no hold accounts for.
func (p *Pool) findOrphans(now time.Duration) []Action {
	defer p.lock(upstreamsTable | holdsTable)()
	if now < p.activeAt+p.params.HoldGrace {
		return nil
	}
	var due []*member
	for _, m := range p.upstreams.byID {
		if !m.isEngine() || now-m.seen >= p.params.SilentAfter {
			continue
		}
		foreign := m.view.ForeignPieces > 0 || m.view.ForeignBatch > 0
		if !m.listed || (foreign && now-m.listedAt >= listEvery) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int { return strings.Compare(a.view.ID, b.view.ID) })
	var out []Action
	for _, m := range due {
		m.listed = true
		m.listedAt = now
		out = append(out, ListRunning{Engine: m.state})
	}
	return out
}

// Listed takes over an engine's list of running requests, asked for at a time.
// Work that no hold accounts for is cancelled once the grace is over.
func (p *Pool) Listed(engine *pb.UpstreamState, running []upstream.Running, asked, now time.Duration) []Action {
	defer p.lock(upstreamsTable | holdsTable)()
	m := p.upstreams.byID[engine.Id]
	if m == nil || m.state.Generation != engine.Generation {
		return nil
	}
	known := map[workID]bool{}
	for _, h := range p.holds.byID {
		if h.prefill == m || h.decode == m {
			known[workID{h.requestID, h.attempt}] = true
		}
	}
	var out []Action
	pieces, batch := 0, 0
	for _, r := range running {
		if known[workID{r.RequestID, r.Attempt}] {
			continue
		}
		pieces += r.Pieces
		batch++
		// Younger work may belong to a hold released while the list was made.
		if now >= p.activeAt+p.params.HoldGrace && fromAge(r.AgeMillis) >= p.params.HoldGrace/2 {
			work := upstream.CancelRequest{RequestID: r.RequestID, Attempt: r.Attempt}
			out = append(out, CancelOrphan{Engine: m.state, Work: work},
				Note{Kind: "orphan.cancelled", RequestID: r.RequestID, Attempt: r.Attempt, Upstream: m.view.ID, Detail: r.Stage})
		}
	}
	if asked < p.activeAt+p.params.HoldGrace && m.state.Role == pb.EngineRole_ENGINE_ROLE_DECODE {
		m.view.ForeignPieces = max(m.view.ForeignPieces, pieces)
		m.view.ForeignBatch = max(m.view.ForeignBatch, batch)
	}
	return out
}

// ListFailed records that an engine's list could not be read; it is asked for
// again.
func (p *Pool) ListFailed(engine *pb.UpstreamState) {
	defer p.lock(upstreamsTable | holdsTable)()
	m := p.upstreams.byID[engine.Id]
	if m != nil && m.state.Generation == engine.Generation {
		m.listed = false
	}
}

// workID identifies one attempt of a request.
type workID struct {
	request string
	attempt uint32
}

func fromAge(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Holds returns the holds of the pool, sorted by id.
func (p *Pool) Holds() []*pb.Hold {
	defer p.lock(holdsTable)()
	out := make([]*pb.Hold, 0, len(p.holds.byID))
	for _, h := range p.holds.byID {
		out = append(out, &pb.Hold{
			HoldId: h.id, RequestId: h.requestID, Attempt: h.attempt, PrefillId: h.prefill.view.ID, DecodeId: h.decode.view.ID,
			Pieces: uint32(h.pieces), RequestClass: protoClass(h.class), Stage: h.stage, PromptTokens: uint32(h.promptTokens),
			MaxOutputTokens: uint32(h.maxOutput), Model: h.model,
		})
	}
	slices.SortFunc(out, func(a, b *pb.Hold) int { return strings.Compare(a.HoldId, b.HoldId) })
	return out
}
