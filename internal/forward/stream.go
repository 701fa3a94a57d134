package forward

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/policy"
)

const (
	// firstEventFactor scales the route's target to the wait for an answer's
	// first byte, after which a resumable stream is sent to another upstream.
	// Under load first events take longer than the target.
	firstEventFactor = 1.8
	// gapFactor and minGap bound the silence inside a stream in the same way.
	// A slow engine is better than reading the prompt again at another one, and
	// callers leave after eight pauses.
	gapFactor = 5
	minGap    = 1200 * time.Millisecond
)

// streamState is how far an answer got.
type streamState struct {
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	// started is set once the head was written to the caller.
	started bool
	events  int
	// firstAt and lastAt are when the first and the last event arrived.
	firstAt time.Time
	lastAt  time.Time
	// read is the prompt that a prefill engine holds for the next send.
	read *readPrompt
	// lastRun tells that the route allows no run after this one.
	lastRun bool
}

// serveStream relays a stream of events and continues it at another upstream
// where the route allows that.
func (x *exchange) serveStream() {
	st := &streamState{lastEvent: x.facts.LastEvent}
	defer func() { x.free(st.read) }()
	runs, rejections := 0, 0
	for attempt := 1; ; attempt++ {
		st.lastRun = runs+1 >= x.route.MaxAttempts || !x.route.Repeatable()
		p, refusal := x.place(attempt, st)
		if x.left() {
			if p != nil {
				p.release(OutcomeCancelled, st)
			}
			x.leave()
			return
		}
		if refusal != nil && !st.started && !x.mayRun {
			x.refuse("scheduler_"+refusal.Reason, x.comeBackAfter(refusal.RetryAfter))
			return
		}
		if p == nil {
			x.endStream(st, "no_upstream")
			return
		}
		if x.sends > 0 && !p.budgeted() && !x.s.budget(x.service.Name).take(x.s.now()) {
			p.release(OutcomeNotStarted, st)
			x.endStream(st, "repeat_budget")
			return
		}
		verdict := x.runPlaced(p, st)
		if verdict != verdictRejected || st.read != nil {
			x.tried[p.decode] = true
		}
		switch verdict {
		case verdictDone:
			return
		case verdictNotSent, verdictRejected:
			st.read = x.stillHeld(st.read)
			if rejections++; rejections > maxRejections {
				x.endStream(st, "rejected")
				return
			}
		case verdictLost:
			st.read = nil
			x.mayRun = true
			if x.left() {
				x.leave()
				return
			}
			if runs++; runs >= x.route.MaxAttempts || !x.route.Repeatable() {
				x.endStream(st, "lost")
				return
			}
		}
		if x.left() {
			x.leave()
			return
		}
		if x.remaining() < lateMargin {
			x.endStream(st, "deadline")
			return
		}
	}
}

// runPlaced has the prompt read and the answer made on the engines of a
// placement, and gives the room back.
func (x *exchange) runPlaced(p *placement, st *streamState) verdict {
	p.decode.use(p.work)
	defer p.decode.unuse(p.work)
	if st.read == nil {
		p.reached(StagePrefilling, 0, nil)
		began := time.Now()
		st.read = x.readPrompt(p, st.lastEvent)
		if st.read != nil {
			p.reached(StagePrefilled, time.Since(began), nil)
		}
	}
	verdict := x.tryStream(p, st)
	end := OutcomeDecodeFailed
	switch {
	case verdict == verdictDone:
		end = OutcomeCompleted
	case x.left():
		end = OutcomeCancelled
	case verdict == verdictRejected && x.handleLost(p, st):
		end = OutcomeHandleLost
	case verdict == verdictRejected:
		end = OutcomeRejected
	case verdict == verdictNotSent:
		end = OutcomeUnreachable
	}
	p.release(end, st)
	return verdict
}

// handleLost judges a rejection of a request with a prompt to fetch. An engine
// with places free that rejects it could not fetch the prompt, so the prompt
// must be read elsewhere. Engines give the same answer for both.
func (x *exchange) handleLost(p *placement, st *streamState) bool {
	if st.read == nil || p.stated == nil || x.service.Engine == nil {
		return false
	}
	if p.stated.Waiting > 0 || float64(p.stated.Running) > lostHandleBatch*float64(x.service.Engine.Slots) {
		return false
	}
	if x.lostHandles == nil {
		x.lostHandles = map[*target]bool{}
	}
	x.lostHandles[st.read.engine] = true
	st.read = nil
	return true
}

// lostHandleBatch is the part of the batch up to which an engine that rejects a
// request is not taken for full. Memory may be full before the batch is.
const lostHandleBatch = 0.7

