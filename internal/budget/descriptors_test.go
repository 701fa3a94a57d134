package budget_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/budget"
)

// descriptorLimit is the limit of the processes of these tests, crowd the number of callers.
const (
	descriptorLimit = 64
	crowd           = 60
)

// Guards against connections that no longer count although their descriptors are open, because
// they were told to end and have not done so yet: nobody serves those of this test.
func TestConnectionsCountUntilTheyAreClosed(t *testing.T) {
	l, err := budget.New(0, descriptorLimit).Listen("127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var open []net.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
		}
	}()
	for range crowd {
		dial(t, l.Addr().String())
	}
	// The kernel accepts them at once; the listener sees the last one within this time.
	time.Sleep(time.Second)
	require.NoError(t, l.Close())
	<-accepted
	for _, c := range open {
		_ = c.Close()
	}
	require.LessOrEqual(t, len(open), descriptorLimit*35/100, "accepted connections of %d, none of which was closed", crowd)
}

// newProcess starts a listener for callers whose responses are endless, and returns its budget
// and its address.
func newProcess(t *testing.T) (*budget.Budget, string) {
	b := budget.New(0, descriptorLimit)
	chunk := strings.Repeat("x", 64<<10)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path == "/endless" {
			if _, err := io.WriteString(w, chunk); err != nil {
				return
			}
		}
	})}
	b.Configure(srv)
	l, err := b.Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return b, l.Addr().String()
}

// dialPipe opens a connection that has no descriptor.
func dialPipe(context.Context, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// Guards against connections to upstreams, relays and sessions that no limit counts, and
// against sessions that find no descriptor because of them.
func TestUpstreamsLeaveDescriptorsForSessions(t *testing.T) {
	b := budget.New(0, descriptorLimit)
	upstream, session := b.DialUpstream(dialPipe), b.DialSession(dialPipe)
	var conns []net.Conn
	var err error
	for err == nil && len(conns) < descriptorLimit {
		var c net.Conn
		if c, err = upstream(t.Context(), ""); err == nil {
			conns = append(conns, c)
		}
	}
	require.ErrorIs(t, err, budget.ErrNoDescriptor)
	c, err := session(t.Context(), "")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.NoError(t, conns[0].Close())
	_ = conns[0].Close()
	_, err = upstream(t.Context(), "")
	require.NoError(t, err)
	_, err = upstream(t.Context(), "")
	require.ErrorIs(t, err, budget.ErrNoDescriptor, "a connection that is closed twice is given back once")
}

// Guards against ordinary callers that are refused while others keep all connections by not
// reading, and against upstreams that cannot be reached because of those.
func TestCallersThatDoNotReadGiveWay(t *testing.T) {
	b, address := newProcess(t)
	for range crowd {
		c := dial(t, address)
		// Those beyond the limit are closed.
		_, _ = io.WriteString(c, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		resp, err := client.Get("http://" + address + "/")
		return err == nil && resp.Body.Close() == nil
	}, 10*time.Second, 10*time.Millisecond, "an ordinary caller is served")
	upstream := b.DialUpstream(dialPipe)
	for range descriptorLimit * 3 / 4 {
		require.Eventually(t, func() bool {
			_, err := upstream(t.Context(), "")
			return err == nil
		}, 10*time.Second, 10*time.Millisecond, "an upstream is reached")
	}
}

// Guards against callers that are ended although idle connections to upstreams could be closed.
func TestIdleUpstreamsGiveWayFirst(t *testing.T) {
	b, address := newProcess(t)
	upstream := b.DialUpstream(dialPipe)
	var idle []net.Conn
	b.OnShortage(func() bool {
		if len(idle) == 0 {
			return false
		}
		defer func() { idle = idle[1:] }()
		return idle[0].Close() == nil
	})
	caller := dial(t, address)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = caller.Read(make([]byte, 1<<10))
	require.NoError(t, err)
	for range 2 * descriptorLimit {
		c, err := upstream(t.Context(), "")
		require.NoError(t, err)
		idle = append(idle, c)
	}
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the caller's connection is open")
}

// Guards against sessions of other daemons that are accepted beyond the limit.
func TestAcceptedSessionsAreLimited(t *testing.T) {
	b := budget.New(0, descriptorLimit)
	l, err := b.ListenSessions("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 2*descriptorLimit)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			accepted <- c
		}
	}()
	for range descriptorLimit {
		dial(t, l.Addr().String())
	}
	last := dial(t, l.Addr().String())
	_, err = last.Read(make([]byte, 1))
	require.Error(t, err)
	require.Less(t, len(accepted), descriptorLimit)
	require.NoError(t, (<-accepted).Close())
	before := len(accepted)
	dial(t, l.Addr().String())
	require.Eventually(t, func() bool { return len(accepted) > before }, 5*time.Second, time.Millisecond)
}
