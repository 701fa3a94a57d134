package scheduler

import (
	"fmt"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	defaultDeadline = 120 * time.Second
	defaultTTFT     = 760 * time.Millisecond
	defaultTPOT     = 25 * time.Millisecond
	// announceWindow is the time after activation in which an unknown upstream
	// may just not have announced itself yet: two announcement intervals.
	announceWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// waitForecastFactor scales the forecast wait that is compared with the
	// allowed wait, so that an error of the forecast does not refuse a request
	// that would have run in time.
	waitForecastFactor = 0.8
)

// Submit queues or refuses one request. ticket identifies it in SubmitResult and
// Withdraw and must be unique. The caller runs the placement controller
// afterwards. The pool keeps req.
func (p *Pool) Submit(ticket uint64, req *pb.SubmitRequest, now time.Duration) []Action {
	return p.submit(ticket, req, false, now)
}

// SubmitUnchecked is Submit for an entry that may not compare the weights of the engines that
// it is granted.
func (p *Pool) SubmitUnchecked(ticket uint64, req *pb.SubmitRequest, now time.Duration) []Action {
	return p.submit(ticket, req, true, now)
}

func (p *Pool) submit(ticket uint64, req *pb.SubmitRequest, unchecked bool, now time.Duration) []Action {
	defer p.lock(placementBits)()
	w, refusal := p.admit(ticket, req, unchecked, now)
	if refusal == nil {
		refusal = p.chargeRetryBudget(w, now)
	}
	if refusal != nil {
		p.queue.refused.add(req, now)
		return []Action{refusalResult(ticket, refusal), refusalEvent(req, refusal)}
	}
	if w.lane == draftLane || w.lane == overdueLane {
		w.group.newDrafts.Add(now, float64(w.spec.Pieces))
	}
	p.enqueue(w)
	return nil
}

// chargeRetryBudget counts a first attempt, or sets the requests of a further one aside
// in the pool's retry budget and refuses it when the budget is spent. They are spent when
// they have reached the engines, which may be seconds later, and returned if the attempt
// is not granted. What a predecessor has spent is restored from what entries restate.
func (p *Pool) chargeRetryBudget(w *queuedRequest, now time.Duration) *pb.Refusal {
	if p.retryBudget.Window == 0 {
		return nil
	}
	if w.req.Attempt <= 1 {
		p.retryBudget.RecordRequest(now)
		return nil
	}
	n := max(1, int(w.req.RetrySends))
	if p.retryBudget.HoldN(now, n) {
		w.heldRetries = n
		return nil
	}
	return newRefusal(pb.Refusal_REPEAT_BUDGET, p.retryBudget.Window/retryAfterDivisor, "the pool's repeat budget is spent")
}

// returnRetries returns what a queued attempt has set aside that is not granted.
func (p *Pool) returnRetries(w *queuedRequest) {
	for ; w.heldRetries > 0; w.heldRetries-- {
		p.retryBudget.Release()
	}
}

// spendRetries spends what a hold's attempt has set aside.
func (p *Pool) spendRetries(h *hold, now time.Duration) {
	for ; h.heldRetries > 0; h.heldRetries-- {
		p.retryBudget.Spend(now)
	}
}

// restoreRetryBudget counts what an entry's submissions to earlier schedulers have used
// of the retry budget, once for each entry.
func (p *Pool) restoreRetryBudget(r *pb.RestateRequest, now time.Duration) {
	if p.budgetRestored[r.EntryId] {
		return
	}
	p.budgetRestored[r.EntryId] = true
	for _, u := range r.RetryBudgetUse {
		p.retryBudget.Restore(time.Duration(u.AgeMs)*time.Millisecond, int(u.Requests), int(u.Retries), now)
	}
}

// retryAfterDivisor sets the retry-after time of a retry that exceeds the
// budget: the budget's window divided by it.
const retryAfterDivisor = 10

func refusalResult(ticket uint64, r *pb.Refusal) SubmitResult {
	return SubmitResult{Ticket: ticket, Response: &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: r}}}
}

func refusalEvent(req *pb.SubmitRequest, r *pb.Refusal) TimelineEvent {
	return TimelineEvent{Kind: "request.refused", RequestID: req.RequestId, Attempt: req.Attempt, Detail: r.Code.String()}
}

func newRefusal(code pb.Refusal_Code, retryAfter time.Duration, format string, args ...any) *pb.Refusal {
	if retryAfter > 0 {
		retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	}
	return &pb.Refusal{Code: code, Message: fmt.Sprintf(format, args...), RetryAfterMs: toMillis(retryAfter)}
}

