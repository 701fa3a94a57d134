package scheduler

import (
	"fmt"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// urgentPriority and the draft priorities order work at the engines: lower
	// runs first. A draft's priority improves with its age but stays behind
	// every urgent request.
	urgentPriority   = 0
	draftPriority    = 100
	oldDraftPriority = 50
	// transferSlack and minTransferLimit size the time limit of a transfer
	// from its forecast.
	transferSlack = 4
	// startSlack scales the forecast TTFT in the time by which the entry must
	// have reported a stage, for an entry that reports only the prefill's end.
	startSlack       = 2
	minTransferLimit = 250 * time.Millisecond
	maxTransferLimit = 10 * time.Second
	// maxAside bounds the heads that one run passes over because they fit
	// nowhere for a reason of their own, such as excluded engines.
	maxAside = 64
)

// class returns the request class of a lane's requests.
func (l lane) class() policy.Class {
	if l == urgentLane {
		return policy.Urgent
	}
	return policy.Draft
}

// place is the placement controller: it grants queued requests that fit now,
// urgent ones first, then drafts that can meet their target, then the others,
// each lane in fair order.
func (p *Pool) place(now time.Duration) []Action {
	defer p.lock(placementTables)()
	if p.restating(now) {
		return nil
	}
	p.upstreams.refreshAll(&p.params, now, false)
	p.settle(now)
	p.placingAt = now
	var out []Action
	out = p.placeEarmarked(out, now)
	for i, q := range p.queue.lanes {
		if q.Len() == 0 || p.queue.blocked[i] {
			continue
		}
		var complete bool
		out, complete = p.placeLane(lane(i), out, now)
		if !complete {
			// Requests that were not tried go ahead of the later lanes.
			break
		}
		p.queue.blocked[i] = true
	}
	return out
}

// settle gives restated holds their memory once the restate window is over.
func (p *Pool) settle(now time.Duration) {
	if p.holds.settled {
		return
	}
	p.holds.settled = true
	for m := range p.holds.byDecode {
		p.activatePromises(m, now)
	}
}

// placeLane grants what fits of one lane. It reports whether every request
// that could fit was tried.
func (p *Pool) placeLane(l lane, out []Action, now time.Duration) ([]Action, bool) {
	class := l.class()
	aside := 0
	rooms := map[string]int{}
	room := func(model string) int {
		if !p.policy.Reserves() {
			return unknownPieces
		}
		n, ok := rooms[model]
		if !ok {
			c := p.upstreams.group(model)
			n = c.room(class, p.reserve(), p.reservedPrefill(c), p.params.LocalPrefill)
			rooms[model] = n
		}
		return n
	}
	p.queue.lanes[l].Serve(room, func(w *waiting) policy.Verdict {
		q := p.query(w, now)
		pl, ok := p.choose(&q)
		if ok {
			out = append(out, p.grant(w, &pl, 0, now)...)
			clear(rooms)
			return policy.Taken
		}
		aside++
		return p.verdict(&q, aside)
	})
	return out, aside < maxAside
}

// choose places a request on a prefill and a decode engine, or on a decode
// engine that reads the prompt itself where that is allowed and better.
func (p *Pool) choose(q *policy.Query) (policy.Placement, bool) {
	apart, ok := p.policy.Place(q)
	if !p.params.LocalPrefill || ok && apart.Wait == 0 {
		return apart, ok
	}
	direct, found := policy.PlaceLocalPrefill(q)
	if found && (!ok || policy.PreferLocalPrefill(&apart, &direct)) {
		return direct, true
	}
	return apart, ok
}

// verdict says what else cannot fit, given that a request did not.
func (p *Pool) verdict(q *policy.Query, aside int) policy.Verdict {
	if aside >= maxAside {
		return policy.Stop
	}
	if len(q.Exclude) > 0 || p.params.OnDemandMemory {
		return policy.SkipFlow
	}
	for _, e := range q.Decode {
		if policy.Fits(q, e) {
			// Decode has room, so prefill or a link is the limit, which
			// depends on the request's own prompt.
			return policy.SkipFlow
		}
	}
	return policy.SkipBucket
}

