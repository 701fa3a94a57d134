package forward

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// maxRejections is the number of rejected or unsent attempts that are retried
	// before the caller gets an error response.
	maxRejections = 3
	// maxBufferedBytes is the size up to which a response is buffered until it is
	// complete, so that a truncated one can be retried.
	maxBufferedBytes = 512 << 10
	// deadlineMargin is how long before the deadline the entry sends an error
	// response, so that it reaches the caller in time.
	deadlineMargin = 15 * time.Millisecond
	// responseTimeoutFactor times the latency target, and at least
	// minResponseTimeout, is the timeout for a response while the request can still
	// be retried.
	responseTimeoutFactor = 2.5
	minResponseTimeout    = 200 * time.Millisecond
	// queueTimeoutFactor times the forecast end of a call is the least such timeout while
	// calls wait at all upstreams.
	queueTimeoutFactor = 1.5
)

// callState is the progress of a plain call over all its attempts.
type callState struct {
	// work is the estimated work of the call.
	work policy.Work
	// runs counts the attempts that may have run, without the current one, and rejections those
	// that have not.
	runs, rejections int
	// lastRun means that no retry follows if the current attempt may have run.
	lastRun bool
}

// countRun counts the current attempt as one that may have run.
func (st *callState) countRun(r *Route) {
	st.runs++
	st.setLastRun(r)
}

func (st *callState) setLastRun(r *Route) { st.lastRun = st.runs+1 >= r.MaxAttempts || !r.Repeatable() }

// servePlain serves a request whose response is not a stream, with retries.
func (x *exchange) servePlain() {
	x.cost = x.s.callCosts.estimate(x.service.Name, x.route.Name, x.s.now())
	st := &callState{work: policy.Work{Seconds: x.cost.Mean}}
	// The caller has nothing of the response before all of it has arrived.
	notBegun := &streamState{}
	for {
		if x.quarantined(notBegun) {
			x.refuseQuarantined(notBegun)
			return
		}
		t := x.pickAdmitted()
		if x.callerGone() {
			x.abortCancelled()
			return
		}
		if t == nil && x.permitRetryAfter > 0 {
			x.giveUp("limited")
			return
		}
		if t == nil || x.tried[t] && !x.route.Repeatable() && x.mayHaveRun() {
			x.giveUp("no_upstream")
			return
		}
		x.watchShortage(t)
		if x.refuseOverloaded(t) {
			return
		}
		ch, ok := x.chargeRun(nil)
		if !ok {
			x.giveUp("repeat_budget")
			return
		}
		if st.runs+st.rejections == 0 {
			x.countTenantCall(t)
		}
		st.setLastRun(x.route)
		switch x.attemptCall(t, &ch, st) {
		case sendDone:
			return
		case sendNotSent, sendRejected:
			if st.rejections++; st.rejections > maxRejections {
				x.giveUp("rejected")
				return
			}
		case sendOutcomeUnknown:
			if x.callerGone() {
				x.abortCancelled()
				return
			}
			if x.connectionBroke() {
				x.reportCrash(t)
			}
			if st.runs++; st.runs >= x.route.MaxAttempts || !x.route.Repeatable() || x.suspect(notBegun) {
				x.giveUp("lost")
				return
			}
		}
		if x.callerGone() {
			x.abortCancelled()
			return
		}
		if reason := x.timeIsUp(); reason != "" {
			x.giveUp(reason)
			return
		}
	}
}

// attemptCall sends a plain call to one upstream, paid for by ch.
func (x *exchange) attemptCall(t *target, ch *charge, st *callState) sendResult {
	t.beginRequest(st.work)
	defer t.endRequest(st.work)
	sentAt := time.Now()
	result := x.tryPlain(t, ch, st)
	x.tried[t] = true
	x.watchShortage(t)
	if result == sendDone && x.lastTarget == t {
		t.mu.Lock()
		t.load.RecordLatency(float64(time.Since(sentAt)) / float64(nominalCallTime))
		t.mu.Unlock()
	}
	return result
}

// nominalCallTime is the call duration that counts as a relative latency of 1.
const nominalCallTime = 20 * time.Millisecond

// sendResult is the result of one attempt at an upstream.
type sendResult uint8

