package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/httpdrain"
)

// Guards against callers that occupy file descriptors for longer than the
// configured limits, and against closing a connection with a request in progress.
func TestWaitingCallersAreClosedAfterTheLimits(t *testing.T) {
	s := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}, RetryLimits: func() RetryLimits { return RetryLimits{} }})
	t.Cleanup(s.Stop)
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	release, slowStarted := make(chan struct{}), make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(slowStarted)
			<-release
		}
	}))
	srv.Config.ConnState = s.ConnState
	srv.Start()
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(release) })
	dial := func(request string) net.Conn {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		return c
	}
	silent := dial("GET / HTTP/1.1\r\nHos")
	idle := dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := idle.Read(make([]byte, 1024))
	require.NoError(t, err)
	dial("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-slowStarted
	waiting := func() map[string]waitingConn {
		s.callerConns.mu.Lock()
		defer s.callerConns.mu.Unlock()
		byAddr := make(map[string]waitingConn)
		for c, w := range s.callerConns.conns {
			byAddr[c.RemoteAddr().String()] = w
		}
		return byAddr
	}
	// A count of two does not suffice: while the answered connection is not yet
	// idle and the request for /slow is not yet read, the silent connection and
	// that of /slow also make two.
	silentAddr, idleAddr := silent.LocalAddr().String(), idle.LocalAddr().String()
	require.Eventually(t, func() bool {
		conns := waiting()
		first, isWaiting := conns[silentAddr]
		answered, isIdle := conns[idleAddr]
		return len(conns) == 2 && isWaiting && first.isNew && isIdle && !answered.isNew
	}, 2*time.Second, time.Millisecond)

	// Times are relative to those of the connections, so that delays of the test
	// have no effect.
	now, idleSince := waiting()[silentAddr].since, waiting()[idleAddr].since
	require.Empty(t, s.callerConns.takeExpired(&limits, now.Add(2*time.Second)))
	require.Empty(t, s.callerConns.takeExpired(&Limits{}, now.Add(time.Hour)), "no limit")
	expired := s.callerConns.takeExpired(&limits, now.Add(4*time.Second))
	require.Len(t, expired, 1)
	require.Equal(t, silentAddr, expired[0].RemoteAddr().String())
	s.SetConfig(&Config{Version: 1, Limits: limits})
	s.closeExpiredCallers(idleSince.Add(16 * time.Second))
	require.Empty(t, waiting())
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, s.vars.callersClosed.Value())
}

// Guards against an idle connection that is closed for its limit while a request arrives:
// the request was passed on and its response could not be sent.
func TestRequestThatArrivesAtTheIdleLimitIsServed(t *testing.T) {
	s := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}, RetryLimits: func() RetryLimits { return RetryLimits{} }})
	t.Cleanup(s.Stop)
	s.SetConfig(&Config{Version: 1, Limits: Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute}})
	var d httpdrain.Drainer
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	srv.Listener = d.Listener(srv.Listener)
	srv.Config.ConnState = func(c net.Conn, state http.ConnState) {
		s.ConnState(c, state)
		d.ConnState(c, state)
	}
	srv.Start()
	t.Cleanup(srv.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	receive := func(c net.Conn) error {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return err
	}
	kept, idle, silent := dial(), dial(), dial()
	for _, c := range []net.Conn{kept, idle} {
		send(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, receive(c))
	}
	send(kept, "GET / HTTP/1.1\r\n")
	send(silent, "GET / HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	s.closeExpiredCallers(time.Now().Add(time.Hour))
	require.Error(t, receive(idle))
	require.Error(t, receive(silent), "its first header is late")
	send(kept, "Host: a\r\n\r\n")
	require.NoError(t, receive(kept))
}
