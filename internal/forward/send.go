package forward

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// upstreamResponse is a response whose header has been read, with its connection.
type upstreamResponse struct {
	target *target
	conn   *conn
	resp   *http.Response
	info   ResponseInfo
	// sentAt is when the request began to be sent, since the start of the server.
	sentAt time.Duration
	// expectedWeights is the version of the weights that the request asked for.
	expectedWeights string
	// notRun is set if the response states that the request did not run.
	notRun bool
	// stop disables closing the connection when the caller disconnects. It returns
	// false if that has happened already.
	stop func() bool
}

// close ends the use of the connection. It is kept for reuse only if complete is
// set, which means that the response was read to its end.
func (res *upstreamResponse) close(complete bool) {
	if !res.stop() {
		complete = false
	}
	if complete && res.conn.reusable(res.resp, &res.info) {
		_ = res.conn.SetDeadline(time.Time{})
		res.conn.setIdleExpiry(&res.info, time.Now())
		res.target.putIdle(res.conn)
		return
	}
	_ = res.conn.Close()
}

// send sends the request to one upstream and reads the header of the response.
// firstByteTimeout limits the time until the first byte of the response; if move is not nil, it
// decides then what becomes of the run. send settles ch, except for a prefill call that has been
// answered: only the answer tells whether that one counts.
func (x *exchange) send(t *target, opts *SendOptions, ch *charge, firstByteTimeout time.Duration, move mover) (*upstreamResponse, error) {
	x.sends++
	x.lastTarget = t
	opts.Instance = t.id
	maybeSent := false
	for finalTry := !x.route.Repeatable(); ; finalTry = true {
		c, err := x.connectFor(t, opts, *ch, firstByteTimeout)
		if err != nil {
			ch.giveBack()
			return nil, &SendError{MaybeSent: maybeSent, Err: err}
		}
		if !opts.Prefill && x.moving != nil && !x.moving.handOver() {
			t.putIdle(c)
			ch.giveBack()
			return nil, &SendError{MaybeSent: maybeSent, Err: errWentOn}
		}
		x.lastBornMs = cmp.Or(c.process.bornMs, t.bornMs)
		reused := c.wasIdle
		res, err := x.sendOnConn(c, t, opts, firstByteTimeout, move)
		if err == nil {
			if !opts.Prefill {
				ch.spend()
			}
			return res, nil
		}
		ch.spend()
		// The upstream may have closed the reused connection while it was idle.
		// A repeatable request for which no byte of a response has arrived is
		// retried once, which counts against the retry budget. An upstream that states
		// a limit gets one request for each permit, and one that leaves or pauses
		// gets none, also if it has told so while the request waited there.
		if finalTry || t.limited() || t.refusesWork(x.s.now()) || t.reportsLeaving() || !reused || x.callerGone() || !errors.Is(err, errConnLost) {
			return nil, &SendError{MaybeSent: true, Err: err}
		}
		next, ok := x.chargeEntry()
		if !ok {
			return nil, &SendError{MaybeSent: true, Err: err}
		}
		*ch = next
		x.sends++
		maybeSent = true
	}
}

// errConnLost means that the connection failed before the first byte of a
// response.
var errConnLost = errors.New("connection lost before a response")

func (x *exchange) sendOnConn(c *conn, t *target, opts *SendOptions, firstByteTimeout time.Duration, move mover) (*upstreamResponse, error) {
	stop := context.AfterFunc(x.movingContext(), func() { _ = c.Close() })
	fail := func(err error) (*upstreamResponse, error) {
		outcome := "lost"
		if errors.Is(err, errMoved) {
			outcome = "moved"
		}
		x.appendTrail(t, opts, c, outcome, nil, "")
		stop()
		_ = c.Close()
		return nil, err
	}
	opts.RemainingTime = x.remaining()
	sentAt := x.s.now()
	t.countSend(sentAt)
	c.waitsSince.Store(int64(sentAt))
	c.forgetMove()
	c.movable.Store(move != nil)
	watch := x.watchSilence(t, c, x.silencePatience(opts))
	defer watch.Stop()
	_ = c.SetDeadline(time.Now().Add(firstByteTimeout))
	x.attemptSent(opts)
	if !opts.Prefill {
		x.working, x.heardAt = t, time.Now()
	}
	if err := c.writeRequest(x.outboundRequest(opts)); err != nil {
		return fail(x.lostBeforeResponse(t, c, err))
	}
	head := x.awaitHead(c, t, firstByteTimeout, move)
	watch.Stop()
	switch {
	case head.err == nil:
	case errors.Is(head.err, errMoved), errors.Is(head.err, errLinkLost):
		return fail(head.err)
	case head.begun, isTimeout(head.err):
		return fail(c.pathError(t, head.err))
	default:
		return fail(x.lostBeforeResponse(t, c, head.err))
	}
	resp, info := head.resp, head.info
	t.recordLoad(info.Load, x.s.now())
	if info.RequestID == x.info.ID && resp.StatusCode < 300 {
		t.observeWeights(x.info.Model, info.Weights, x.s.now())
	}
	x.s.recordStatement(t, opts, resp, &info, sentAt)
	x.appendTrail(t, opts, c, itoa(resp.StatusCode), info.Load, responseFlags(resp, &info))
	res := &upstreamResponse{target: t, conn: c, resp: resp, info: info, stop: stop, sentAt: sentAt, expectedWeights: opts.Weights, notRun: statesNotRun(resp.StatusCode, &info, x.info.ID)}
	if res.notRun {
		x.attemptNotRun(opts)
		x.endRun(t, false)
	} else if !opts.Prefill {
		// The result of a prefill shows by itself whether it is complete.
		x.checkEnd(res)
	}
	return res, nil
}

// maxTrailEntries limits the upstream requests listed in a log line.
const maxTrailEntries = 12

// appendTrail adds an upstream request to the trail: upstream, stage, outcome, the
// reported load as running/waiting/slots and, if it is stated, the slowness in percent, the
// milliseconds since the caller's request arrived, the connection with the number of requests
// that it has carried, and flags.
func (x *exchange) appendTrail(t *target, opts *SendOptions, c *conn, outcome string, load *Load, flags string) {
	if len(x.trail) >= maxTrailEntries {
		return
	}
	item := t.id
	if opts.Prefill {
		item += ":prefill"
	}
	item += ":" + outcome
	if load != nil {
		item += ":" + itoa(load.Running) + "/" + itoa(load.Waiting) + "/" + itoa(load.Slots)
		if load.SlownessPercent > 0 {
			item += "/" + itoa(int(load.SlownessPercent))
		}
	}
	item += "@" + itoa(int(time.Since(x.receivedAt).Milliseconds()))
	x.trail = append(x.trail, item+"#"+strconv.FormatUint(c.number, 10)+"."+itoa(c.requests)+flags)
}

// responseFlags tells, for the trail, whether the upstream states that it did not run the
// request, and whether the response ends with its connection.
func responseFlags(resp *http.Response, info *ResponseInfo) string {
	flags := ""
	if info.NotRun {
		flags += "/not-run"
	}
	if endsWithConnection(resp) {
		flags += "/until-close"
	}
	return flags
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