// admit checks whether a request can be served within its time limits.
func (p *Pool) admit(ticket uint64, req *pb.SubmitRequest, unchecked bool, now time.Duration) (*queuedRequest, *pb.Refusal) {
	w := newQueuedRequest(ticket, req, p.queue.refused.take(req, now), now)
	w.unchecked = unchecked
	w.group = p.queue.group(groupKey{statedPriority(req.Priority), req.Organisation}, now)
	p.upstreams.refreshAll(&p.params, now, false)
	c := p.upstreams.byModel[req.Model]
	announcing := now < p.activeAt+announceWindow
	localPrefill := p.params.LocalPrefill
	if c == nil || len(c.decode) == 0 || (len(c.prefill) == 0 && !localPrefill) || (!c.hasUsable(localPrefill) && !announcing) {
		return p.admitWithoutUpstream(w, c, announcing, now)
	}
	if w.lacksWeights(c) {
		return nil, newRefusal(pb.Refusal_OVERLOADED, 0, "the weights of the stream are not known, and the engines of model %q have %d known ones", req.Model, len(c.weights))
	}
	w.computePieces(c.pieceTokens)
	if p.params.OnDemandMemory {
		w.spec.Pieces = w.spec.PromptPieces
	}
	if w.spec.Pieces > c.maxPieces {
		return nil, newRefusal(pb.Refusal_TOO_LARGE, 0, "request needs %d pieces, the largest engine has %d", w.spec.Pieces, c.maxPieces)
	}
	if len(p.queue.byTicket) >= p.params.MaxQueued {
		return nil, newRefusal(pb.Refusal_OVERLOADED, p.forecastWait(w, now), "%d requests are queued", len(p.queue.byTicket))
	}
	return w, p.limitWait(w, c, now)
}

// admitWithoutUpstream handles a request for a model that no usable upstream
// serves.
func (p *Pool) admitWithoutUpstream(w *queuedRequest, c *candidates, announcing bool, now time.Duration) (*queuedRequest, *pb.Refusal) {
	if !announcing {
		return nil, newRefusal(pb.Refusal_NO_UPSTREAM, maxRetryAfter, "no usable upstream serves model %q in pool %s", w.req.Model, p.name)
	}
	w.computePieces(defaultPieceTokens)
	// A request without a maximum wait may still wait within its TTFT target.
	allowed := max(fromMillis(w.req.MaxWaitMs), w.spec.TTFTTarget-fromMillis(w.req.AgeMs))
	w.queueDeadline = min(now+allowed, w.deadline)
	if w.queueDeadline <= now {
		return nil, newRefusal(pb.Refusal_NO_UPSTREAM, p.activeAt+announceWindow-now, "upstreams of pool %s have not announced themselves yet", p.name)
	}
	w.timeoutCode = pb.Refusal_NO_UPSTREAM
	return w, nil
}

func newQueuedRequest(ticket uint64, req *pb.SubmitRequest, returned bool, now time.Duration) *queuedRequest {
	w := &queuedRequest{ticket: ticket, req: req, returned: returned, queuedAt: now, timeoutCode: pb.Refusal_OVERLOADED}
	deadline := fromMillis(req.DeadlineMs)
	if deadline == 0 {
		deadline = defaultDeadline
	}
	w.deadline = now + deadline
	w.spec = policy.Request{
		Class:           classOf(req.RequestClass),
		PromptTokens:    int(req.PromptTokens),
		MaxOutput:       int(req.MaxOutputTokens),
		GeneratedTokens: int(min(req.MadeTokens, req.PromptTokens)),
		TTFTTarget:      fromMillis(req.TtftTargetMs),
		TPOTTarget:      fromMillis(req.TpotTargetMs),
		Weights:         policy.Weights{Goodput: req.Weights.GetGoodput(), WastedPrefill: req.Weights.GetWastedPrefill()},
	}
	w.lane = firstLane(w.spec.Class, w.returned, w.spec.GeneratedTokens > 0, req.HeldMs > 0)
	if w.spec.TTFTTarget == 0 {
		w.spec.TTFTTarget = defaultTTFT
	}
	if w.spec.TPOTTarget == 0 {
		w.spec.TPOTTarget = defaultTPOT
	}
	return w
}

// computePieces sets the memory that the request needs, in pieces.
func (w *queuedRequest) computePieces(pieceTokens int) {
	w.spec.Pieces = max(1, piecesFor(w.spec.PromptTokens+w.spec.MaxOutput, pieceTokens))
	w.spec.PromptPieces = max(1, piecesFor(w.spec.PromptTokens, pieceTokens))
}

