package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/policy"
)

const (
	// firstEventTimeoutFactor times the latency target is the timeout for the first
	// byte of a response, and then for its first event. After it, a resumable
	// stream is retried at another upstream. Under load, first events take longer
	// than the target.
	firstEventTimeoutFactor = 1.8
	// gapTimeoutFactor times the target for the pause between events, and at least
	// minGapTimeout, is the timeout for each further event. Waiting for a slow
	// engine is better than a new prefill at another one, but callers disconnect
	// after eight times the target.
	gapTimeoutFactor = 5
	minGapTimeout    = 1200 * time.Millisecond
)

// unreadTime is how long a caller may take to read an event without the upstream noticing:
// some upstreams cut off what is unread for some seconds. A stream that breaks off after that
// tells nothing about the upstream.
const unreadTime = time.Second

// reasonCallerSlow is the reason of a stream that an upstream cut off because its caller did
// not read.
const reasonCallerSlow = "caller_slow"

// reasonStreamSilent is the reason of a stream whose next event has not come in time.
const reasonStreamSilent = "stream_silent"

// streamState is the progress of a stream over all its attempts.
type streamState struct {
	// lastEventID is the id of the last event that was relayed to the caller.
	lastEventID string
	// headWritten is set once the response header was sent to the caller.
	headWritten bool
	// unnumbered is set once an event without an id was relayed, after which no upstream
	// can be asked to go on.
	unnumbered bool
	// events is the number of events that were relayed.
	events int
	// firstEventAt and lastEventAt are the times when the first and the last event
	// were relayed.
	firstEventAt time.Time
	lastEventAt  time.Time
	// prompt is the prefill result for the next attempt; nil if there is none.
	prompt *prefilledPrompt
	// attempts counts the placements. runs counts the attempts that may have run, without the
	// current one, and rejections those that have not.
	attempts, runs, rejections int
	// lastRun means that no retry follows if the current attempt may have run.
	lastRun bool
	// moved is the run at which the stream goes on after sendMoved.
	moved *startedRun
}

// countRun counts the current attempt as one that may have run.
func (st *streamState) countRun(r *Route) {
	st.runs++
	st.setLastRun(r)
}

func (st *streamState) setLastRun(r *Route) {
	st.lastRun = st.runs+1 >= r.MaxAttempts || !r.Repeatable()
}

// serveStream relays a stream of events. If an upstream fails, the stream is
// resumed at another one if the route allows it.
func (x *exchange) serveStream() {
	st := &streamState{lastEventID: x.info.LastEventID}
	defer func() { x.endPrompt(st, st.rejections > 0) }()
	if x.service.Engine != nil {
		x.s.addRequestSize(x.service.Name, x.info.PromptTokens, x.info.ExpectedOutputTokens)
	}
	for {
		if x.quarantined(st) {
			x.refuseQuarantined(st)
			return
		}
		st.setLastRun(x.route)
		x.resolveRun()
		st.attempts++
		p, refusal := x.placeRequest(st.attempts, st)
		if x.callerGone() {
			if p != nil {
				p.release(OutcomeCancelled, st)
			}
			x.abortCancelled()
			return
		}
		if refusal != nil && !st.headWritten && !x.mayHaveRun() {
			x.refuse("scheduler_"+refusal.Reason, x.capRetryAfter(refusal.RetryAfter))
			return
		}
		if p == nil {
			x.endStream(st, "no_upstream")
			return
		}
		result := x.runPlacement(p, st)
		for result == sendMoved {
			run := st.moved
			st.moved = nil
			st.countRun(x.route)
			p, result = run.p, x.relayRun(run, st)
		}
		if result == sendNotPaid {
			if st.attempts == 1 && x.prefillRejected {
				// The rejected call was charged to the free run. The scheduler may have
				// a retry left.
				continue
			}
			x.endStream(st, "repeat_budget")
			return
		}
		if result == sendDone {
			return
		}
		x.noteFailedAttempt(p, st, result)
		switch {
		case result != sendOutcomeUnknown && st.rejections > maxRejections:
			x.endStream(st, "rejected")
			return
		case x.callerGone():
			x.abortCancelled()
			return
		case result == sendOutcomeUnknown && (st.runs >= x.route.MaxAttempts || !x.route.Repeatable() || x.suspect(st) || st.unnumbered):
			x.endStream(st, "lost")
			return
		}
		if reason := x.timeIsUp(); reason != "" {
			x.endStream(st, reason)
			return
		}
	}
}

