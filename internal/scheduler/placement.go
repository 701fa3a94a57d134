package scheduler

import (
	"fmt"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// urgentPriority and the draft priorities order work at the engines; lower
	// values run first. A draft's priority value decreases with its age but
	// stays above that of every urgent request.
	urgentPriority    = 0
	draftPriority     = 100
	agedDraftPriority = 50
	// transferTimeoutFactor times the forecast duration of a transfer is its
	// timeout, within minTransferTimeout and maxTransferTimeout.
	transferTimeoutFactor = 4
	// startTimeoutFactor times the forecast TTFT is added to the time that an
	// entry has to report a first stage, because some entries report nothing
	// before the end of the prefill.
	startTimeoutFactor = 2
	minTransferTimeout = 250 * time.Millisecond
	maxTransferTimeout = 10 * time.Second
	// maxSkipped bounds the requests that one run skips because they fit
	// nowhere for a reason of their own, such as excluded engines.
	maxSkipped = 64
	// maxSkippedStreams is the same for streams to resume, of which each may fit nowhere
	// for a reason of its own. Later lanes go on after that.
	maxSkippedStreams = 16
	// maxSkippedGroups bounds the lanes of organisations that one run tries in vain for a
	// model. With 950
	// organisations, a run that tried 64 took 0.7 ms, and there is one for each release.
	maxSkippedGroups = 16
)

// class returns the request class of a lane's requests.
func (l lane) class() policy.Class {
	if l == urgentLane {
		return policy.Urgent
	}
	return policy.Draft
}

// runPlacement is the placement controller. It grants the queued requests that
// fit now, by priority. Within a priority, organisations are served fairly, and the
// requests of one organisation by their lanes: urgent requests first, then drafts that
// can meet their TTFT target, then the other drafts.
func (p *Pool) runPlacement(now time.Duration) []Action {
	defer p.lock(placementBits)()
	if p.inRestateWindow(now) {
		return nil
	}
	p.upstreams.refreshAll(&p.params, now, false)
	p.activateRestored(now)
	p.placementTime = now
	if len(p.upstreams.limited) > 0 {
		// An engine that states a limit may get another request after some time,
		// without any event.
		p.upstreams.forgetReplaced()
		p.unblockQueue()
	}
	var out []Action
	out = p.placeEarmarked(out, now)
	held := map[string]bool{}
	for i := range p.queue.bands {
		if p.queue.bands[i].length == 0 {
			continue
		}
		var complete bool
		if out, complete = p.placeBand(&p.queue.bands[i], held, out, now); !complete {
			// The band has requests that were not tried. They go ahead of the
			// later bands.
			break
		}
	}
	return out
}

// choosePlacement places a request on a prefill and a decode engine, or on a
// decode engine that prefills the prompt itself where that is allowed and
// better.
func (p *Pool) choosePlacement(q *policy.Query, w *queuedRequest) (policy.Placement, bool) {
	remote, ok := p.placePair(q, w)
	if !p.params.LocalPrefill {
		return remote, ok
	}
	if ok {
		if unpaired, found := p.placeUnpaired(q, w); found && unpaired.Cost < remote.Cost {
			return unpaired, true
		}
	}
	if ok && remote.WaitSeconds == 0 {
		return remote, ok
	}
	local, found := policy.PlaceLocalPrefill(q)
	if found && (!ok || policy.PreferLocalPrefill(&remote, &local)) {
		return local, true
	}
	return remote, ok
}

// verdict tells the queue which other requests cannot fit either when the
// request of q does not.
func (p *Pool) verdict(q *policy.Query, skipped int) policy.Verdict {
	if skipped >= maxSkipped {
		return policy.Stop
	}
	if len(q.Exclude) > 0 || p.params.OnDemandMemory {
		return policy.SkipFlow
	}
	for _, e := range q.Decode {
		if policy.Fits(q, e) {
			// Decode has capacity, so prefill or a link is the limit, which
			// depends on the request's own prompt.
			return policy.SkipFlow
		}
	}
	return policy.SkipBucket
}

