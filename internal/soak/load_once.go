package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

// promiseStatuses tell the caller that its request has not run and never will.
var promiseStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func promisesNotRun(status int) bool { return slices.Contains(promiseStatuses, status) }

const (
	// onceAttempts is the number of requests that a caller sends for one work that may run
	// once, onceRetryDelay apart.
	onceAttempts   = 3
	onceRetryDelay = 100 * time.Millisecond
	// longBodyBytes is the size of a long body.
	longBodyBytes = 300 << 10
)

// onceWork is work of a caller that may run at most once.
type onceWork struct {
	id, path string
	// bodyBytes is the size of the body, 0 for a short one.
	bodyBytes int
	stream    bool
	// timeout is how long the caller waits; 0 for that of the shape.
	timeout time.Duration
}

// drawOnceWork draws the work of a caller while answers are faulty. It returns an empty path for
// a request that may be repeated.
func drawOnceWork(random *rand.Rand, id string) onceWork {
	w := onceWork{id: id}
	switch draw := random.Float64(); {
	case draw < 0.3:
		w.path = "/submit/x"
	case draw < 0.35:
		w.path, w.bodyBytes = "/submit/x", longBodyBytes
	case draw < 0.45:
		w.path = "/commit/x"
	case draw < 0.65:
		w.path, w.stream = "/once/x", true
	}
	return w
}

// sendOnce sends the requests for one work. After the first one it sends another only
// after a promise, or if the connection ended without the request having been read. Each
// has its own request id and connection.
func (s *system) sendOnce(ctx context.Context, client *http.Client, random *rand.Rand, w onceWork) {
	for n := 0; n < onceAttempts && ctx.Err() == nil; n++ {
		id := w.id
		if n > 0 {
			id = fmt.Sprintf("%s.%d", w.id, n)
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		}
		entry := s.entryAddress(random.IntN(len(s.entries)))
		s.check.requestSent(id, true)
		o, read := s.tryOnce(ctx, client, entry, id, w)
		if read && !promisesNotRun(o.status) {
			return
		}
		s.check.workSentAgain(o)
		sleep(ctx, onceRetryDelay)
	}
}

// tryOnce sends one request. It reports whether the daemon may have read it.
func (s *system) tryOnce(ctx context.Context, client *http.Client, entry, id string, w onceWork) (o outcome, read bool) {
	s.noteEntry(id, entry)
	timeout := cmp.Or(w.timeout, s.shape.callerTimeout)
	reqCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent, reqCtx := s.watch(reqCtx, id, entry, timeout, w.stream)
	o = outcome{truncated: true}
	var events []standin.Event
	want := s.shape.drawEvents()
	defer func() {
		if w.stream {
			s.check.checkStream(id, o, events, 0, want)
			s.check.streamRead(id, id, events)
		} else {
			s.check.checkPlain(id, o)
		}
	}()
	req, err := standin.NewSizedRequest(reqCtx, entry, w.path, id, timeout, w.bodyBytes)
	if err != nil {
		return o, true
	}
	standin.SetWork(req, w.id)
	if w.stream && s.shape.longEvents {
		standin.SetEvents(req, want)
	}
	resp, err := client.Do(req)
	defer func() { s.lostCheck.ended(reqCtx, sent, o, err) }()
	if err != nil {
		return o, !unread(err, sent.isConnected(), w.bodyBytes)
	}
	defer resp.Body.Close()
	o = outcome{status: resp.StatusCode, unstamped: !standin.IsStamped(resp), truncated: true}
	if w.stream {
		err = standin.ReadEvents(resp.Body, func(e standin.Event) bool {
			events = append(events, e)
			sent.heard()
			return true
		})
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		o.body = string(body)
	}
	o.complete, o.truncated = err == nil, err != nil
	return o, true
}

// unread reports whether the connection ended before the daemon read the request: it was
// not established, or it was reset, which tells that bytes were left unread. Of a long body some
// may have been read.
func unread(err error, connected bool, bodyBytes int) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return false
	}
	return !connected || bodyBytes == 0 && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}
