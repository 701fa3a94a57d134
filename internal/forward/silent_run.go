package forward

import (
	"context"
	"net/http"
	"os"
	"time"
)

// silentRun is a run that brings nothing while another one is looked for.
type silentRun struct {
	t *target
	c *conn
	// brings blocks until the run brings something or fails, and reports true, or until stop is
	// closed.
	brings func(stop <-chan struct{}) bool
	// overlap is how long the run stays open after the next one was sent; 0 until that one has
	// succeeded.
	overlap time.Duration
	// attempts counts the attempts to move the run.
	attempts int

	// The fields below are those of one attempt: the run is watched until handOver or keep, and
	// after handOver it is closed by closing or end unless keep comes first. ctx ends once the
	// run has brought something while it was watched.
	ctx    context.Context
	cancel context.CancelFunc
	// unwatch ends the watch, which closes unwatched; nil once that is done.
	unwatch, unwatched chan struct{}
	// handedOver is set once the next run is sent. closing then closes the connection, and
	// closed; it is nil without an overlap.
	handedOver bool
	closing    *time.Timer
	closed     chan struct{}
	// open tells, once decided is set, whether the run is still open after the attempt.
	decided, open bool
}

// watch begins an attempt to move the run and looks whether it goes on meanwhile.
func (r *silentRun) watch(ctx context.Context) {
	r.attempts++
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.unwatch, r.unwatched, r.closed = make(chan struct{}), make(chan struct{}), make(chan struct{})
	r.handedOver, r.closing, r.decided = false, nil, false
	go func(stop, ended chan struct{}, cancel context.CancelFunc) {
		if r.brings(stop) {
			cancel()
		}
		close(ended)
	}(r.unwatch, r.unwatched, r.cancel)
}

// endWatch ends the watch and reports whether the run has gone on.
func (r *silentRun) endWatch() bool {
	if r.unwatch != nil {
		close(r.unwatch)
		<-r.unwatched
		r.unwatch = nil
	}
	return r.ctx.Err() != nil
}

// handOver reports whether the next run may be sent: the silent one has brought nothing. Its
// connection is closed after the overlap. Further calls have no effect.
func (r *silentRun) handOver() bool {
	if r.handedOver {
		return true
	}
	if r.endWatch() {
		return false
	}
	r.handedOver = true
	if r.overlap > 0 {
		r.closing = time.AfterFunc(r.overlap, func() {
			_ = r.c.Close()
			close(r.closed)
		})
	}
	return true
}

// keep ends the attempt to move the run, so that it is not closed any more, and reports whether
// it is still open.
func (r *silentRun) keep() bool {
	if !r.decided {
		r.endWatch()
		r.cancel()
		r.decided, r.open = true, r.closing == nil || r.closing.Stop()
	}
	return r.open
}

// end ends the run.
func (r *silentRun) end() {
	if r.keep() {
		_ = r.c.Close()
	}
}

// headResult is the head of a response. begun is set if a byte of it has come.
type headResult struct {
	resp  *http.Response
	info  ResponseInfo
	err   error
	begun bool
}

// awaitHead reads the head of a response. If it does not come within timeout, or the link of the
// connection is judged down, move decides what becomes of the run; it is nil if the run is not
// to be moved.
func (x *exchange) awaitHead(c *conn, t *target, timeout time.Duration, move mover) headResult {
	read := func() headResult {
		if _, err := c.rd.Peek(1); err != nil {
			return headResult{err: err}
		}
		resp, info, err := c.readResponse(x.s.opts.Protocol, x.r.Method, x.info.ID)
		return headResult{resp, info, err, true}
	}
	if move == nil {
		return read()
	}
	_ = c.SetDeadline(time.Now().Add(x.remaining() - deadlineMargin))
	w := &waiting[headResult]{results: make(chan headResult, 1)}
	go func() { w.results <- read() }()
	r, err := w.nextOrMove(&silentRun{t: t, c: c, brings: w.await}, timeout, move)
	if err != nil {
		return headResult{err: err}
	}
	return r
}

// waiting is a result that comes from another goroutine.
type waiting[T any] struct {
	results chan T
	// arrived is a result that await has taken; nil for none.
	arrived *T
}

// nextOrMove returns the next result of a run. If none comes within timeout, or the link of the
// run is judged down, move tries to move the run; if it is kept, move is called again later. The
// error is errMoved if the run has been moved, and otherwise the cause for which it is lost.
func (w *waiting[T]) nextOrMove(run *silentRun, timeout time.Duration, move mover) (result T, err error) {
	if w.arrived != nil {
		return w.take(), nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	// What was asked for an earlier silence is over.
	run.c.forgetMove()
	moveAsked := run.c.moveAsked
	for {
		cause := error(os.ErrDeadlineExceeded)
		select {
		case result = <-w.results:
			return result, nil
		case <-moveAsked:
			cause = errLinkLost
		case <-timer.C:
			if run.c.relayed == nil && run.t.linkDown() {
				cause = errLinkLost
			}
		}
		select {
		case result = <-w.results:
			// The process may have been paused.
			return result, nil
		default:
		}
		switch move(run, cause) {
		case moveDone:
			return result, errMoved
		case moveLost:
			return result, cause
		}
		if w.arrived != nil {
			return w.take(), nil
		}
		// What asks meanwhile is answered by the timer.
		moveAsked = nil
		timer.Reset(moveRetryInterval)
	}
}

// take returns the result that await has taken.
func (w *waiting[T]) take() T {
	result := *w.arrived
	w.arrived = nil
	return result
}

// await blocks until there is a result for next, and reports true, or until stop is closed.
func (w *waiting[T]) await(stop <-chan struct{}) bool {
	if w.arrived != nil {
		return true
	}
	select {
	case r := <-w.results:
		w.arrived = &r
		return true
	case <-stop:
		return false
	}
}
