package forward

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/policy"
)

// A silent run may only be slow. It is given up once another one has been granted, was sent and
// has not been rejected: the place, the retry and the prefill may all be refused while the
// upstream of the silent run still works.
//
// What is done for the next run uses movingContext until that run is sent, so that it ends when
// the silent one goes on. Of a stream, the silent run is closed streamOverlap later, whatever
// becomes of the next one then.

const (
	// streamOverlap is how long the silent run of a stream stays open after the next one was sent,
	// unless that one brings something before. Upstreams reject a request at once, and no two may
	// work on one stream for longer than 400 ms.
	streamOverlap = 250 * time.Millisecond
	// moveRetryInterval is the time from one attempt to move a silent run to the next.
	moveRetryInterval = 500 * time.Millisecond
)

var (
	// errMoved means that a run has ended because the request goes on at another upstream, or
	// has been answered by it.
	errMoved = errors.New("the request was moved to another upstream")
	// errWentOn means that a request was not sent because the silent run before it goes on.
	errWentOn = errors.New("the silent run goes on")
)

// reasonWentOn is the reason of an attempt that was not sent because the silent run goes on.
const reasonWentOn = "went_on"

// moveResult is the result of an attempt to move a silent run.
type moveResult uint8

const (
	// moveKept: the silent run is still that of the request.
	moveKept moveResult = iota
	// moveDone: the silent run has ended, and the request goes on elsewhere or is answered.
	moveDone
	// moveLost: the silent run has ended or is to be ended, and no other one goes on.
	moveLost
)

// mover tries to move a silent run. cause is errLinkLost or a timeout.
type mover func(run *silentRun, cause error) moveResult

// giveUpSilent is the mover of requests that cost the caller nothing when they end.
func giveUpSilent(*silentRun, error) moveResult { return moveLost }

// movingContext returns the context of what is done for the next attempt. It ends also when the
// silent run goes on.
func (x *exchange) movingContext() context.Context {
	if x.moving != nil && !x.moving.handedOver {
		return x.moving.ctx
	}
	return x.ctx
}

// wentOn reports whether the silent run goes on from which the request was to be moved.
func (x *exchange) wentOn() bool {
	return x.moving != nil && !x.moving.handedOver && x.moving.ctx.Err() != nil
}

// attemptState is what the exchange keeps of its latest attempt.
type attemptState struct {
	lastTarget, working *target
	lastBornMs          int64
	heardAt             time.Time
	reason, placedBy    string
	permitRetryAfter    time.Duration
}

func (x *exchange) attemptState() attemptState {
	return attemptState{x.lastTarget, x.working, x.lastBornMs, x.heardAt, x.reason, x.placedBy, x.permitRetryAfter}
}

func (x *exchange) restoreAttempt(s attemptState) {
	x.lastTarget, x.working, x.lastBornMs, x.heardAt = s.lastTarget, s.working, s.lastBornMs, s.heardAt
	x.reason, x.placedBy, x.permitRetryAfter = s.reason, s.placedBy, s.permitRetryAfter
}

// beginMove begins an attempt to move a silent run. The first one records the silence.
func (x *exchange) beginMove(from *silentRun, cause error) {
	if from.attempts == 0 && isTimeout(cause) {
		from.t.recordFailure(x.s.now(), policy.FaultTimeout)
	}
	from.watch(x.ctx)
	x.moving = from
}

// endMove ends an attempt to move a silent run. reason is why the run was to be moved, and saved
// its state.
func (x *exchange) endMove(from *silentRun, outer *silentRun, result moveResult, saved attemptState, reason string) {
	x.moving = outer
	if result == moveKept {
		from.keep()
		refused := x.reason
		x.restoreAttempt(saved)
		if from.attempts == 1 {
			x.logKept(from.t, reason, refused)
		}
		return
	}
	from.end()
	next := x.attemptState()
	x.working, x.heardAt, x.reason = saved.working, saved.heardAt, reason
	x.endRun(from.t, true)
	if result == moveDone {
		x.working, x.heardAt = next.working, next.heardAt
	}
}

func (x *exchange) setTried(t *target, tried bool) {
	if tried {
		x.tried[t] = true
		return
	}
	delete(x.tried, t)
}

// silenceReason returns the reason of a run that is moved, by the cause.
func silenceReason(cause error, silent string) string {
	if errors.Is(cause, errLinkLost) {
		return reasonLinkLost
	}
	return silent
}

// startedRun is a run of a stream that was sent and not rejected, with its reservation.
type startedRun struct {
	p      *placement
	res    *upstreamResponse
	events *eventSource
	// prefilled is set if the run has got a prefill result.
	prefilled bool
}