// endStream gives up. A stream that has begun is broken off, so that it does
// not look complete.
func (x *exchange) endStream(st *streamState, reason string) {
	if !st.started {
		x.giveUp(reason)
		return
	}
	x.abort(reason + "_after_" + x.reason)
}

// tryStream sends the request to one upstream and passes its events on.
func (x *exchange) tryStream(p *placement, st *streamState) verdict {
	t := p.decode
	wait := x.remaining() - lateMargin
	if !st.lastRun {
		wait = min(wait, time.Duration(firstEventFactor*float64(x.route.LatencyTarget)))
	}
	send := &SendOptions{Priority: -1, LastEvent: st.lastEvent}
	if st.read != nil {
		send.Source = st.read.source
	}
	a, err := x.send(t, send, wait)
	if err != nil {
		return x.sendFailed(t, err)
	}
	if v := x.notRun(t, a); v != 0 {
		p.stated = a.answer.Load
		return v
	}
	st.read = nil
	if a.resp.StatusCode >= 300 {
		return x.streamError(t, a, st)
	}
	if spoiled(a) {
		a.close(false)
		t.failed(x.s.now(), policy.FaultError)
		x.reason = "answer_spoiled"
		return verdictLost
	}
	p.reached(StageDecoding, 0, a.answer.Load)
	return x.passEvents(t, a, st)
}

// streamError handles an answer without a stream.
func (x *exchange) streamError(t *target, a *sent, st *streamState) verdict {
	_ = a.c.SetDeadline(time.Now().Add(x.remaining()))
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBuffered))
	t.failed(x.s.now(), policy.FaultError)
	if err != nil || st.started || !st.lastRun {
		a.close(err == nil)
		x.reason = "upstream_error"
		return verdictLost
	}
	x.relay(a, body)
	return verdictDone
}

// passEvents relays whole events as they arrive.
func (x *exchange) passEvents(t *target, a *sent, st *streamState) verdict {
	flusher := http.NewResponseController(x.w)
	rd := &eventReader{rd: bufio.NewReaderSize(a.resp.Body, readBuffer)}
	for {
		_ = a.c.SetReadDeadline(time.Now().Add(x.eventWait(st)))
		ev, err := rd.next()
		if err == io.EOF {
			return x.streamWhole(t, a, st, flusher)
		}
		if err != nil {
			return x.streamBroke(t, a, err)
		}
		if !st.started {
			x.startStream(a, st)
		}
		_, werr := x.w.Write(ev.raw)
		if werr == nil {
			werr = flusher.Flush()
		}
		if werr != nil {
			a.close(false)
			x.reason = "caller_left"
			return verdictLost
		}
		now := time.Now()
		if st.events == 0 {
			st.firstAt = now
			x.first = now.Sub(x.began)
			x.s.vars.first.Add(x.first)
		} else {
			x.gap = max(x.gap, now.Sub(st.lastAt))
		}
		st.lastAt = now
		st.events++
		if ev.id != "" {
			st.lastEvent = ev.id
		}
	}
}

func (x *exchange) startStream(a *sent, st *streamState) {
	st.started = true
	x.status = a.resp.StatusCode
	x.copyHeaders(a.resp.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(x.status)
}

// eventWait is the longest silence before a stream is taken for broken.
func (x *exchange) eventWait(st *streamState) time.Duration {
	left := x.remaining() + x.slackAtEnd()
	if st.lastRun {
		return left
	}
	if st.events == 0 {
		return min(left, time.Duration(firstEventFactor*float64(x.route.LatencyTarget)))
	}
	return min(left, max(minGap, gapFactor*x.route.EventGapTarget))
}

func (x *exchange) streamWhole(t *target, a *sent, st *streamState, flusher *http.ResponseController) verdict {
	if !st.started {
		x.startStream(a, st)
		// A caller that has left ends the request's context.
		_ = flusher.Flush()
	}
	a.close(true)
	t.succeeded(x.s.now())
	x.outcome = "answered"
	return verdictDone
}

func (x *exchange) streamBroke(t *target, a *sent, err error) verdict {
	a.close(false)
	switch {
	case x.left():
		x.reason = "caller_left"
	case isTimeout(err):
		x.reason = "stream_silent"
		t.failed(x.s.now(), policy.FaultTimeout)
	default:
		x.reason = "stream_broke"
		t.failed(x.s.now(), policy.FaultError)
	}
	if errors.Is(err, errLongEvent) {
		x.reason = "event_too_long"
	}
	return verdictLost
}