// noteFailedAttempt records an attempt after which the stream may go on elsewhere.
func (x *exchange) noteFailedAttempt(p *placement, st *streamState, result sendResult) {
	if result != sendRejected || st.prompt != nil || x.reason == reasonOtherWeights {
		x.tried[p.decode] = true
	}
	if result != sendOutcomeUnknown {
		x.keepUnexpired(st)
		st.rejections++
		return
	}
	x.dropPrompt(st, policy.PrefillFacts{EngineLost: true})
	if !x.callerGone() && x.brokeBeforeFirstEvent(st) {
		x.reportCrash(p.decode)
	}
	st.runs++
}

// runPlacement runs prefill and decode on the engines of a placement, and releases
// the reservation. After sendMoved, st.moved is the run at which the stream goes on.
func (x *exchange) runPlacement(p *placement, st *streamState) sendResult {
	run, result := x.startRun(p, st)
	if result != 0 {
		return result
	}
	return x.relayRun(run, st)
}

// startRun runs the prefill and sends the request to the decode engine of a placement. If the
// response does not begin, the reservation is released and the result is not 0.
func (x *exchange) startRun(p *placement, st *streamState) (run *startedRun, result sendResult) {
	p.decode.beginRequest(p.work)
	defer func() {
		if run == nil {
			p.decode.endRequest(p.work)
		}
	}()
	ch, result := x.prepareRun(p, st)
	if result != 0 {
		return nil, result
	}
	prompt := st.prompt
	if run, result = x.openStream(p, st, &ch); result != 0 {
		x.endPlacement(p, st, prompt, result)
	}
	return run, result
}

// prepareRun does what comes before the request is sent to the decode engine of a placement, and
// returns the charge for it. If it is not to be sent, the reservation is released and the result
// is not 0.
func (x *exchange) prepareRun(p *placement, st *streamState) (charge, sendResult) {
	if !x.canPayRun(p) {
		p.release(OutcomeNotStarted, st)
		return charge{}, sendNotPaid
	}
	st.prompt = x.promptFor(p.decode, st.prompt)
	if x.service.Engine != nil && !x.decodeAvailable(p.decode) {
		return charge{}, x.leaveDecode(p, st)
	}
	if st.prompt == nil {
		p.reportProgress(StagePrefilling, 0, nil)
		start := time.Now()
		st.prompt = x.runPrefill(p, st.lastEventID)
		if p.prefilledBy(st.prompt) {
			p.reportProgress(StagePrefilled, time.Since(start), nil)
		}
		// Other engines may have crashed meanwhile.
		if x.quarantined(st) {
			p.release(OutcomeNotStarted, st)
			return charge{}, sendNotSent
		}
		if st.prompt != nil && !x.decodeAvailable(p.decode) {
			return charge{}, x.leaveDecode(p, st)
		}
	}
	ch, ok := x.chargeRun(p)
	if !ok {
		p.release(OutcomeNotStarted, st)
		return charge{}, sendNotPaid
	}
	return ch, 0
}

// relayRun relays a run, and releases its reservation.
func (x *exchange) relayRun(run *startedRun, st *streamState) sendResult {
	defer run.p.decode.endRequest(run.p.work)
	events := st.events
	result := x.relayEvents(run, st)
	if st.events == events && x.outcome != "answered" {
		x.countUnusedPrefill(run.prefilled)
	}
	x.endPlacement(run.p, st, nil, result)
	return result
}

// countUnusedPrefill counts the prefill of a run without an event.
func (x *exchange) countUnusedPrefill(prefilled bool) {
	if prefilled {
		x.wastePrefill(policy.PrefillFacts{EngineLost: true})
	}
}

// endPlacement releases the reservation of an attempt whose request was to be sent, with prompt
// as the prefill result; nil for none.
func (x *exchange) endPlacement(p *placement, st *streamState, prompt *prefilledPrompt, result sendResult) {
	if result == sendOutcomeUnknown && x.moving != nil && x.connectionBroke() {
		// The silent run may go on at any time.
		go x.s.releaseBroken(p, x.reason)
		return
	}
	if result == sendOutcomeUnknown {
		x.verifyBroken(p.decode)
	}
	outcome := OutcomeDecodeFailed
	switch {
	case result == sendDone:
		outcome = OutcomeCompleted
	case x.ctx.Err() != nil:
		outcome = OutcomeCancelled
	case result == sendRejected && x.detectLostHandle(p, st):
		outcome = OutcomeNotStarted
		if p.prefilledBy(prompt) {
			outcome = OutcomeHandleLost
		}
	case result == sendRejected:
		outcome = OutcomeRejected
	case (pathReasons[x.reason] || x.reason == reasonOtherProcess || x.reason == reasonWentOn) && result == sendNotSent:
		outcome = OutcomeNotStarted
	case pathReasons[x.reason], x.reason == reasonCallerSlow:
		// The scheduler must not hold it against the engine.
		outcome = OutcomeCancelled
	case result == sendNotSent:
		outcome = OutcomeUnreachable
	}
	p.release(outcome, st)
}