// limitWait sets the request's queue deadline. A request without a maximum wait
// may wait as long as its TTFT target can still be met, and is refused when it
// cannot be met even without a wait. Any request is refused when the forecast
// wait exceeds the allowed one.
func (p *Pool) limitWait(w *queuedRequest, c *candidates, now time.Duration) *pb.Refusal {
	idleTTFT := c.idleTTFT(&w.spec, now)
	allowed := fromMillis(w.req.MaxWaitMs)
	if allowed == 0 {
		allowed = w.spec.TTFTTarget - fromMillis(w.req.AgeMs) - idleTTFT
		w.timeoutCode = pb.Refusal_TOO_LATE
		if allowed < 0 {
			return newRefusal(pb.Refusal_TOO_LATE, 0, "first token takes %v on an idle engine, target is %v after %v", idleTTFT, w.spec.TTFTTarget, fromMillis(w.req.AgeMs))
		}
	}
	if now+allowed > w.deadline-idleTTFT {
		allowed = max(0, w.deadline-idleTTFT-now)
		w.timeoutCode = pb.Refusal_TOO_LATE
	}
	w.queueDeadline = now + allowed
	w.idleTTFT = idleTTFT
	w.firstTokenDeadline = now + w.spec.TTFTTarget - fromMillis(w.req.AgeMs)
	if p.overdue(w, now) {
		w.lane = overdueLane
	}
	wait := p.forecastWait(w, now)
	if scaleWait(wait) <= allowed {
		return nil
	}
	return newRefusal(pb.Refusal_OVERLOADED, wait-allowed, "forecast wait %v is over the allowed %v", wait.Round(time.Millisecond), allowed.Round(time.Millisecond))
}

// overdue reports whether a draft can no longer meet its TTFT target, judged by
// its TTFT on idle engines and by how much longer recent drafts took. A retry
// is never overdue: its caller may have received part of the answer and waits
// for the rest. Neither is a returned draft, which has a lane of its own.
func (p *Pool) overdue(w *queuedRequest, now time.Duration) bool {
	if w.spec.Class != policy.Draft || w.req.Attempt > 1 || w.returned || w.lane == resumedLane || w.firstTokenDeadline == 0 {
		return false
	}
	return now+w.idleTTFT+p.holds.ttftExcess.Bound() >= w.firstTokenDeadline
}

// bestRatesTTL is how long the best rates of a model's engines are cached. They
// change with learned speeds and with health.
const bestRatesTTL = 100 * time.Millisecond

// idleTTFT returns the time to first token on the fastest engines when they are
// idle and have no prefix of the prompt cached. It is 0 when no prefill engine is
// usable.
func (c *candidates) idleTTFT(r *policy.Request, now time.Duration) time.Duration {
	if c.bestUpdatedAt == 0 || now-c.bestUpdatedAt >= bestRatesTTL {
		c.updateBest()
		c.bestUpdatedAt = now
	}
	best := &c.best
	if best.prefillRate == 0 {
		return 0
	}
	seconds := float64(r.PromptTokens)/best.prefillRate + best.tokenSeconds
	if best.linkRate > 0 {
		seconds += best.kvBytesPerToken * float64(r.PromptTokens) / best.linkRate
	}
	return policy.Seconds(seconds)
}

func (c *candidates) updateBest() {
	c.best = bestRates{}
	for _, e := range c.prefill {
		if e.Usable {
			c.best.prefillRate = max(c.best.prefillRate, e.PrefillRate)
			c.best.linkRate = max(c.best.linkRate, e.LinkRate)
		}
	}
	for _, e := range c.decode {
		if t := e.TokenSeconds(1); e.Usable && (c.best.tokenSeconds == 0 || t < c.best.tokenSeconds) {
			c.best.tokenSeconds = t
			c.best.kvBytesPerToken = e.KVBytesPerToken
		}
	}
}