// urgentReserve returns the fraction of each capacity that drafts leave free.
// Nothing is reserved while no urgent requests arrive.
func (p *Pool) urgentReserve() float64 {
	if !p.queue.recentUrgent {
		return 0
	}
	return p.params.UrgentReserve
}

// query returns the policy's view of a request and its candidate engines.
func (p *Pool) query(w *queuedRequest, now time.Duration) policy.Query {
	c := p.upstreams.candidatesFor(w.req.Model)
	q := policy.Query{
		Request: &w.spec, Prefill: c.prefill, Decode: c.decode, Exclude: p.excluded(w, c, now), Reserve: p.urgentReserve(),
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

// cachedTokens returns the number of prompt tokens that an engine has probably
// cached. An index that missed events counts only in part.
func cachedTokens(list []cachedPrefix, e *policy.Engine, pieceTokens int) int {
	for i := range list {
		if &list[i].m.view != e {
			continue
		}
		tokens := list[i].pieces * pieceTokens
		if list[i].m.prefix.unreliable {
			return int(unreliablePart * float64(tokens))
		}
		return tokens
	}
	return 0
}

// grant turns a queued request into a hold whose prefill starts after delay.
func (p *Pool) grant(w *queuedRequest, pl *policy.Placement, delay time.Duration, now time.Duration) []Action {
	return p.grantHold(w, pl, delay, false, now)
}

// grantHold is grant with the choice whether the memory is promised: not free
// yet, but forecast to become free.
func (p *Pool) grantHold(w *queuedRequest, pl *policy.Placement, delay time.Duration, promised bool, now time.Duration) []Action {
	dec := p.upstreams.byID[pl.Decode.ID]
	local := pl.Prefill == nil
	pre := dec
	if !local {
		pre = p.upstreams.byID[pl.Prefill.ID]
	}
	req := w.req
	h := &hold{
		id: p.newHoldID(), requestID: req.RequestId, model: req.Model, entry: p.getOrCreateEntry(req.EntryId),
		prefill: pre, decode: dec, prefixHashes: slices.Clone(req.PrefixHashes), grantedAt: now, idleTTFT: w.idleTTFT, heldRetries: w.heldRetries,
		expiresAt: w.deadline + p.params.DeadlineMargin, startDeadline: now + delay + p.params.HoldGrace + startTimeoutFactor*pl.TTFT(), attempt: req.Attempt,
		pieces: int32(w.spec.Pieces), promptPieces: int32(w.spec.PromptPieces),
		promptTokens: int32(req.PromptTokens), outputTokens: int32(req.MaxOutputTokens),
		prefillTokens: int32(w.spec.PromptTokens - pl.CachedTokens), class: w.spec.Class,
		promised: promised, prefillReserved: !local, linkReserved: !local, localPrefill: local,
		linkBytes: policy.KVBytes(&pre.view, &dec.view, w.spec.PromptTokens),
	}
	if w.spec.GeneratedTokens >= policy.MinLocalPrefillTokens {
		h.regeneratedTokens = int32(w.spec.GeneratedTokens)
	}
	w.heldRetries = 0
	p.afterDequeue(w)
	w.group.band.shares.Serve(&w.group.share, w.cost(), w.group.band.length == 0)
	p.addHold(h, now)
	dec.countSend(now)
	if !local {
		pre.countSend(now)
		lost, rejected := pre.lostHandles.Granted(now), pre.rejections.Granted(now)
		if lost || rejected {
			p.upstreams.refresh(pre, &p.params, now)
		}
	}
	p.holds.workload.addForecast(h)
	transferTimeout := min(max(policy.Seconds(transferTimeoutFactor*pl.TransferSeconds), minTransferTimeout), maxTransferTimeout)
	g := &pb.Grant{
		HoldId:          h.id,
		Decode:          addressOf(dec),
		Pieces:          uint32(h.pieces),
		Priority:        p.priority(w, now),
		PrefillDelayMs:  toMillis(delay),
		TransferLimitMs: toMillis(transferTimeout),
	}
	if !local {
		g.Prefill = addressOf(pre)
	}
	return []Action{
		SubmitResult{Ticket: w.ticket, Response: &pb.SubmitResponse{Result: &pb.SubmitResponse_Grant{Grant: g}}},
		TimelineEvent{Kind: "request.placed", RequestID: req.RequestId, Attempt: req.Attempt, Upstream: dec.view.ID, Detail: h.placedDetail(now-w.queuedAt, w.lane, pl)},
	}
}

// placedDetail describes a placement for the log: the prefill engine, the time
// in the queue, the prompt tokens to prefill, the forecast wait for the
// prefill, the decode engine's batch with this request, and its lane.
func (h *hold) placedDetail(queued time.Duration, l lane, pl *policy.Placement) string {
	prefill := "none"
	if !h.localPrefill {
		prefill = h.prefill.view.ID
	}
	dec := &h.decode.view
	return fmt.Sprintf("prefill=%s queued_ms=%d prompt=%d wait_ms=%d batch=%d/%d lane=%s", prefill, queued.Milliseconds(), h.prefillTokens,
		policy.Seconds(pl.WaitSeconds).Milliseconds(), dec.Batch+dec.PromisedBatch+dec.ForeignBatch, dec.MaxBatch, l)
}

func addressOf(m *upstreamRecord) *pb.UpstreamAddress {
	return &pb.UpstreamAddress{Id: m.state.Id, Url: m.state.Url, Generation: m.state.Generation}
}

// priority returns the request's priority at the engines.
func (p *Pool) priority(w *queuedRequest, now time.Duration) int32 {
	if w.spec.Class == policy.Urgent {
		return urgentPriority
	}
	age := min(1, float64(now-w.queuedAt)/float64(p.params.DraftEarmarkDelay))
	return draftPriority - int32(age*(draftPriority-agedDraftPriority))
}

// placeEarmarked grants the earmarked draft when it fits its engine.
func (p *Pool) placeEarmarked(out []Action, now time.Duration) []Action {
	w, m := p.queue.earmarkedDraft, p.queue.earmarkedEngine
	if w == nil {
		return out
	}
	if !m.view.Usable || p.upstreams.byID[m.view.ID] != m {
		p.clearEarmark()
		return out
	}
	earmarkedPieces := m.view.EarmarkedPieces
	m.view.EarmarkedPieces = 0
	q := p.query(w, now)
	q.Decode = []*policy.Engine{&m.view}
	q.Reserve = 0
	pl, ok := p.choosePlacement(&q, w)
	if !ok {
		m.view.EarmarkedPieces = earmarkedPieces
		return out
	}
	w.group.lanes[w.lane].Remove(w.flow(), func(o *queuedRequest) bool { return o == w })
	return append(out, p.grant(w, &pl, 0, now)...)
}

// earmarkOldestDraft is the aging controller. It keeps memory free on one
// engine for a draft that has been queued for DraftEarmarkDelay, so that
// neither urgent requests nor smaller drafts starve it. It does so for one
// draft at a time: urgent requests lose at most one request's memory in the
// pool.
func (p *Pool) earmarkOldestDraft(now time.Duration) []Action {
	defer p.lock(placementBits)()
	q := &p.queue
	if q.earmarkedDraft != nil || p.inRestateWindow(now) {
		return nil
	}
	var oldest *queuedRequest
	for _, l := range []lane{resumedLane, returnedLane, draftLane, overdueLane} {
		q.eachInLane(l, func(w *queuedRequest) {
			if oldest == nil || w.queuedAt < oldest.queuedAt || (w.queuedAt == oldest.queuedAt && w.ticket < oldest.ticket) {
				oldest = w
			}
		})
	}
	if oldest == nil || now-oldest.queuedAt < p.params.DraftEarmarkDelay {
		return nil
	}
	m := p.roomiestEngine(oldest, nil)
	if m == nil {
		return nil
	}
	q.earmarkedDraft = oldest
	q.earmarkedEngine = m
	m.view.EarmarkedPieces = oldest.spec.Pieces
	return nil
}
