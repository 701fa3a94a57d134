package forward

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

const (
	// abandonFactor is how long callers wait for the first event before they
	// disconnect, as a multiple of the latency target. At most maxQueueShare of
	// that time is spent waiting for a reservation.
	abandonFactor = 4
	maxQueueShare = 0.8
)

// placement holds the engines chosen for a request: a decode engine (for a service
// without engines, the upstream) and a prefill engine or nil.
type placement struct {
	prefill *target
	decode  *target
	work    policy.Work
	// tokensPerEvent is the number of output tokens in one event.
	tokensPerEvent int
	// rejectionLoad is the load that the decode engine reported when it rejected
	// the request; nil if it reported none.
	rejectionLoad *Load
	// charges is the number of requests to engines that the scheduler has taken from its
	// part of the retry budget and that are not used yet.
	charges int
	// reservation is nil if the entry chose the engines without a scheduler.
	reservation Reservation
}

// prefilledBy reports whether a result comes from the prefill engine that the scheduler has
// reserved. What happens to others, such as those of earlier attempts, tells nothing about it.
func (p *placement) prefilledBy(prompt *prefilledPrompt) bool {
	return prompt != nil && p.prefill != nil && prompt.engine == p.prefill
}

func (p *placement) reportProgress(stage Stage, took time.Duration, load *Load) {
	if p.reservation != nil {
		p.reservation.ReportProgress(stage, took, load)
	}
}

// release releases the reservation. Further calls have no effect.
func (p *placement) release(outcome Outcome, st *streamState) {
	if p.reservation == nil {
		return
	}
	outputTokens, took := 0, time.Duration(0)
	if st.events > 1 {
		outputTokens = (st.events - 1) * p.tokensPerEvent
		took = st.lastEventAt.Sub(st.firstEventAt)
	}
	p.reservation.Release(Result{Outcome: outcome, OutputTokens: outputTokens, Took: took, Load: p.rejectionLoad})
	p.reservation = nil
}