// forecastWait forecasts the time until a new request is granted, from the
// memory that the requests ahead of it need and the rate at which memory becomes
// free.
// Because queueing is fair, a request of an organisation with few queued
// requests does not wait for all those of the others.
func (p *Pool) forecastWait(w *queuedRequest, now time.Duration) time.Duration {
	var wait time.Duration
	if p.inRestateWindow(now) {
		wait = p.activeAt + p.params.RestateWindow - now
	}
	q := &p.queue
	g := w.group
	ahead := g.piecesBefore(w.lane)
	if w.lane != urgentLane {
		laneQueue := g.lanes[w.lane]
		fairAhead := (laneQueue.FlowLen(w.flow()) + 1) * w.spec.Pieces * max(1, laneQueue.Flows())
		ahead += min(g.pieces[w.lane], fairAhead)
	}
	ahead += q.piecesOfOthers(g, ahead+w.spec.Pieces)
	// Memory that is free now need not be waited for. Soon after a start none
	// has been released yet, and the release rate alone would forecast a long
	// wait although engines are idle.
	forecast := p.queueForecast(now, w.req.Model, g)
	if c := p.upstreams.byModel[w.req.Model]; c != nil {
		usable := func(*policy.Engine) bool { return true }
		if began := w.version(); began != (version{}) {
			usable = func(e *policy.Engine) bool { return began.fits(p.upstreams.versionOf(e, w.req.Model)) }
		}
		ahead = max(0, ahead-c.freePieces(usable))
		if all := c.usablePieces(nil); all > 0 {
			forecast.ReleaseRate *= float64(c.usablePieces(usable)) / float64(all)
		}
	}
	return wait + forecast.Wait(ahead, w.lane.yields())
}

func (p *Pool) enqueue(w *queuedRequest) {
	q := &p.queue
	if w.lane == urgentLane {
		q.recentUrgent = true
		q.lastUrgentAt = w.queuedAt
	}
	q.byTicket[w.ticket] = w
	if q.models == nil {
		q.models = map[string]int{}
	}
	q.models[w.req.Model]++
	g := w.group
	if g.length == 0 {
		g.band.shares.Join(&g.share)
	}
	g.length++
	q.laneLengths[w.lane]++
	g.totalPieces += w.spec.Pieces
	g.band.length++
	g.pieces[w.lane] += w.spec.Pieces
	head := g.lanes[w.lane].Push(w.flow(), w.cost(), policy.Bucket{Group: w.req.Model, Size: w.spec.Pieces}, w)
	if head {
		g.blocked[w.lane] = false
	}
}

// cost returns the tokens that the request counts in its organisation's share.
func (w *queuedRequest) cost() float64 { return float64(w.spec.PromptTokens + w.spec.MaxOutput) }

// flow returns the flow in which the request is queued. The head of a flow holds up the
// rest. A stream to resume needs the more memory the more of it the caller has, and may
// run only on engines of its version, so that each has a flow of its own.
func (w *queuedRequest) flow() string {
	if w.lane == resumedLane {
		return w.req.Organisation + "\x00" + fmt.Sprintf("%016x", w.ticket)
	}
	return w.req.Organisation
}

// dequeue removes a request that is not granted.
func (p *Pool) dequeue(w *queuedRequest) {
	w.group.lanes[w.lane].Remove(w.flow(), func(o *queuedRequest) bool { return o == w })
	p.afterDequeue(w)
}

// afterDequeue updates the counts and the earmark after a request has left the
// queue.
func (p *Pool) afterDequeue(w *queuedRequest) {
	q := &p.queue
	delete(q.byTicket, w.ticket)
	if q.models[w.req.Model]--; q.models[w.req.Model] == 0 {
		delete(q.models, w.req.Model)
	}
	w.group.pieces[w.lane] -= w.spec.Pieces
	q.dropClaim(w)
	q.laneLengths[w.lane]--
	w.group.totalPieces -= w.spec.Pieces
	w.group.length--
	w.group.band.length--
	if q.earmarkedDraft == w {
		p.clearEarmark()
	}
}

func (p *Pool) clearEarmark() {
	q := &p.queue
	if q.earmarkedEngine != nil {
		q.earmarkedEngine.view.EarmarkedPieces = 0
	}
	q.earmarkedDraft = nil
	q.earmarkedEngine = nil
	p.unblockQueue()
}

// Busy reports whether requests are queued or holds exist.
func (p *Pool) Busy() bool {
	defer p.lock(holdsBit | queueBit)()
	return len(p.queue.byTicket) > 0 || len(p.holds.byID) > 0
}

// Withdraw removes a queued request whose submitter disconnected. It reports
// whether the request was still queued; otherwise its result has been produced
// already.
func (p *Pool) Withdraw(ticket uint64) bool {
	defer p.lock(upstreamsBit | queueBit)()
	w := p.queue.byTicket[ticket]
	if w == nil {
		return false
	}
	p.dequeue(w)
	p.returnRetries(w)
	return true
}
