package forward

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// patience is how many targets callers wait for a first event before they
	// leave; waitShare is the part of that time spent in the queue at most.
	patience  = 4
	waitShare = 0.8
)

// placement is where a generation runs: a decode engine and, when a scheduler
// reserved one, a prefill engine.
type placement struct {
	prefill *target
	decode  *target
	work    policy.Work
	// stride is the number of tokens in an event.
	stride int
	// stated is the load with which the decode engine rejected the request.
	stated *Load
	// hold is nil when the entry placed the request by itself.
	hold Reservation
}

// budgeted reports whether the scheduler has charged this attempt.
func (p *placement) budgeted() bool { return p.hold != nil && p.hold.Budgeted() }

func (p *placement) reached(s Stage, took time.Duration, load *Load) {
	if p.hold != nil {
		p.hold.ReportProgress(s, took, load)
	}
}

// release gives the room back once.
func (p *placement) release(e Outcome, st *streamState) {
	if p.hold == nil {
		return
	}
	tokens, took := 0, time.Duration(0)
	if st.events > 1 {
		tokens = (st.events - 1) * p.stride
		took = st.lastAt.Sub(st.firstAt)
	}
	p.hold.Release(Result{Outcome: e, OutputTokens: tokens, Took: took, Load: p.stated})
	p.hold = nil
}

// place finds engines for a request: through the scheduler, which sees all
// requests of all entries, or by the entry's own view when no scheduler is in
// reach. Engines enforce their own limits, so that a wrong guess costs a
// rejected call only.
func (x *exchange) place(attempt int, st *streamState) (*placement, *Refusal) {
	work := policy.Work{
		PromptTokens: x.facts.PromptTokens,
		MemoryTokens: x.facts.PromptTokens + max(x.facts.ExpectedOutputTokens, x.made(st)),
	}
	if x.service.Engine != nil && x.s.placer != nil {
		asked := time.Now()
		hold, err := x.s.placer.Reserve(x.ctx, x.demand(attempt, work, st))
		took := time.Since(asked)
		x.queued += took
		x.s.vars.placed.Add(took)
		var refusal *Refusal
		if errors.As(err, &refusal) && !st.started {
			return nil, refusal
		}
		if err == nil {
			p := &placement{
				prefill: x.s.upstreams.get(hold.Prefill()), decode: x.s.upstreams.get(hold.Decode()), work: work, hold: hold,
				stride: x.service.Engine.TokensPerEvent,
			}
			if p.decode != nil {
				x.placedBy = "scheduler"
				return p, nil
			}
			// The engine's report has not reached this entry, or it has ended.
			hold.Release(Result{Outcome: OutcomeNotStarted})
		}
	}
	c := choice{service: x.service.Name, stage: stageOf(x.service), tried: x.tried}
	decode := x.s.upstreams.pick(c, x.s.now(), rand.Float64())
	if decode == nil {
		return nil, nil
	}
	x.placedBy = "entry"
	return &placement{decode: decode, work: work, prefill: x.pickPrefill(x.lostHandles)}, nil
}

// pickPrefill chooses a prefill engine by the entry's own view.
func (x *exchange) pickPrefill(tried map[*target]bool) *target {
	if x.service.Engine == nil {
		return nil
	}
	c := choice{service: x.service.Name, stage: pb.EngineStage_ENGINE_STAGE_PREFILL, tried: tried}
	return x.s.upstreams.pick(c, x.s.now(), rand.Float64())
}

// made returns the tokens that a resumed answer has already. The caller states
// the event, so that the number is bounded by what its answer may have.
func (x *exchange) made(st *streamState) int {
	if x.service.Engine == nil || x.facts.EventsDelivered > x.facts.MaxOutputTokens {
		return 0
	}
	return min((x.facts.EventsDelivered+st.events)*x.service.Engine.TokensPerEvent, x.facts.MaxOutputTokens)
}

func (x *exchange) demand(attempt int, work policy.Work, st *streamState) *ReserveRequest {
	age := time.Since(x.began)
	if st.started {
		// The caller's patience starts anew with each event.
		age = time.Since(st.lastAt)
	}
	wait := max(0, time.Duration(waitShare*patience*float64(x.route.LatencyTarget))-age)
	// An engine reads what the answer has already and makes the rest.
	read := work.PromptTokens + x.made(st)
	d := &ReserveRequest{
		Service: x.service.Name, Model: x.facts.Model, ID: x.facts.ID, Attempt: attempt,
		PromptTokens: read, OutputTokens: max(x.service.Engine.TokensPerEvent, work.MemoryTokens-read), GeneratedTokens: x.made(st),
		MaxWait: min(wait, x.remaining()), RemainingTime: x.remaining(), TTFTTarget: x.route.LatencyTarget, Age: age,
	}
	for t := range x.tried {
		d.Exclude = append(d.Exclude, t.id)
	}
	for t := range x.lostHandles {
		d.Exclude = append(d.Exclude, t.id)
	}
	return d
}

// comeBackAfter bounds a scheduler's advice by what the caller honours.
func (x *exchange) comeBackAfter(after time.Duration) time.Duration {
	if after <= 0 {
		return x.comeBack()
	}
	return min(after, max(0, time.Until(x.callerEnds))/3)
}
