package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testEngine(t *testing.T, handler http.HandlerFunc, opts ...HTTPOption) Engine {
	t.Helper()
	server := httptest.NewServer(handler)
	// Closing the connections also ends handlers that wait for the client.
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return NewHTTPEngine(server.URL, client, opts...)
}

func hijackAndClose(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Guards against a "not run" for a prefill that was answered with the status for outdated
// orders, which says nothing about a prefill.
func TestConflictRejectsOnlyOrders(t *testing.T) {
	e := testEngine(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
	_, err := e.Prefill(context.Background(), &PrefillRequest{})
	require.Equal(t, KindFailed, KindOf(err))
	require.Equal(t, KindRejected, KindOf(e.Order(context.Background(), &Order{})))
}

// Guards against retrying a request that may have run, and against not retrying one
// that provably has not. Retry rules depend on the kind.
func TestErrorKindOfStatus(t *testing.T) {
	cases := []struct {
		status int
		notRun bool
		kind   ErrorKind
	}{
		{http.StatusTooManyRequests, true, KindNotRun},
		{http.StatusServiceUnavailable, true, KindNotRun},
		// Without the header the request may have run.
		{http.StatusServiceUnavailable, false, KindFailed},
		{http.StatusInternalServerError, true, KindFailed},
		{http.StatusBadRequest, false, KindRejected},
		{http.StatusConflict, false, KindRejected},
		{http.StatusNotFound, false, KindGone},
		{http.StatusGone, false, KindGone},
		{http.StatusInternalServerError, false, KindFailed},
		{http.StatusBadGateway, false, KindFailed},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d %v", c.status, c.notRun), func(t *testing.T) {
			e := testEngine(t, func(w http.ResponseWriter, r *http.Request) {
				if c.notRun {
					w.Header().Set(HeaderRunState, RunStateNotRun)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(`{"message":"why","fencing_token":7}`))
			})
			err := e.Order(context.Background(), &Order{})
			require.Equal(t, c.kind, KindOf(err))
			var callErr *Error
			require.ErrorAs(t, err, &callErr)
			require.Equal(t, c.status, callErr.Status)
			require.EqualValues(t, 7, callErr.FencingToken)
			require.ErrorContains(t, err, "why")
		})
	}
}

// Guards against a request that was never sent being treated as possibly run.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	e := NewHTTPEngine("http://"+l.Addr().String(), &http.Client{Transport: &http.Transport{}})
	_, err = e.Prefill(context.Background(), &PrefillRequest{})
	require.Equal(t, KindNotSent, KindOf(err))
	_, err = e.Decode(context.Background(), &DecodeRequest{})
	require.Equal(t, KindNotSent, KindOf(err))
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, KindNotSent, KindOf(e.Cancel(cancelled, &CancelRequest{})))
}

// Guards against a broken connection being reported as "not run" although the
// request had been written.
func TestBrokenConnectionIsOutcomeUnknown(t *testing.T) {
	var calls atomic.Int32
	e := testEngine(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		hijackAndClose(w)
	})
	_, err := e.Prefill(context.Background(), &PrefillRequest{})
	require.Equal(t, KindOutcomeUnknown, KindOf(err))
	require.EqualValues(t, 1, calls.Load(), "the HTTP client resent a request on its own")
	_, err = e.Decode(context.Background(), &DecodeRequest{})
	require.Equal(t, KindOutcomeUnknown, KindOf(err))
}

// Guards against a truncated response being treated as a result.
func TestTruncatedResponseIsOutcomeUnknown(t *testing.T) {
	e := testEngine(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"handle":`))
	})
	_, err := e.Prefill(context.Background(), &PrefillRequest{})
	require.Equal(t, KindOutcomeUnknown, KindOf(err))
	require.Equal(t, KindOutcomeUnknown, KindOf(e.Import(context.Background(), &ImportRequest{})))
}

// Guards against waiting forever for an engine that sends nothing.
func TestStallTimeout(t *testing.T) {
	hang := func(w http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	e := testEngine(t, hang, StallTimeout(50*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := e.Prefill(ctx, &PrefillRequest{})
	require.Equal(t, KindStalled, KindOf(err))
	_, err = e.Decode(context.Background(), &DecodeRequest{})
	require.Equal(t, KindStalled, KindOf(err))

	e = testEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("data: {\"offset\":0,\"text\":\" abc\"}\n\n"))
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}, StallTimeout(50*time.Millisecond))
	s, err := e.Decode(context.Background(), &DecodeRequest{})
	require.NoError(t, err)
	defer s.Close()
	token, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, Token{Text: " abc"}, token)
	// The reader's processing time must not count as a stall of the engine.
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	_, err = s.Next()
	require.Equal(t, KindStalled, KindOf(err))
	require.GreaterOrEqual(t, time.Since(start), 40*time.Millisecond)
}

// Guards against a truncated stream being treated as complete, and against a
// stream that the engine ended with an error being treated as a lost connection.
func TestStreamEnd(t *testing.T) {
	const token = "data: {\"offset\":0,\"text\":\" abc\"}\n\n"
	cases := []struct {
		name, body string
		kind       ErrorKind
	}{
		{"ends before the last token", token, KindOutcomeUnknown},
		{"is cancelled at the engine", token + "event: error\ndata: {\"status\":410,\"message\":\"cancelled\"}\n\n", KindGone},
		{"contains invalid JSON", token + "data: {\n\n", KindFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := testEngine(t, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(c.body)) })
			s, err := e.Decode(context.Background(), &DecodeRequest{})
			require.NoError(t, err)
			defer s.Close()
			_, err = s.Next()
			require.NoError(t, err)
			_, err = s.Next()
			require.Equal(t, c.kind, KindOf(err))
		})
	}
}

// Guards against an answer that was cut off, or that of another kind of call, that counts
// as a complete one. An engine that is killed closes its connections without a reset, and
// an answer without a length ends there.
func TestAnswerWithoutItsJSONIsNotComplete(t *testing.T) {
	prefill := func(e Engine) error { _, err := e.Prefill(context.Background(), &PrefillRequest{}); return err }
	importCache := func(e Engine) error { return e.Import(context.Background(), &ImportRequest{}) }
	cancel := func(e Engine) error { return e.Cancel(context.Background(), &CancelRequest{}) }
	order := func(e Engine) error { return e.Order(context.Background(), &Order{}) }
	running := func(e Engine) error { _, err := e.Running(context.Background()); return err }
	for _, c := range []struct {
		name, body string
		call       func(Engine) error
	}{
		{"import", "", importCache}, {"import", "{", importCache}, {"import", "null", importCache},
		{"cancel", "", cancel}, {"order", "", order}, {"order", "{\"a\":", order},
		{"prefill", "", prefill}, {"prefill", "{}", prefill}, {"prefill", "null", prefill}, {"prefill", `{"handle":"h"`, prefill},
		{"running", "", running}, {"running", "[{}", running},
	} {
		e := testEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+c.body)
				_ = conn.Close()
			}
		})
		require.Equal(t, KindOutcomeUnknown, KindOf(c.call(e)), "%s %q", c.name, c.body)
		require.Error(t, c.call(e), "%s %q", c.name, c.body)
	}
}