const (
	// sendDone: the final response has been sent to the caller.
	sendDone sendResult = iota + 1
	// sendNotSent: no byte of the request was sent.
	sendNotSent
	// sendRejected: the upstream states that it did not run the request, see statesNotRun.
	sendRejected
	// sendOutcomeUnknown: the request may have run, but there is no usable response.
	sendOutcomeUnknown
	// sendNotPaid: nothing was sent, because the retry budget is spent.
	sendNotPaid
	// sendMoved: the upstream was silent, and the stream goes on at another one.
	sendMoved
)

// tryPlain sends the request to one upstream, paid for by ch. Unless a retry follows if this
// attempt may have run, an error response of the upstream is passed on.
func (x *exchange) tryPlain(t *target, ch *charge, st *callState) sendResult {
	timeout, move := x.remaining()-deadlineMargin, mover(nil)
	if !st.lastRun {
		// A call that waits for a slot is not sent again sooner than it would be answered.
		queueTimeout := time.Duration(queueTimeoutFactor * float64(x.expectedEnd))
		timeout = min(timeout, max(minResponseTimeout, queueTimeout, time.Duration(responseTimeoutFactor*float64(x.route.LatencyTarget))))
		move = func(run *silentRun, cause error) moveResult { return x.moveCall(run, st, cause) }
	}
	res, err := x.send(t, &SendOptions{Priority: -1}, ch, timeout, move)
	switch {
	case errors.Is(err, errMoved):
		return sendDone
	case err != nil:
		return x.handleSendError(t, err)
	}
	if result := x.checkStatement(t, res); result != 0 {
		return result
	}
	_ = res.conn.SetDeadline(time.Now().Add(x.remaining() + x.responseGrace()))
	body, whole, err := x.bufferResponse(res.resp)
	if err != nil {
		res.close(false)
		if x.cancelled() {
			return sendOutcomeUnknown
		}
		if err = res.conn.pathError(t, err); pathFailed(err) {
			x.reason = pathReason(err)
			return sendOutcomeUnknown
		}
		x.recordBroken(t)
		x.reason = "answer_cut_off"
		return sendOutcomeUnknown
	}
	if isAltered(res) {
		res.close(false)
		t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "answer_spoiled"
		return sendOutcomeUnknown
	}
	if res.info.FromUpstream && whole {
		x.s.promptParts.recordAnswer(x.parts, x.s.now())
	}
	if res.resp.StatusCode >= http.StatusInternalServerError {
		t.recordFailure(x.s.now(), policy.FaultError)
		if x.moving != nil && x.moving.keep() || !st.lastRun && x.s.retryBudget(x.service.Name).remaining(x.s.now()) >= 1 {
			res.close(whole)
			x.reason = "upstream_error"
			return sendOutcomeUnknown
		}
	} else {
		t.recordSuccess(x.s.now())
		x.recordCall(t, res)
	}
	x.relay(res, body, whole)
	return sendDone
}

// responseGrace is how long after the deadline a response that has begun is still
// read.
func (x *exchange) responseGrace() time.Duration { return 200 * time.Millisecond }

// isAltered reports whether an intermediary has produced or changed the response.
func isAltered(res *upstreamResponse) bool {
	return res.info.ContentEncoded || res.resp.StatusCode < 300 && !res.info.FromUpstream
}

// reasonNoAnswer is the reason of an attempt whose response has not begun in time.
const reasonNoAnswer = "no_answer"

// handleSendError records a failed send and classifies it.
func (x *exchange) handleSendError(t *target, err error) sendResult {
	if x.cancelled() {
		return x.cancelledResult(err)
	}
	result := x.classifySendError(t, err)
	x.endRun(t, isTimeout(err) || errors.Is(err, errLinkLost))
	return result
}

// cancelledResult classifies a send that failed because the request, or the attempt to move it,
// has ended.
func (x *exchange) cancelledResult(err error) sendResult {
	var sendErr *SendError
	if x.wentOn() && errors.As(err, &sendErr) && !sendErr.MaybeSent {
		x.sends--
		return sendNotSent
	}
	return sendOutcomeUnknown
}

