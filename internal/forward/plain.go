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
	// maxRejections bounds the upstreams that may reject one request before
	// it is refused.
	maxRejections = 3
	// maxBuffered is the answer size up to which an answer is held until it is
	// whole, so that a cut off one can be replaced.
	maxBuffered = 512 << 10
	// lateMargin is how long before its deadline the router gives its own
	// answer, so that it arrives in time.
	lateMargin = 15 * time.Millisecond
	// tryFactor and minTry bound the wait for an answer to a request that may
	// be sent to another upstream.
	tryFactor = 2.5
	minTry    = 200 * time.Millisecond
)

// servePlain serves a request with one answer.
func (x *exchange) servePlain() {
	work := policy.Work{}
	runs, rejections := 0, 0
	for {
		t := x.s.upstreams.pick(choice{service: x.service.Name, tried: x.tried}, x.s.now(), rand.Float64())
		if t == nil || x.tried[t] && !x.route.Repeatable() && x.mayRun {
			x.giveUp("no_upstream")
			return
		}
		if x.sends > 0 && !x.s.budget(x.service.Name).take(x.s.now()) {
			x.giveUp("repeat_budget")
			return
		}
		lastRun := runs+1 >= x.route.MaxAttempts || !x.route.Repeatable()
		t.use(work)
		sentAt := time.Now()
		verdict := x.tryPlain(t, lastRun)
		t.unuse(work)
		x.tried[t] = true
		switch verdict {
		case verdictDone:
			t.mu.Lock()
			t.load.Learn(float64(time.Since(sentAt)) / float64(usualCall))
			t.mu.Unlock()
			return
		case verdictNotSent, verdictRejected:
			if rejections++; rejections > maxRejections {
				x.giveUp("rejected")
				return
			}
		case verdictLost:
			x.mayRun = true
			if x.left() {
				x.leave()
				return
			}
			if runs++; runs >= x.route.MaxAttempts || !x.route.Repeatable() {
				x.giveUp("lost")
				return
			}
		}
		if x.left() {
			x.leave()
			return
		}
		if x.remaining() < lateMargin {
			x.giveUp("deadline")
			return
		}
	}
}

// usualCall scales learned call times.
const usualCall = 20 * time.Millisecond

// verdict tells what became of one send.
type verdict uint8

const (
	// verdictDone: the caller has the final answer.
	verdictDone verdict = iota + 1
	// verdictNotSent: nothing left this process.
	verdictNotSent
	// verdictRejected: the upstream states that it did not run the request.
	verdictRejected
	// verdictLost: the request may have run and there is no answer to give.
	verdictLost
)

// tryPlain sends the request to one upstream. lastRun tells that a failed
// answer is the final one.
func (x *exchange) tryPlain(t *target, lastRun bool) verdict {
	wait := x.remaining() - lateMargin
	if !lastRun {
		wait = min(wait, max(minTry, time.Duration(tryFactor*float64(x.route.LatencyTarget))))
	}
	a, err := x.send(t, &SendOptions{Priority: -1}, wait)
	if err != nil {
		return x.sendFailed(t, err)
	}
	if v := x.notRun(t, a); v != 0 {
		return v
	}
	_ = a.c.SetDeadline(time.Now().Add(x.remaining() + x.slackAtEnd()))
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBuffered+1))
	if err != nil {
		a.close(false)
		t.failed(x.s.now(), policy.FaultError)
		x.reason = "answer_cut_off"
		return verdictLost
	}
	if spoiled(a) {
		a.close(false)
		t.failed(x.s.now(), policy.FaultError)
		x.reason = "answer_spoiled"
		return verdictLost
	}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		t.failed(x.s.now(), policy.FaultError)
		if !lastRun && x.s.budget(x.service.Name).left(x.s.now()) >= 1 {
			a.close(true)
			x.reason = "upstream_error"
			return verdictLost
		}
	} else {
		t.succeeded(x.s.now())
	}
	x.relay(a, body)
	return verdictDone
}

