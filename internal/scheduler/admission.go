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
	// arrivalWindow is the time after activation in which a missing upstream
	// may only not have announced itself yet: two announcement intervals.
	arrivalWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice in a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// waitSafety scales the forecast wait before a request is refused for it,
	// so that an error of the forecast refuses nothing that would have run.
	waitSafety = 0.8
)

// Submit admits one request: it is queued, or refused at once. The caller runs
// the placement controller afterwards. The pool keeps req.
func (p *Pool) Submit(ticket uint64, req *pb.SubmitRequest, now time.Duration) []Action {
	defer p.lock(placementTables)()
	w, refusal := p.admit(ticket, req, now)
	if refusal == nil {
		refusal = p.charge(req, now)
	}
	if refusal != nil {
		return []Action{refuse(ticket, refusal), refusalNote(req, refusal)}
	}
	p.enqueue(w)
	return nil
}

// charge takes a repeated attempt from the pool's budget. A scheduler that has
// just taken over doesn't know what the one before it spent; the entries' own
// part of the budget leaves room for that.
func (p *Pool) charge(req *pb.SubmitRequest, now time.Duration) *pb.Refusal {
	if p.repeats.Window == 0 {
		return nil
	}
	if req.Attempt <= 1 {
		p.repeats.Requested(now)
		return nil
	}
	if p.repeats.Take(now) {
		return nil
	}
	return refusal(pb.Refusal_REPEAT_BUDGET, p.repeats.Window/budgetRetryPart, "the pool's repeat budget is spent")
}

// budgetRetryPart is the part of the budget's window after which a refused
// repeat may find some budget again.
const budgetRetryPart = 10

func refuse(ticket uint64, r *pb.Refusal) Answer {
	return Answer{Ticket: ticket, Response: &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: r}}}
}

func refusalNote(req *pb.SubmitRequest, r *pb.Refusal) Note {
	return Note{Kind: "request.refused", RequestID: req.RequestId, Attempt: req.Attempt, Detail: r.Code.String()}
}

func refusal(code pb.Refusal_Code, retry time.Duration, format string, args ...any) *pb.Refusal {
	if retry > 0 {
		retry = min(max(retry, minRetryAfter), maxRetryAfter)
	}
	return &pb.Refusal{Code: code, Message: fmt.Sprintf(format, args...), RetryAfterMs: millis(retry)}
}

// admit checks whether a request can be served in the time that it has.
func (p *Pool) admit(ticket uint64, req *pb.SubmitRequest, now time.Duration) (*waiting, *pb.Refusal) {
	w := newWaiting(ticket, req, now)
	p.upstreams.refreshAll(&p.params, now, false)
	c := p.upstreams.models[req.Model]
	arriving := now < p.activeAt+arrivalWindow
	direct := p.params.LocalPrefill
	if c == nil || len(c.decode) == 0 || (len(c.prefill) == 0 && !direct) || (!c.live(direct) && !arriving) {
		return p.admitBlind(w, c, arriving, now)
	}
	w.size(c.pieceTokens)
	if p.params.OnDemandMemory {
		w.spec.Pieces = w.spec.PromptPieces
	}
	if w.spec.Pieces > c.largest {
		return nil, refusal(pb.Refusal_TOO_LARGE, 0, "request needs %d pieces, the largest engine has %d", w.spec.Pieces, c.largest)
	}
	if len(p.queue.byTicket) >= p.params.MaxQueued {
		return nil, refusal(pb.Refusal_OVERLOADED, p.queueWait(w, now), "%d requests are queued", len(p.queue.byTicket))
	}
	return w, p.limitWait(w, c, now)
}

// admitBlind handles a request whose model no usable upstream serves.
func (p *Pool) admitBlind(w *waiting, c *candidates, arriving bool, now time.Duration) (*waiting, *pb.Refusal) {
	if !arriving {
		return nil, refusal(pb.Refusal_NO_UPSTREAM, maxRetryAfter, "no usable upstream serves model %q in pool %s", w.req.Model, p.name)
	}
	w.size(defaultPieceTokens)
	// A request that may not wait still may within its TTFT target.
	allowed := max(fromMillis(w.req.MaxWaitMs), w.spec.TTFTTarget-fromMillis(w.req.AgeMs))
	w.giveUp = min(now+allowed, w.expires)
	if w.giveUp <= now {
		return nil, refusal(pb.Refusal_NO_UPSTREAM, p.activeAt+arrivalWindow-now, "upstreams of pool %s have not announced themselves yet", p.name)
	}
	w.late = pb.Refusal_NO_UPSTREAM
	return w, nil
}