// releaseBroken releases the reservation of a run without an event whose connection broke, once
// it is known whether the engine may be at fault.
func (s *Server) releaseBroken(p *placement, reason string) {
	outcome := OutcomeCancelled
	if s.links.verify(p.decode) {
		outcome = OutcomeDecodeFailed
		if reason == reasonStreamBroke {
			p.decode.outcomes.add(p.decode, true)
		}
	}
	p.release(outcome, &streamState{})
}

// detectLostHandle reports whether a decode engine rejected a request because it
// could not fetch the prefill result. Engines respond in the same way when they are
// full, so a rejection by an engine that has room is taken for a lost handle. In
// that case the prompt is dropped, so that another engine prefills it.
func (x *exchange) detectLostHandle(p *placement, st *streamState) bool {
	if st.prompt == nil || p.rejectionLoad == nil || x.service.Engine == nil || x.reason == reasonOtherWeights {
		return false
	}
	capacity := policy.Capacity{Slots: x.service.Engine.Slots, MemoryTokens: x.service.Engine.MemoryTokens}
	if capacity.LikelyFull(p.rejectionLoad.Running, p.rejectionLoad.Waiting, x.s.meanRequestTokens(x.service.Name), p.work.PromptTokens) {
		return false
	}
	if x.lostHandleEngines == nil {
		x.lostHandleEngines = map[*target]bool{}
	}
	x.lostHandleEngines[st.prompt.engine] = true
	// The next requests would lose theirs as well, and each costs two retries.
	st.prompt.engine.recordFailure(x.s.now(), policy.FaultUnavailable)
	x.dropPrompt(st, policy.PrefillFacts{TransferFailed: true})
	return true
}

// endStream ends a stream that cannot be completed: with an error response or, if
// the response has begun, by aborting the connection.
func (x *exchange) endStream(st *streamState, reason string) {
	if !st.headWritten {
		x.giveUp(reason)
		return
	}
	x.abort(reason + "_after_" + x.reason)
}

// openStream sends the request to the decode engine of a placement, paid for by ch, and returns
// its run if the response is one. Otherwise the result is not 0.
func (x *exchange) openStream(p *placement, st *streamState, ch *charge) (*startedRun, sendResult) {
	t := p.decode
	timeout, move := x.remaining()-deadlineMargin, mover(nil)
	if !st.lastRun {
		timeout = min(timeout, time.Duration(firstEventTimeoutFactor*float64(x.route.LatencyTarget)))
		move = func(run *silentRun, cause error) moveResult {
			return x.moveStream(run, st, cause, silenceReason(cause, reasonNoAnswer))
		}
	}
	opts := &SendOptions{Priority: -1, LastEventID: st.lastEventID, Identify: true}
	if st.prompt != nil {
		opts.Source, opts.Weights = st.prompt.source, st.prompt.handle.Weights
	}
	if x.run != nil {
		opts.Weights = x.run.Weights
	}
	res, err := x.send(t, opts, ch, timeout, move)
	switch {
	case errors.Is(err, errMoved):
		return nil, sendMoved
	case err != nil:
		return nil, x.holdSilent(x.handleSendError(t, err))
	}
	if result := x.checkStatement(t, res); result != 0 {
		p.rejectionLoad = res.info.Load
		return nil, x.holdSilent(result)
	}
	prefilled := st.prompt != nil
	st.prompt = nil
	if result := x.checkHead(t, res, st); result != 0 {
		if result != sendDone {
			x.countUnusedPrefill(prefilled)
		}
		return nil, x.holdSilent(result)
	}
	p.reportProgress(StageDecoding, 0, res.info.Load)
	return &startedRun{p: p, res: res, events: newEventSource(res), prefilled: prefilled}, 0
}