// slackAtEnd lets an answer that has begun arrive a little late.
func (x *exchange) slackAtEnd() time.Duration { return 200 * time.Millisecond }

// spoiled reports whether an answer cannot be the upstream's own.
func spoiled(a *sent) bool {
	return a.answer.ContentEncoded || a.resp.StatusCode < 300 && !a.answer.FromUpstream
}

// sendFailed judges a send without an answer.
func (x *exchange) sendFailed(t *target, err error) verdict {
	if x.left() {
		x.reason = "caller_left"
		return verdictLost
	}
	var se *SendError
	if errors.As(err, &se) && !se.Left {
		t.failed(x.s.now(), policy.FaultUnreachable)
		x.reason = "unreachable"
		x.sends--
		return verdictNotSent
	}
	fault := policy.FaultUnreachable
	x.reason = "connection_lost"
	if isTimeout(err) {
		fault = policy.FaultTimeout
		x.reason = "no_answer"
	}
	t.failed(x.s.now(), fault)
	return verdictLost
}

// notRun handles an answer that states that the request did not run; 0 for
// other answers.
func (x *exchange) notRun(t *target, a *sent) verdict {
	if !a.answer.NotRun && a.resp.StatusCode != http.StatusMisdirectedRequest {
		return 0
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxBuffered))
	a.close(err == nil)
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		t.mu.Lock()
		t.misdirected = true
		t.mu.Unlock()
		x.reason = "misdirected"
		return verdictRejected
	}
	x.reason = "upstream_full"
	return verdictRejected
}

// relay returns a whole answer, or streams the rest of a large one.
func (x *exchange) relay(a *sent, body []byte) {
	x.status, x.outcome = a.resp.StatusCode, "answered"
	x.copyHeaders(a.resp.Header)
	if len(body) <= maxBuffered {
		x.w.Header().Set("Content-Length", itoa(len(body)))
		x.w.WriteHeader(x.status)
		if _, err := x.w.Write(body); err != nil {
			x.outcome = "caller_left"
		}
		a.close(true)
		return
	}
	if n := a.resp.ContentLength; n >= 0 {
		x.w.Header().Set("Content-Length", itoa(int(n)))
	}
	x.w.WriteHeader(x.status)
	_, err := x.w.Write(body)
	if err == nil {
		_, err = io.Copy(x.w, a.resp.Body)
	}
	a.close(err == nil)
	if err != nil {
		x.abort("answer_cut_off")
	}
}

// abort ends the caller's connection, so that the answer does not look
// complete.
func (x *exchange) abort(reason string) {
	x.outcome, x.reason = "cut_off", reason
	panic(http.ErrAbortHandler)
}

// leave ends a request whose caller has gone. Nobody can be told.
func (x *exchange) leave() {
	x.outcome, x.reason = "cancelled", "caller_left"
	panic(http.ErrAbortHandler)
}

// giveUp gives the final answer of a request that no upstream answered.
func (x *exchange) giveUp(reason string) {
	if x.reason != "" {
		reason += "_after_" + x.reason
	}
	if !x.mayRun {
		x.refuse(reason, x.comeBack())
		return
	}
	if x.remaining() <= lateMargin {
		x.fail(http.StatusGatewayTimeout, reason)
		return
	}
	x.fail(http.StatusBadGateway, reason)
}

// comeBack is when a refused caller should return.
func (x *exchange) comeBack() time.Duration {
	left := max(0, time.Until(x.callerEnds)) / 3
	base := 100 * time.Millisecond
	if x.service != nil && x.service.Engine != nil {
		base = 400 * time.Millisecond
	}
	return min(left, base/2+rand.N(base))
}

// stageOf returns the stage that answers a service's requests.
func stageOf(s *Service) pb.EngineStage {
	if s.Engine != nil {
		return pb.EngineStage_ENGINE_STAGE_DECODE
	}
	return pb.EngineStage_ENGINE_STAGE_NONE
}
