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