func newWaiting(ticket uint64, req *pb.SubmitRequest, now time.Duration) *waiting {
	w := &waiting{ticket: ticket, req: req, since: now, late: pb.Refusal_OVERLOADED}
	deadline := fromMillis(req.DeadlineMs)
	if deadline == 0 {
		deadline = defaultDeadline
	}
	w.expires = now + deadline
	w.spec = policy.Request{
		Class:           classOf(req.RequestClass),
		PromptTokens:    int(req.PromptTokens),
		MaxOutput:       int(req.MaxOutputTokens),
		GeneratedTokens: int(min(req.MadeTokens, req.PromptTokens)),
		TTFTTarget:      fromMillis(req.TtftTargetMs),
		TPOTTarget:      fromMillis(req.TpotTargetMs),
		Weights:         policy.Weights{Goodput: req.Weights.GetGoodput(), WastedPrefill: req.Weights.GetWastedPrefill()},
	}
	if w.spec.Class == policy.Draft {
		w.lane = draftLane
	}
	if w.spec.TTFTTarget == 0 {
		w.spec.TTFTTarget = defaultTTFT
	}
	if w.spec.TPOTTarget == 0 {
		w.spec.TPOTTarget = defaultTPOT
	}
	return w
}

// size computes the memory that the request needs.
func (w *waiting) size(pieceTokens int) {
	w.spec.Pieces = max(1, piecesFor(w.spec.PromptTokens+w.spec.MaxOutput, pieceTokens))
	w.spec.PromptPieces = max(1, piecesFor(w.spec.PromptTokens, pieceTokens))
}

// limitWait sets how long the request may be queued. A request that may not
// wait still may until its TTFT target is out of reach; when it is already, or
// when the forecast wait is longer than allowed, the request is refused.
func (p *Pool) limitWait(w *waiting, c *candidates, now time.Duration) *pb.Refusal {
	service := c.fastest(&w.spec, now)
	allowed := fromMillis(w.req.MaxWaitMs)
	if allowed == 0 {
		allowed = w.spec.TTFTTarget - fromMillis(w.req.AgeMs) - service
		w.late = pb.Refusal_TOO_LATE
		if allowed < 0 {
			return refusal(pb.Refusal_TOO_LATE, 0, "first token takes %v on an idle engine, target is %v after %v", service, w.spec.TTFTTarget, fromMillis(w.req.AgeMs))
		}
	}
	if now+allowed > w.expires-service {
		allowed = max(0, w.expires-service-now)
		w.late = pb.Refusal_TOO_LATE
	}
	w.giveUp = now + allowed
	w.service = service
	w.firstBy = now + w.spec.TTFTTarget - fromMillis(w.req.AgeMs)
	if p.overdue(w, now) {
		w.lane = overdueLane
	}
	wait := p.queueWait(w, now)
	if time.Duration(float64(wait)*waitSafety) <= allowed {
		return nil
	}
	return refusal(pb.Refusal_OVERLOADED, wait-allowed, "forecast wait %v is over the allowed %v", wait.Round(time.Millisecond), allowed.Round(time.Millisecond))
}

// overdue reports whether a draft can no longer meet its TTFT target, going by
// its time on idle engines and by how much longer recent requests took. A
// resumed answer is never overdue: its caller waits in the middle of it.
func (p *Pool) overdue(w *waiting, now time.Duration) bool {
	if w.spec.Class != policy.Draft || w.req.Attempt > 1 || w.firstBy == 0 {
		return false
	}
	return now+w.service+p.holds.excess.Bound() >= w.firstBy
}

// idealAge is how long the figures of the fastest engines are used; they change
// with learned speeds and health.
const idealAge = 100 * time.Millisecond