// holdSilent keeps the connection of the silent run from being closed after the one that was to
// replace it has failed with a result, which it returns.
func (x *exchange) holdSilent(result sendResult) sendResult {
	if x.moving != nil {
		x.moving.keep()
	}
	return result
}

// checkHead handles a response that is no stream of the upstream. It returns 0 for any other.
func (x *exchange) checkHead(t *target, res *upstreamResponse, st *streamState) sendResult {
	if res.resp.StatusCode >= 300 {
		return x.handleErrorResponse(t, res, st)
	}
	if isAltered(res) {
		res.close(false)
		t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "answer_spoiled"
		x.endRun(t, false)
		return sendOutcomeUnknown
	}
	return 0
}

// handleErrorResponse handles a response with a status of 300 or above. It is
// passed on if no retry follows, no event has been relayed and no other run goes on.
func (x *exchange) handleErrorResponse(t *target, res *upstreamResponse, st *streamState) sendResult {
	_ = res.conn.SetDeadline(time.Now().Add(x.remaining()))
	body, whole, err := x.bufferResponse(res.resp)
	t.recordFailure(x.s.now(), policy.FaultError)
	if err != nil || st.headWritten || !st.lastRun || x.moving != nil && x.moving.keep() {
		res.close(err == nil && whole)
		x.reason = "upstream_error"
		x.endRun(t, false)
		return sendOutcomeUnknown
	}
	x.relay(res, body, whole)
	return sendDone
}

// streamRun is the part of a stream that one response brings.
type streamRun struct {
	t       *target
	res     *upstreamResponse
	numbers *attemptEvents
	// versions are those of the newest event.
	versions policy.RunVersions
	// first is set until the run has sent text or an id. comments holds what came before: it
	// is passed on with the text of the run, or with its end.
	first    bool
	comments []byte
}

// relayEvents relays events to the caller as they arrive, each only when complete.
func (x *exchange) relayEvents(started *startedRun, st *streamState) sendResult {
	t, res, source := started.p.decode, started.res, started.events
	defer source.close()
	flusher := http.NewResponseController(x.w)
	x.callerBlocked, x.callerWaited = false, 0
	run := &streamRun{t: t, res: res, versions: x.versionsOf(res), first: true}
	run.numbers = x.s.newAttemptEvents(t, run.versions, st.lastEventID)
	defer run.numbers.end()
	watch := x.watchSilence(t, res.conn, x.eventPatience())
	defer watch.Stop()
	silent := &silentRun{t: t, c: res.conn, brings: source.await}
	move := func(run *silentRun, cause error) moveResult {
		return x.moveStream(run, st, cause, silenceReason(cause, reasonStreamSilent))
	}
	_ = res.conn.SetReadDeadline(x.deadline.Add(x.responseGrace()))
	for {
		silent.attempts = 0
		read, err := source.nextOrMove(silent, x.eventTimeout(st), move)
		ev := read.ev
		if errors.Is(err, errMoved) {
			_ = res.stop()
			return sendMoved
		}
		if err != nil {
			// The reason is that of the silence.
			_ = res.stop()
			return sendOutcomeUnknown
		}
		if read.err == io.EOF {
			return x.endStreamRun(run, st, flusher)
		}
		if read.err != nil {
			return x.handleStreamError(t, res, read.err)
		}
		watch.reset()
		x.heardAt = time.Now()
		if !x.admitEvent(run, &ev, st) {
			res.close(false)
			x.endRun(t, false)
			return sendOutcomeUnknown
		}
		if run.first && !ev.belongsToRun() {
			if run.comments = append(run.comments, ev.raw...); len(run.comments) > maxEventBytes {
				return x.handleStreamError(t, res, errEventTooLong)
			}
			continue
		}
		ev.raw = append(run.comments, ev.raw...)
		run.first, run.comments = false, nil
		if !x.writeEvent(res, &ev, st, flusher) {
			res.close(false)
			x.reason = "caller_left"
			return sendOutcomeUnknown
		}
	}
}

// endStreamRun ends the stream with its last run. One that fits nothing before it and has sent
// nothing tells nothing about the stream.
func (x *exchange) endStreamRun(run *streamRun, st *streamState, flusher *http.ResponseController) sendResult {
	if run.first && x.run != nil && (run.mayBeReplaced() || run.versions != *x.run) {
		run.res.close(false)
		x.reason = "other_versions"
		return sendOutcomeUnknown
	}
	return x.completeStream(run, st, flusher)
}

