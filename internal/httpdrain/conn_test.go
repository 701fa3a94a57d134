package httpdrain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crossingConn calls between after it has read from the network.
type crossingConn struct {
	net.Conn
	between func()
}

func (c *crossingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.between()
	}
	return n, err
}

// Guards against a request that is read as its idle connection is closed, and dropped: its
// caller is left without a response, and cannot know that it may send it again.
func TestRequestThatCrossesTheCloseOfAnIdleConnectionIsServed(t *testing.T) {
	caller, server := net.Pipe()
	c := &trackedConn{}
	c.Conn = &crossingConn{Conn: server, between: func() { c.CloseIfIdle() }}
	go func() { _, _ = io.WriteString(caller, "GET") }()
	b := make([]byte, 16)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "GET", string(b[:n]))
	go func() { _, _ = io.WriteString(caller, " / ") }()
	n, err = c.Read(b)
	require.NoError(t, err)
	require.Equal(t, " / ", string(b[:n]))
}

// Guards against a connection that is closed for its limits when the header of a request
// has just been read: the request was passed on and its response could not be sent.
func TestRequestIsServedWhoseHeaderArrivesAsItsTimeEnds(t *testing.T) {
	var d Drainer
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			if r.Context().Err() == nil {
				_, _ = io.WriteString(w, "ok")
			}
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				c.(*trackedConn).CloseUnlessServing()
			}
			d.ConnState(c, state)
		},
	}
	address := l.Addr().String()
	l = d.Listener(l)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	resp, err := http.Get("http://" + address)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
}