// placeRequest chooses the engines for a request. The scheduler knows the requests
// of all entries. If it cannot place the request, or refuses to resume a stream
// that has begun, the entry chooses from what it knows itself. Engines enforce
// their own limits, so a wrong choice costs only a rejected call. Both results are
// nil if there is no upstream.
func (x *exchange) placeRequest(attempt int, st *streamState) (*placement, *Refusal) {
	work := policy.Work{
		PromptTokens: x.info.PromptTokens,
		MemoryTokens: x.info.PromptTokens + max(x.info.ExpectedOutputTokens, x.generatedTokens(st)),
	}
	if !x.versionServed() {
		return nil, nil
	}
	if x.service.Engine != nil && x.s.placer != nil {
		askedAt := time.Now()
		req := x.reserveRequest(attempt, work, st)
		reservation, err := x.s.placer.Reserve(x.movingContext(), req)
		took := time.Since(askedAt)
		x.queueTime += took
		x.s.vars.placementWait.Record(took)
		if x.stopped() {
			if err == nil {
				reservation.Release(Result{Outcome: OutcomeNotStarted})
			}
			return nil, &Refusal{Reason: reasonStopping}
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && !st.headWritten {
			return nil, refusal
		}
		if err == nil {
			p := &placement{
				prefill: x.s.upstreams.get(reservation.Prefill()), decode: x.s.upstreams.get(reservation.Decode()), work: work, reservation: reservation,
				tokensPerEvent: x.service.Engine.TokensPerEvent, charges: req.RetrySends,
			}
			if p.decode != nil && !p.decode.refusesWork(x.s.now()) && x.fitsVersion(p.decode) && x.likelyFits(p.decode) {
				x.placedBy = "scheduler"
				return p, nil
			}
			// The decode engine is not known to this entry yet, or it is gone, leaves,
			// pauses or has another version.
			reservation.Release(Result{Outcome: OutcomeNotStarted})
		}
	}
	filter := upstreamFilter{service: x.service.Name, stage: engineStage(x.service), tried: x.tried, run: x.run, unbroken: x.run != nil && x.outOfContact()}
	decode := x.pickUnscheduled(filter, true)
	if decode == nil {
		return nil, nil
	}
	x.placedBy = "entry"
	return &placement{decode: decode, work: work, prefill: x.pickPrefill(decode, x.lostHandleEngines, true)}, nil
}

// pickPrefill chooses a prefill engine without the scheduler; nil if there is none.
// Its weights may be those of the decode engine. noScheduler is set if none can place
// requests.
func (x *exchange) pickPrefill(decode *target, tried map[*target]bool, noScheduler bool) *target {
	if x.service.Engine == nil {
		return nil
	}
	filter := upstreamFilter{
		service: x.service.Name, stage: pb.EngineStage_ENGINE_STAGE_PREFILL, tried: tried, model: x.info.Model, weights: x.decodeWeights(decode),
	}
	t := x.pickUnscheduled(filter, noScheduler)
	if t != nil && !filter.likely(t, x.s.now()) {
		// The decode engine would reject the result.
		return nil
	}
	return t
}

// generatedTokens returns the number of output tokens that the caller already has
// of a resumed stream. It relies on an event id sent by the caller and is
// therefore limited to the request's maximum output.
func (x *exchange) generatedTokens(st *streamState) int {
	if x.service.Engine == nil || x.info.EventsDelivered > x.info.MaxOutputTokens {
		return 0
	}
	return min((x.info.EventsDelivered+st.events)*x.service.Engine.TokensPerEvent, x.info.MaxOutputTokens)
}

func (x *exchange) reserveRequest(attempt int, work policy.Work, st *streamState) *ReserveRequest {
	age := time.Since(x.receivedAt)
	if st.headWritten {
		// The time that a caller waits starts again with each event.
		age = time.Since(st.lastEventAt)
	}
	maxWait := max(0, time.Duration(maxQueueShare*abandonFactor*float64(x.route.LatencyTarget))-age)
	// To resume a stream, an engine prefills the tokens generated so far and
	// generates the rest.
	prefillTokens := work.PromptTokens + x.generatedTokens(st)
	req := &ReserveRequest{
		Service: x.service.Name, Model: x.info.Model, ID: x.info.ID, Attempt: attempt,
		PromptTokens: prefillTokens, OutputTokens: max(x.service.Engine.TokensPerEvent, work.MemoryTokens-prefillTokens), GeneratedTokens: x.generatedTokens(st),
		ContentHash: x.contentHash(), MaxWait: min(maxWait, x.remaining()), RemainingTime: x.remaining(), TTFTTarget: x.route.LatencyTarget, Age: age,
	}
	if x.ranked {
		req.Organisation, req.Priority, req.StatesPriority = x.tenantName(), x.config.queuePriority(x.rank), true
	}
	if x.run != nil {
		req.Version, req.Weights, req.OtherVersions = x.run.Software, x.run.Weights, x.otherVersions()
	}
	if st.prompt != nil {
		req.HeldPrompt = max(0, time.Until(st.prompt.expires))
	}
	if attempt > 1 {
		req.RetrySends = 1
		if st.prompt == nil && x.prefilled {
			req.RetrySends = 2
		}
	}
	for t := range x.tried {
		req.Exclude = append(req.Exclude, t.id)
	}
	for t := range x.lostHandleEngines {
		req.Exclude = append(req.Exclude, t.id)
	}
	req.Exclude = append(req.Exclude, x.unavailable()...)
	req.Exclude = append(req.Exclude, x.doubtful()...)
	return req
}

// doubtful returns the ids of the engines at which a stream must not go on, since another process
// may answer there than the one that has reported. The scheduler has the same report.
func (x *exchange) doubtful() []string {
	var ids []string
	if x.run == nil {
		return ids
	}
	for _, t := range x.s.upstreams.list(x.service.Name) {
		if t.currentRecord().Stage == engineStage(x.service) && t.processDoubtful() {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// unavailable returns the ids of the engines of the service that refuse work, and of those
// that are suspect while others of their stage are left.
func (x *exchange) unavailable() []string {
	var ids []string
	suspect, left := map[pb.EngineStage][]string{}, map[pb.EngineStage]bool{}
	now := x.s.now()
	for _, t := range x.s.upstreams.list(x.service.Name) {
		record := t.currentRecord()
		switch {
		case t.refusesWork(now):
			ids = append(ids, t.id)
		case t.suspect(now):
			suspect[record.Stage] = append(suspect[record.Stage], t.id)
		case record.Phase == pb.UpstreamPhase_UPSTREAM_READY && !x.tried[t] && !x.lostHandleEngines[t]:
			left[record.Stage] = true
		}
	}
	for stage, list := range suspect {
		if left[stage] {
			ids = append(ids, list...)
		}
	}
	return ids
}

// otherVersions returns the ids of the engines of the service that must not decode the
// stream, or prefill for it, because of their versions. Those that have only stated other
// weights in responses, which may have changed, are among them while others are left.
func (x *exchange) otherVersions() []string {
	var ids []string
	unlikely, left := map[bool][]string{}, map[bool]bool{}
	now := x.s.now()
	for _, t := range x.s.upstreams.list(x.service.Name) {
		t.mu.Lock()
		record, likely := t.record, t.likelyVersions(x.info.Model, now)
		t.mu.Unlock()
		decodes := record.Stage == engineStage(x.service)
		fits := func(v policy.RunVersions) bool {
			return decodes && x.run.MayGoOnAt(v) || !decodes && policy.SameWeights(x.run.Weights, v.Weights)
		}
		switch {
		case !fits(fleet.RunVersions(record, x.info.Model)):
			ids = append(ids, t.id)
		case !fits(likely):
			unlikely[decodes] = append(unlikely[decodes], t.id)
		case record.Phase == pb.UpstreamPhase_UPSTREAM_READY && !t.refusesWork(now) && !x.tried[t]:
			left[decodes] = true
		}
	}
	for decodes, list := range unlikely {
		if left[decodes] {
			ids = append(ids, list...)
		}
	}
	return ids
}

// capRetryAfter limits the delay that a scheduler suggests to the longest that a
// caller honours: a third of the time that it still waits. It spreads the delays, so
// that callers who were refused together do not return together. If the scheduler
// suggests none, it returns the default.
func (x *exchange) capRetryAfter(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return x.retryAfter()
	}
	longest := min(retryAfter, max(0, time.Until(x.callerDeadline))/3)
	return longest - time.Duration(retryAfterSpread*rand.Float64()*float64(longest))
}

// retryAfterSpread is the share of a Retry-After by which it varies.
const retryAfterSpread = 0.2