// moveStream tries to move a stream from a silent run to another upstream. If that is done,
// st.moved is the new run.
func (x *exchange) moveStream(from *silentRun, st *streamState, cause error, reason string) moveResult {
	if st.lastRun || st.unnumbered || st.rejections > maxRejections || x.timeIsUp() != "" || x.quarantined(st) {
		return moveKept
	}
	saved, outer, prompt, tried := x.attemptState(), x.moving, st.prompt, x.tried[from.t]
	from.overlap = streamOverlap
	x.beginMove(from, cause)
	st.prompt, x.tried[from.t] = nil, true
	st.countRun(x.route)
	result := x.startElsewhere(from, st)
	if result != moveDone {
		x.endPrompt(st, false)
	}
	// What becomes of the silent run is counted by the caller of this function.
	st.runs--
	if result == moveKept {
		st.prompt = prompt
		x.setTried(from.t, tried)
		st.setLastRun(x.route)
	} else {
		// The silent run has not begun if it still has its prompt.
		x.countUnusedPrefill(prompt != nil)
	}
	x.endMove(from, outer, result, saved, reason)
	return result
}

// startElsewhere starts a run in place of a silent one.
func (x *exchange) startElsewhere(from *silentRun, st *streamState) moveResult {
	st.attempts++
	p, _ := x.placeRequest(st.attempts, st)
	switch {
	case p == nil:
		x.reason = "no_upstream"
		return moveKept
	case x.wentOn(), p.decode == from.t && !from.t.linkDown():
		x.reason = "no_upstream"
		if x.wentOn() {
			x.reason = reasonWentOn
		}
		p.release(OutcomeNotStarted, st)
		return moveKept
	}
	run, result := x.startRun(p, st)
	if result == 0 {
		if result = x.awaitFirstEvent(run, from, st); result == 0 {
			st.moved = run
			return moveDone
		}
	}
	switch {
	case result == sendMoved:
		st.runs++
		return moveDone
	case result == sendNotPaid:
		x.reason = "repeat_budget"
	case x.reason != reasonWentOn:
		x.noteFailedAttempt(p, st, result)
	}
	if from.keep() {
		return moveKept
	}
	return moveLost
}

// awaitFirstEvent waits until a run brings something or the silent run before it is closed. It
// returns 0 unless the run fails before that.
func (x *exchange) awaitFirstEvent(run *startedRun, from *silentRun, st *streamState) sendResult {
	if !run.events.await(from.closed) {
		return 0
	}
	first, t := run.events.arrived, run.p.decode
	var result sendResult
	switch {
	case first.err != nil && first.err != io.EOF:
		result = x.handleStreamError(t, run.res, first.err)
	case first.err == nil && !follows(first.ev.id, st.lastEventID):
		t.recordFailure(x.s.now(), policy.FaultError)
		run.res.close(false)
		x.reason = "event_out_of_order"
		x.endRun(t, false)
		result = sendOutcomeUnknown
	default:
		return 0
	}
	run.events.close()
	x.countUnusedPrefill(run.prefilled)
	x.endPlacement(run.p, st, nil, x.holdSilent(result))
	t.endRequest(run.p.work)
	return result
}

// moveCall tries to move a plain call from a silent upstream to another one. If that is done,
// the caller has been answered.
func (x *exchange) moveCall(from *silentRun, st *callState, cause error) moveResult {
	if st.lastRun || st.rejections > maxRejections || x.timeIsUp() != "" {
		return moveKept
	}
	saved, outer, tried := x.attemptState(), x.moving, x.tried[from.t]
	x.beginMove(from, cause)
	x.tried[from.t] = true
	st.countRun(x.route)
	result := x.callElsewhere(from, st)
	st.runs--
	if result == moveKept {
		x.setTried(from.t, tried)
		st.setLastRun(x.route)
	}
	x.endMove(from, outer, result, saved, silenceReason(cause, reasonNoAnswer))
	return result
}

// callElsewhere sends a plain call to another upstream than a silent one.
func (x *exchange) callElsewhere(from *silentRun, st *callState) moveResult {
	if x.s.retryBudget(x.service.Name).remaining(x.s.now()) < 1 {
		x.reason = "repeat_budget"
		return moveKept
	}
	t := x.pickAdmitted()
	if t == nil || t == from.t && !t.linkDown() {
		x.reason = "no_upstream"
		return moveKept
	}
	ch, ok := x.chargeRun(nil)
	if !ok {
		x.reason = "repeat_budget"
		return moveKept
	}
	switch result := x.attemptCall(t, &ch, st); {
	case result == sendDone:
		return moveDone
	case x.reason == reasonWentOn:
	case result == sendOutcomeUnknown:
		st.runs++
	default:
		st.rejections++
	}
	if from.keep() {
		return moveKept
	}
	return moveLost
}