// reserve returns the part of each capacity that drafts leave free. Nothing is
// reserved while no urgent requests come.
func (p *Pool) reserve() float64 {
	if !p.queue.urgentSeen {
		return 0
	}
	return p.params.UrgentReserve
}

// query describes a request to the policy.
func (p *Pool) query(w *waiting, now time.Duration) policy.Query {
	c := p.upstreams.group(w.req.Model)
	q := policy.Query{
		Request: &w.spec, Prefill: c.prefill, Decode: c.decode, Exclude: w.req.Exclude, Reserve: p.reserve(),
		ReservedPrefill: p.reservedPrefill(c), Now: now,
		Random: [2]float64{p.random.Float64(), p.random.Float64()},
	}
	w.cached = p.prefix.lookup(w.req.PrefixHashes, w.cached)
	if len(w.cached) > 0 {
		size := max(1, c.pieceTokens)
		q.Cached = func(e *policy.Engine) int { return cachedTokens(w.cached, e, size) }
	}
	return q
}

// cachedTokens returns the prompt tokens that an engine probably has cached.
// An index that lost events counts for a part.
func cachedTokens(list []cachedPrefix, e *policy.Engine, pieceTokens int) int {
	for i := range list {
		if &list[i].m.view != e {
			continue
		}
		tokens := list[i].pieces * pieceTokens
		if list[i].m.prefix.hint {
			return int(hintPart * float64(tokens))
		}
		return tokens
	}
	return 0
}

// grant turns a queued request into a hold. delay is set when the memory is
// forecast to become free.
func (p *Pool) grant(w *waiting, pl *policy.Placement, delay time.Duration, now time.Duration) []Action {
	return p.grantHold(w, pl, delay, false, now)
}

func (p *Pool) grantHold(w *waiting, pl *policy.Placement, delay time.Duration, promised bool, now time.Duration) []Action {
	dec := p.upstreams.byID[pl.Decode.ID]
	direct := pl.Prefill == nil
	pre := dec
	if !direct {
		pre = p.upstreams.byID[pl.Prefill.ID]
	}
	req := w.req
	h := &hold{
		id: p.newHoldID(), requestID: req.RequestId, model: req.Model, entry: p.entry(req.EntryId),
		prefill: pre, decode: dec, hashes: slices.Clone(req.PrefixHashes), granted: now, service: w.service,
		expires: w.expires + p.params.DeadlineMargin, startBy: now + delay + p.params.HoldGrace + startSlack*pl.TTFT(), attempt: req.Attempt,
		pieces: int32(w.spec.Pieces), promptPieces: int32(w.spec.PromptPieces),
		promptTokens: int32(req.PromptTokens), maxOutput: int32(req.MaxOutputTokens),
		uncached: int32(w.spec.PromptTokens - pl.CachedTokens), class: w.spec.Class,
		promised: promised, prefilling: !direct, linked: !direct, direct: direct,
		rereads:   w.spec.GeneratedTokens >= policy.MinLocalPrefillTokens,
		linkBytes: policy.KVBytes(&pre.view, &dec.view, w.spec.PromptTokens),
	}
	p.leftQueue(w)
	p.addHold(h, now)
	p.holds.mix.granted(h)
	limit := min(max(policy.Seconds(transferSlack*pl.Transfer), minTransferLimit), maxTransferLimit)
	g := &pb.Grant{
		HoldId:          h.id,
		Decode:          addressOf(dec),
		Pieces:          uint32(h.pieces),
		Priority:        p.priority(w, now),
		PrefillDelayMs:  millis(delay),
		TransferLimitMs: millis(limit),
	}
	if !direct {
		g.Prefill = addressOf(pre)
	}
	return []Action{
		Answer{Ticket: w.ticket, Response: &pb.SubmitResponse{Result: &pb.SubmitResponse_Grant{Grant: g}}},
		Note{Kind: "request.placed", RequestID: req.RequestId, Attempt: req.Attempt, Upstream: dec.view.ID, Detail: h.placedDetail(now-w.since, pl)},
	}
}