// admitEvent reports whether an event of a run may be passed on, and otherwise sets the
// reason.
func (x *exchange) admitEvent(run *streamRun, ev *event, st *streamState) bool {
	switch {
	case !follows(ev.id, st.lastEventID):
		run.t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "event_out_of_order"
		return false
	case run.first && run.mayBeReplaced():
		// The answer may be that of the new process, whose software may be another.
		x.reason = "upstream_replaced"
		return false
	case run.numbers.leavesGap(ev.id):
		run.t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "event_gap"
		return false
	}
	if weights, changed := x.s.opts.Protocol.EventWeights(ev.raw); changed {
		run.versions.Weights = weights
		run.t.observeWeights(x.info.Model, weights, x.s.now())
	}
	if !ev.belongsToRun() {
		return true
	}
	if !x.admitVersions(run.versions, run.first, st.lastEventID) {
		return false
	}
	x.settleVersions(run)
	if run.first {
		x.logRun(run.res, run.versions, st)
	}
	return true
}

// writeEvent passes an event on and updates the progress of the stream. It returns false if
// the caller has left.
func (x *exchange) writeEvent(res *upstreamResponse, ev *event, st *streamState, flusher *http.ResponseController) bool {
	if !st.headWritten {
		x.startStream(res, st)
	}
	// Until the caller has taken the event, silence on the connection tells nothing.
	res.conn.movable.Store(false)
	start := time.Now()
	if _, err := x.w.Write(ev.raw); err != nil || flusher.Flush() != nil {
		return false
	}
	now := time.Now()
	x.callerWaited += now.Sub(start)
	x.callerBlocked = x.callerBlocked || now.Sub(start) >= unreadTime
	if st.events == 0 {
		st.firstEventAt = now
		x.s.promptParts.recordAnswer(x.parts, x.s.now())
		x.firstEventTime = now.Sub(x.receivedAt)
		x.s.vars.firstEventTime.Record(x.firstEventTime)
	} else {
		x.maxGap = max(x.maxGap, now.Sub(st.lastEventAt))
	}
	st.lastEventAt = now
	st.events++
	if ev.id != "" {
		st.lastEventID = ev.id
	} else if ev.hasData {
		st.unnumbered = true
	}
	res.conn.waitsSince.Store(int64(x.s.now()))
	res.conn.movable.Store(!st.lastRun && !st.unnumbered)
	return true
}

func (x *exchange) startStream(res *upstreamResponse, st *streamState) {
	st.headWritten = true
	x.status = res.resp.StatusCode
	x.copyResponseHeaders(res.resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(x.status)
}

// eventTimeout returns how long to wait for the next event before the stream is moved.
func (x *exchange) eventTimeout(st *streamState) time.Duration {
	remaining := x.remaining() + x.responseGrace()
	if st.lastRun {
		return remaining
	}
	if st.events == 0 {
		return min(remaining, time.Duration(firstEventTimeoutFactor*float64(x.route.LatencyTarget)))
	}
	return min(remaining, max(minGapTimeout, gapTimeoutFactor*x.route.EventGapTarget))
}

func (x *exchange) completeStream(run *streamRun, st *streamState, flusher *http.ResponseController) sendResult {
	if !st.headWritten {
		x.startStream(run.res, st)
	}
	// If the caller has disconnected, the request's context is cancelled.
	_, _ = x.w.Write(run.comments)
	_ = flusher.Flush()
	run.res.close(true)
	run.t.recordSuccess(x.s.now())
	x.outcome = "answered"
	return sendDone
}

func (x *exchange) handleStreamError(t *target, res *upstreamResponse, err error) sendResult {
	err = res.conn.pathError(t, err)
	res.close(false)
	if x.cancelled() {
		return sendOutcomeUnknown
	}
	switch {
	case pathFailed(err):
		x.reason = pathReason(err)
	case x.callerBlocked && !isTimeout(err), x.callerWaited >= unreadTime && x.remaining() <= 0:
		// A timeout at the deadline tells nothing either if the caller has used up the time.
		x.reason = reasonCallerSlow
	case isTimeout(err):
		x.reason = reasonStreamSilent
		t.recordFailure(x.s.now(), policy.FaultTimeout)
	default:
		x.reason = reasonStreamBroke
		t.recordOwnFailure(x.s.now())
	}
	if errors.Is(err, errEventTooLong) {
		x.reason = "event_too_long"
	}
	x.endRun(t, isTimeout(err) || errors.Is(err, errLinkLost))
	return sendOutcomeUnknown
}
