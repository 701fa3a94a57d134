package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/relay"
)

const (
	// A link is probed if a response is overdue by silenceFactor times the latency target,
	// within these bounds, and nothing else came from the upstream. First events take longer
	// than other responses.
	silenceFactor       = 1.5
	minSilence          = 150 * time.Millisecond
	minStreamSilence    = 400 * time.Millisecond
	streamSilenceFactor = 0.75
	minEventSilence     = 400 * time.Millisecond
	eventSilenceFactor  = 1.3
	longestSilence      = time.Second
)

// errLinkLost means that a run has ended with its link, or was ended because its link is down.
// The upstream may have got the request.
var errLinkLost = errors.New("the link to the upstream is down")

// pathError returns the error of a connection whose path failed, not its upstream, and any
// other error as it is.
func (c *conn) pathError(t *target, err error) error {
	switch {
	case c.relayed != nil && c.relayed.State() == relay.StateLost:
		return relay.ErrLost
	case c.relayed == nil && connFailed(err) && t.linkDown():
		return errLinkLost
	}
	return err
}

// connFailed reports whether an error is that of a connection, not of what came on it.
func connFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// lostBeforeResponse returns the error of a connection that failed before the first byte of
// a response: errConnLost, and that of its path if that has failed.
func (x *exchange) lostBeforeResponse(t *target, c *conn, err error) error {
	if pathErr := x.unansweredError(t, c, err); pathFailed(pathErr) {
		return fmt.Errorf("%w: %w", errConnLost, pathErr)
	}
	return errors.Wrap(errConnLost, err.Error())
}

// unansweredError returns the error of a connection that broke before a response, like
// pathError, after a look at its link.
func (x *exchange) unansweredError(t *target, c *conn, err error) error {
	if connFailed(err) && !isTimeout(err) && x.movingContext().Err() == nil {
		x.s.links.judgeUnanswered(t, c)
	}
	return c.pathError(t, err)
}

// pathFailed reports whether an error tells nothing about the upstream.
func pathFailed(err error) bool {
	return errors.Is(err, errLinkLost) || errors.Is(err, errLinkDown) || errors.Is(err, relay.ErrLost) || errors.Is(err, budget.ErrNoDescriptor)
}

// pathReason returns the reason of an attempt whose path failed, for the log and error
// responses.
func pathReason(err error) string {
	switch {
	case errors.Is(err, errLinkDown):
		return reasonLinkDown
	case errors.Is(err, errLinkLost):
		return reasonLinkLost
	case errors.Is(err, budget.ErrNoDescriptor):
		return reasonNoDescriptor
	}
	return reasonRelayLost
}

// Reasons of attempts whose path failed.
const (
	reasonLinkDown  = "link_down"
	reasonLinkLost  = "link_lost"
	reasonRelayLost = "relay_lost"
	// reasonNoDescriptor: the entry has no descriptor for the connection.
	reasonNoDescriptor = "no_descriptor"
)

// reasonStreamBroke is the reason of a stream whose connection broke.
const reasonStreamBroke = "stream_broke"

var pathReasons = map[string]bool{reasonLinkDown: true, reasonLinkLost: true, reasonRelayLost: true}

// silenceWatch probes the link of a direct connection that brings nothing in time.
type silenceWatch struct {
	timer    *time.Timer
	patience time.Duration
}

// watchSilence starts a watch for a connection. A relayed connection needs none.
func (x *exchange) watchSilence(t *target, c *conn, patience time.Duration) silenceWatch {
	if c.relayed != nil || x.s.links.relay == nil {
		return silenceWatch{}
	}
	links := x.s.links
	return silenceWatch{timer: time.AfterFunc(patience, func() { links.silent(t, links.now()-patience) }), patience: patience}
}

// Stop ends the watch.
func (w silenceWatch) Stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset starts the watch anew.
func (w silenceWatch) reset() {
	if w.timer != nil {
		w.timer.Reset(w.patience)
	}
}

// silencePatience returns how long the first byte of a response may take before the link is
// probed.
func (x *exchange) silencePatience(opts *SendOptions) time.Duration {
	target := float64(x.route.LatencyTarget)
	if x.route.Kind == Stream || opts.Prefill {
		return min(longestSilence, max(minStreamSilence, time.Duration(streamSilenceFactor*target)))
	}
	return min(longestSilence, max(minSilence, time.Duration(silenceFactor*target)))
}

// eventPatience returns how long the next event may take before the link is probed.
func (x *exchange) eventPatience() time.Duration {
	return min(longestSilence, max(minEventSilence, time.Duration(eventSilenceFactor*float64(x.route.EventGapTarget))))
}

// askStatus sends a status check on a new connection and reports whether an answer came.
// It is sent only to upstreams that take any number of requests; a connection to others is
// taken for an answer.
func (s *Server) askStatus(t *target, c *conn) bool {
	config := s.config.Load()
	record := t.currentRecord()
	if config == nil || t.limited() || t.refusesWork(s.now()) {
		return true
	}
	service := config.Services[record.Service]
	if service == nil || service.StatusPath == "" {
		return true
	}
	_ = c.SetDeadline(time.Now().Add(statusTimeout))
	header := s.opts.Protocol.RequestHeader(http.Header{}, &SendOptions{Instance: t.id, RemainingTime: statusTimeout, Priority: -1})
	if err := c.writeRequest(&outboundRequest{method: http.MethodGet, uri: service.StatusPath, host: t.address, header: header}); err != nil {
		return false
	}
	_, err := c.rd.Peek(1)
	return err == nil
}

// recordBroken records that a connection broke in the middle of a response. Other entries
// are told only once the link was found to be sound, or nobody to reach the upstream.
func (x *exchange) recordBroken(t *target) {
	now := x.s.now()
	t.recordOwnFailure(now)
	go func() {
		if x.s.links.verify(t) {
			t.outcomes.add(t, true)
		}
	}()
}

// verifyBroken finds out, after the connection of a stream has broken, whether the upstream
// may be at fault, before anyone else is told. Otherwise it makes the link the reason.
func (x *exchange) verifyBroken(t *target) {
	if !x.connectionBroke() || x.callerGone() {
		return
	}
	switch {
	case !x.s.links.verify(t):
		x.reason = reasonLinkLost
	case x.reason == reasonStreamBroke:
		t.outcomes.add(t, true)
	}
}

// verify reaches a target after a failure. It reports whether the failure may
// be held against the upstream.
func (l *links) verify(t *target) bool {
	if l.relay == nil {
		return true
	}
	if t.linkDown() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	c, err := l.race(ctx, t)
	switch {
	case errors.Is(err, errLinkDown):
		return false
	case err != nil:
		return true
	}
	t.putIdle(c)
	if c.relayed != nil {
		return false
	}
	l.awaitVerdict(t)
	return !t.linkDown()
}
