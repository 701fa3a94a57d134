package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// Guards against callers that keep an entry's descriptors for longer than the
// operators' limits allow, and against a limit that closes a connection in use.
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
		s.callers.mu.Lock()
		defer s.callers.mu.Unlock()
		byAddr := make(map[string]waitingConn)
		for c, w := range s.callers.conns {
			byAddr[c.RemoteAddr().String()] = w
		}
		return byAddr
	}
	// Counting two connections is not enough: before the answered connection is
	// idle, the silent one and the still new one of /slow are two as well.
	silentAddr, idleAddr := silent.LocalAddr().String(), idle.LocalAddr().String()
	require.Eventually(t, func() bool {
		conns := waiting()
		first, isWaiting := conns[silentAddr]
		answered, isIdle := conns[idleAddr]
		return len(conns) == 2 && isWaiting && first.fresh && isIdle && !answered.fresh
	}, 2*time.Second, time.Millisecond)

	// The times are relative to those of the connections, so that a pause of the
	// test does not count.
	now, idleSince := waiting()[silentAddr].since, waiting()[idleAddr].since
	require.Empty(t, s.callers.expired(&limits, now.Add(2*time.Second)))
	require.Empty(t, s.callers.expired(&Limits{}, now.Add(time.Hour)), "no limit")
	expired := s.callers.expired(&limits, now.Add(4*time.Second))
	require.Len(t, expired, 1)
	require.Equal(t, silentAddr, expired[0].RemoteAddr().String())
	s.SetConfig(&Config{Version: 1, Limits: limits})
	s.closeWaitingCallers(idleSince.Add(16 * time.Second))
	require.Empty(t, waiting())
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, s.vars.callersClosed.Value())
}