// fastest returns the time to the first token on the fastest idle engines,
// without any cached prefix.
func (c *candidates) fastest(r *policy.Request, now time.Duration) time.Duration {
	if c.idealAt == 0 || now-c.idealAt >= idealAge {
		c.findIdeal()
		c.idealAt = now
	}
	best := &c.ideal
	if best.prefillRate == 0 {
		return 0
	}
	seconds := float64(r.PromptTokens)/best.prefillRate + best.token
	if best.linkRate > 0 {
		seconds += best.kvPerToken * float64(r.PromptTokens) / best.linkRate
	}
	return policy.Seconds(seconds)
}

func (c *candidates) findIdeal() {
	c.ideal = idealEngine{}
	for _, e := range c.prefill {
		if e.Usable {
			c.ideal.prefillRate = max(c.ideal.prefillRate, e.PrefillRate)
			c.ideal.linkRate = max(c.ideal.linkRate, e.LinkRate)
		}
	}
	for _, e := range c.decode {
		if t := e.TokenSeconds(1); e.Usable && (c.ideal.token == 0 || t < c.ideal.token) {
			c.ideal.token = t
			c.ideal.kvPerToken = e.KVPerToken
		}
	}
}

// queueWait forecasts the time until a new request would be granted, from the
// memory that requests ahead of it ask for and the rate at which memory
// becomes free. With fair queueing an organisation with little queued waits
// for its share only.
func (p *Pool) queueWait(w *waiting, now time.Duration) time.Duration {
	var wait time.Duration
	if p.restating(now) {
		wait = p.activeAt + p.params.RestateWindow - now
	}
	q := &p.queue
	ahead := q.pieces[urgentLane]
	if w.lane == overdueLane {
		ahead += q.pieces[draftLane]
	}
	if w.lane != urgentLane {
		same := q.lanes[w.lane]
		own := (same.FlowLen(w.req.Organisation) + 1) * w.spec.Pieces * max(1, same.Flows())
		ahead += min(q.pieces[w.lane], own)
	}
	// What is free now is not waited for. Shortly after a start nothing has been
	// freed yet, and the rate alone would forecast a long wait before idle engines.
	if c := p.upstreams.models[w.req.Model]; c != nil {
		ahead = max(0, ahead-c.freePieces())
	}
	rate := p.holds.freeRate(now)
	if ahead == 0 || rate <= 0 {
		return wait
	}
	return wait + policy.Seconds(float64(ahead)/rate)
}

func (p *Pool) enqueue(w *waiting) {
	q := &p.queue
	if w.lane == urgentLane {
		q.urgentSeen = true
		q.urgentAt = w.since
	}
	q.byTicket[w.ticket] = w
	q.pieces[w.lane] += w.spec.Pieces
	cost := float64(w.spec.PromptTokens + w.spec.MaxOutput)
	head := q.lanes[w.lane].Push(w.req.Organisation, cost, policy.Bucket{Group: w.req.Model, Size: w.spec.Pieces}, w)
	if head {
		q.blocked[w.lane] = false
	}
}

// unqueue removes a request that is not granted.
func (p *Pool) unqueue(w *waiting) {
	q := &p.queue
	q.lanes[w.lane].Remove(w.req.Organisation, func(o *waiting) bool { return o == w })
	p.leftQueue(w)
}

// leftQueue updates the counts after a request left the queue.
func (p *Pool) leftQueue(w *waiting) {
	q := &p.queue
	delete(q.byTicket, w.ticket)
	q.pieces[w.lane] -= w.spec.Pieces
	if q.earmark == w {
		p.clearEarmark()
	}
}

func (p *Pool) clearEarmark() {
	q := &p.queue
	if q.earmarked != nil {
		q.earmarked.view.EarmarkedPieces = 0
	}
	q.earmark = nil
	q.earmarked = nil
	p.unblock()
}

// Busy reports whether requests are queued or hold memory.
func (p *Pool) Busy() bool {
	defer p.lock(holdsTable | queueTableBit)()
	return len(p.queue.byTicket) > 0 || len(p.holds.byID) > 0
}

// Withdraw removes a queued request whose submitter went away. It reports
// whether the request was still queued; otherwise its answer is on the way.
func (p *Pool) Withdraw(ticket uint64) bool {
	defer p.lock(upstreamsTable | queueTableBit)()
	w := p.queue.byTicket[ticket]
	if w == nil {
		return false
	}
	p.unqueue(w)
	return true
}
