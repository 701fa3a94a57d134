package httpdrain

import (
	"net"
	"sync"
	"time"
)

// trackedConn is a caller's connection that is closed only while no request would be lost.
// http.Server reports a connection as active only when it has read the whole header of a
// request. To close one, the server's pending read is made to fail: it then closes the
// connection itself, having read nothing of what the caller has sent meanwhile.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// receiving is set from the first byte of a request to the end of its response,
	// serving from the end of its header.
	receiving, serving bool
	closing            closing
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
}

// closing tells whether a connection is to be closed.
type closing uint8

const (
	notClosing closing = iota
	// closingIfIdle ends when a byte of a request has been read.
	closingIfIdle
	// closingUnlessServing ends when a whole header has been read.
	closingUnlessServing
)

// CloseIfIdle closes the connection unless a request is in progress or on its way in, and
// reports whether it does.
func (c *trackedConn) CloseIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.receiving && c.close(closingIfIdle)
}

// CloseUnlessServing closes the connection unless the header of a request has been read,
// and reports whether it does.
func (c *trackedConn) CloseUnlessServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.serving && c.close(closingUnlessServing)
}

func (c *trackedConn) close(how closing) bool {
	c.closing = max(c.closing, how)
	if c.Conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		// The caller may have closed it at the same time.
		_ = c.Close()
	}
	return true
}

func (c *trackedConn) keep() {
	c.closing = notClosing
	// If this fails, so does the next read.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// NetConn returns the connection that is tracked.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// SetLinger is that of net.TCPConn; it does nothing on another connection.
func (c *trackedConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = true
	if c.closing == closingIfIdle {
		c.keep()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closing != notClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// requestBegan is called when the header of a request has been read.
func (c *trackedConn) requestBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if c.closing != notClosing {
		c.keep()
	}
}

// requestEnded is called when the response to a request is complete.
func (c *trackedConn) requestEnded() {
	c.mu.Lock()
	c.receiving, c.serving = false, false
	c.mu.Unlock()
}