func (x *exchange) classifySendError(t *target, err error) sendResult {
	var sendErr *SendError
	notSent := errors.As(err, &sendErr) && !sendErr.MaybeSent
	if pathFailed(err) {
		x.reason = pathReason(err)
		if notSent {
			x.sends--
			return sendNotSent
		}
		return sendOutcomeUnknown
	}
	if notSent && errors.Is(err, errOtherProcess) {
		x.reason = reasonOtherProcess
		x.sends--
		return sendNotSent
	}
	if notSent {
		t.recordFailure(x.s.now(), policy.FaultUnreachable)
		x.reason = "unreachable"
		x.sends--
		return sendNotSent
	}
	fault := policy.FaultUnreachable
	x.reason = "connection_lost"
	if isTimeout(err) {
		fault = policy.FaultTimeout
		x.reason = reasonNoAnswer
	}
	t.recordFailure(x.s.now(), fault)
	x.s.links.silent(t, x.s.now())
	return sendOutcomeUnknown
}

// relay sends the upstream's response to the caller. body is its body or, unless whole is
// set, the beginning of it; the rest is copied as it arrives.
func (x *exchange) relay(res *upstreamResponse, body []byte, whole bool) {
	// What the caller gets can't be taken back.
	res.conn.movable.Store(false)
	if !whole && res.resp.ContentLength < 0 && x.needsLength() {
		x.relayWhole(res, body)
		return
	}
	x.status, x.outcome = res.resp.StatusCode, "answered"
	x.copyResponseHeaders(res.resp.Header)
	if whole {
		// A caller that reads slowly must not keep the upstream's connection.
		res.close(true)
		_ = x.setWriteDeadline()
		x.w.Header().Set("Content-Length", itoa(len(body)))
		x.w.WriteHeader(x.status)
		if _, err := x.w.Write(body); err != nil {
			x.outcome = "caller_left"
		}
		return
	}
	if n := res.resp.ContentLength; n >= 0 {
		x.w.Header().Set("Content-Length", itoa(int(n)))
	}
	x.w.WriteHeader(x.status)
	_, err := x.w.Write(body)
	if err == nil {
		_, err = io.CopyBuffer(x.w, res.resp.Body, make([]byte, relayBufferBytes))
	}
	res.close(err == nil)
	if err != nil {
		x.abort("answer_cut_off")
	}
}

// abort closes the caller's connection, so that the caller notices that the
// response is incomplete.
func (x *exchange) abort(reason string) {
	x.outcome, x.reason = "cut_off", reason
	x.logCutOff()
	if x.needsLength() {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// abortCancelled ends a request whose caller has disconnected. A caller that has closed
// only its sending side looks the same, and still learns that there is no response.
func (x *exchange) abortCancelled() {
	begun := x.status != 0
	if !begun {
		x.w.Header().Set("Connection", "close")
		x.refuse("caller_left", x.retryAfter())
		// Few callers are there to see it.
		x.status = 0
	}
	x.outcome, x.reason = "cancelled", "caller_left"
	if begun {
		panic(http.ErrAbortHandler)
	}
}

// giveUp ends a request for which no upstream response is available.
func (x *exchange) giveUp(reason string) {
	if x.reason != "" {
		reason += "_after_" + x.reason
	}
	x.refuse(reason, x.capRetryAfter(max(x.permitRetryAfter, x.afterPause())))
}

// afterPause returns a time after which a paused upstream of the service takes requests
// again, spread so that callers do not return together; 0 if none is paused.
func (x *exchange) afterPause() time.Duration {
	if x.service == nil {
		return 0
	}
	left := x.s.upstreams.pauseEnd(x.service.Name, x.s.now())
	// capRetryAfter shortens it by up to retryAfterSpread.
	return time.Duration(float64(left) / (1 - retryAfterSpread))
}

// retryAfter returns the Retry-After of a request that was not served: a random
// time around 100 ms, or 400 ms for engines, but at most a third of the time that
// the caller still waits.
func (x *exchange) retryAfter() time.Duration {
	limit := max(0, time.Until(x.callerDeadline)) / 3
	base := 100 * time.Millisecond
	if x.service != nil && x.service.Engine != nil {
		base = 400 * time.Millisecond
	}
	return min(limit, base/2+rand.N(base))
}

// engineStage returns the stage of the upstreams that respond to callers.
func engineStage(s *Service) pb.EngineStage {
	if s.Engine != nil {
		return pb.EngineStage_ENGINE_STAGE_DECODE
	}
	return pb.EngineStage_ENGINE_STAGE_NONE
}