// placedDetail states what decided a placement: the prefill engine, the time in
// the queue, the prompt, the forecast wait there, and the decode engine's batch
// with this request.
func (h *hold) placedDetail(queued time.Duration, pl *policy.Placement) string {
	prefill := "none"
	if !h.direct {
		prefill = h.prefill.view.ID
	}
	dec := &h.decode.view
	return fmt.Sprintf("prefill=%s queued_ms=%d prompt=%d wait_ms=%d batch=%d/%d", prefill, queued.Milliseconds(), h.uncached,
		policy.Seconds(pl.Wait).Milliseconds(), dec.Batch+dec.PromisedBatch+dec.ForeignBatch, dec.MaxBatch)
}

func addressOf(m *member) *pb.UpstreamAddress {
	return &pb.UpstreamAddress{Id: m.state.Id, Url: m.state.Url, Generation: m.state.Generation}
}

// priority returns the request's priority at the engines.
func (p *Pool) priority(w *waiting, now time.Duration) int32 {
	if w.spec.Class == policy.Urgent {
		return urgentPriority
	}
	age := min(1, float64(now-w.since)/float64(p.params.DraftAge))
	return draftPriority - int32(age*(draftPriority-oldDraftPriority))
}

// placeEarmarked grants the earmarked draft when its engine has room for it.
func (p *Pool) placeEarmarked(out []Action, now time.Duration) []Action {
	w, m := p.queue.earmark, p.queue.earmarked
	if w == nil {
		return out
	}
	if !m.view.Usable || p.upstreams.byID[m.view.ID] != m {
		p.clearEarmark()
		return out
	}
	kept := m.view.EarmarkedPieces
	m.view.EarmarkedPieces = 0
	q := p.query(w, now)
	q.Decode = []*policy.Engine{&m.view}
	q.Reserve = 0
	pl, ok := p.policy.Place(&q)
	if !ok {
		m.view.EarmarkedPieces = kept
		return out
	}
	p.queue.lanes[w.lane].Remove(w.req.Organisation, func(o *waiting) bool { return o == w })
	return append(out, p.grant(w, &pl, 0, now)...)
}

// age is the aging controller. A draft that has waited for DraftAge gets
// memory kept free on one engine, so that neither urgent requests nor smaller
// drafts starve it. One draft at a time, so that urgent requests lose at most
// one request's memory in the pool.
func (p *Pool) age(now time.Duration) []Action {
	defer p.lock(placementTables)()
	q := &p.queue
	if q.earmark != nil || p.restating(now) {
		return nil
	}
	var oldest *waiting
	for _, l := range []lane{draftLane, overdueLane} {
		q.lanes[l].Each(func(w *waiting) bool {
			if oldest == nil || w.since < oldest.since || (w.since == oldest.since && w.ticket < oldest.ticket) {
				oldest = w
			}
			return true
		})
	}
	if oldest == nil || now-oldest.since < p.params.DraftAge {
		return nil
	}
	m := p.earmarkEngine(oldest)
	if m == nil {
		return nil
	}
	q.earmark = oldest
	q.earmarked = m
	m.view.EarmarkedPieces = oldest.spec.Pieces
	return nil
}

// earmarkEngine returns the engine that is closest to having room.
func (p *Pool) earmarkEngine(w *waiting) *member {
	var out *policy.Engine
	for _, e := range p.upstreams.group(w.req.Model).decode {
		fits := e.TotalPieces-e.ForeignPieces >= w.spec.Pieces && !slices.Contains(w.req.Exclude, e.ID)
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
