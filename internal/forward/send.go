package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// sent is one answer that has begun.
type sent struct {
	t      *target
	c      *conn
	resp   *http.Response
	answer ResponseInfo
	stop   func() bool
}

// close ends the exchange with the upstream. Only a connection whose answer
// was read to its end is kept.
func (a *sent) close(whole bool) {
	if !a.stop() {
		whole = false
	}
	if whole && a.c.clean(a.resp, &a.answer) {
		_ = a.c.SetDeadline(time.Time{})
		a.c.rest(&a.answer, time.Now())
		a.t.give(a.c)
		return
	}
	_ = a.c.Close()
}

// send sends the request to one upstream and reads the head of the answer.
// firstByte bounds the wait for it.
func (x *exchange) send(t *target, send *SendOptions, firstByte time.Duration) (*sent, error) {
	x.sends++
	x.last = t
	send.Instance = t.id
	for fresh := !x.route.Repeatable(); ; fresh = true {
		c, err := t.connect(x.ctx, false)
		if err != nil {
			return nil, &SendError{Err: err}
		}
		reused := c.uses > 0
		a, err := x.sendOn(c, t, send, firstByte)
		if err == nil {
			return a, nil
		}
		// A kept connection may have ended while it was idle. For a request
		// that may be repeated one more try on a new connection is made; no
		// byte of an answer has arrived, and it counts as a repeat.
		if fresh || !reused || x.left() || !errors.Is(err, errReset) || !x.s.budget(x.service.Name).take(x.s.now()) {
			return nil, &SendError{Left: true, Err: err}
		}
		x.sends++
	}
}

// errReset means that the connection ended before a byte of an answer.
var errReset = errors.New("connection ended without an answer")

func (x *exchange) sendOn(c *conn, t *target, send *SendOptions, firstByte time.Duration) (*sent, error) {
	stop := context.AfterFunc(x.ctx, func() { _ = c.Close() })
	fail := func(err error) (*sent, error) {
		x.note(t, send, "lost", nil)
		stop()
		_ = c.Close()
		return nil, err
	}
	send.Remaining = x.remaining()
	_ = c.SetDeadline(time.Now().Add(firstByte))
	if err := c.write(x.outgoing(send)); err != nil {
		return fail(errors.Wrap(errReset, err.Error()))
	}
	if _, err := c.rd.Peek(1); err != nil {
		if isTimeout(err) {
			return fail(err)
		}
		return fail(errors.Wrap(errReset, err.Error()))
	}
	resp, answer, err := c.read(x.s.opts.Protocol, x.r.Method, x.facts.ID)
	if err != nil {
		return fail(err)
	}
	t.report(answer.Load, x.s.now())
	x.note(t, send, itoa(resp.StatusCode), answer.Load)
	return &sent{t: t, c: c, resp: resp, answer: answer, stop: stop}, nil
}

// maxTrail bounds the sends that a log line lists.
const maxTrail = 12

// note adds a send to the trail: upstream, stage, outcome, the load that the
// upstream stated as running/waiting/slots, and the time since the request
// arrived.
func (x *exchange) note(t *target, send *SendOptions, outcome string, load *Load) {
	if len(x.trail) >= maxTrail {
		return
	}
	entry := t.id
	if send.Prefill {
		entry += ":prefill"
	}
	entry += ":" + outcome
	if load != nil {
		entry += ":" + itoa(load.Running) + "/" + itoa(load.Waiting) + "/" + itoa(load.Slots)
	}
	x.trail = append(x.trail, entry+"@"+itoa(int(time.Since(x.began).Milliseconds())))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
