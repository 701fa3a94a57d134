package httpdrain_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/httpdrain"
)

// server starts a server with a drainer and returns its address and the function
// that stops it.
func server(t *testing.T, h http.Handler) (string, func(context.Context) error) {
	t.Helper()
	var d httpdrain.Drainer
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: d.Handler(h), ConnState: d.ConnState}
	addr := l.Addr().String()
	l = d.Listener(l)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return addr, func(ctx context.Context) error { return d.Shutdown(ctx, srv) }
}

// Guards against a planned stop that closes kept connections on which a request is
// on its way: its caller gets no answer.
func TestCallersOnKeptConnectionsAreAnswered(t *testing.T) {
	addr, shutdown := server(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	const callers = 200
	var unanswered, told atomic.Int64
	var wg, started sync.WaitGroup
	started.Add(callers)
	for range callers {
		wg.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				started.Done()
				unanswered.Add(1)
				return
			}
			defer c.Close()
			rd := bufio.NewReader(c)
			for n := 0; ; n++ {
				if n == 3 {
					started.Done()
				}
				_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(rd, nil)
				}
				if err != nil {
					unanswered.Add(1)
					return
				}
				_ = resp.Body.Close()
				if resp.Close {
					told.Add(1)
					return
				}
				time.Sleep(time.Millisecond + rand.N(6*time.Millisecond))
			}
		})
	}
	started.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, shutdown(ctx))
	wg.Wait()
	require.Zero(t, unanswered.Load(), "callers without an answer")
	require.EqualValues(t, callers, told.Load())
}

// Guards against a planned stop that closes a kept connection while the header of a
// request arrives: the request was served, and its response could not be sent.
func TestRequestThatArrivesSlowlyIsAnswered(t *testing.T) {
	addr, shutdown := server(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	rd := bufio.NewReader(c)
	send := func(text string) {
		_, err := fmt.Fprint(c, text)
		require.NoError(t, err)
	}
	receive := func() {
		resp, err := http.ReadResponse(rd, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		body := make([]byte, 2)
		_, err = rd.Read(body)
		require.NoError(t, err)
	}
	send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive()
	time.Sleep(httpdrain.IdleTime + 50*time.Millisecond)
	send("GET / HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	send("Host: h\r\n\r\n")
	receive()
	require.NoError(t, <-stopped)
}

// Guards against a stop that waits for connections on which nothing is sent any
// more, and against one that does not wait for the requests in progress.
func TestShutdownWaitsForRequestsOnly(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	addr, shutdown := server(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-finish
		_, _ = w.Write([]byte("ok"))
	}))
	silent, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer silent.Close()
	busy, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer busy.Close()
	_, err = fmt.Fprint(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { done <- shutdown(ctx) }()
	_ = silent.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
	var netErr net.Error
	require.False(t, errors.As(err, &netErr) && netErr.Timeout(), "the idle connection is closed soon")
	select {
	case <-done:
		t.Fatal("the stop did not wait for the request in progress")
	case <-time.After(100 * time.Millisecond):
	}
	close(finish)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	require.NoError(t, <-done)
}

// Guards against a stop that goes on accepting connections while requests are in
// progress: those that come last would be cut off at its end.
func TestNoConnectionIsAcceptedDuringShutdown(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	addr, shutdown := server(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-finish
	}))
	busy, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer busy.Close()
	_, err = fmt.Fprint(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { done <- shutdown(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond)
	close(finish)
	require.NoError(t, <-done)
}
