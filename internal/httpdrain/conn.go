package httpdrain

import (
	"net"
	"sync"
)

// trackedConn is a caller's connection that is closed only while no request is on its
// way in. http.Server reports a connection as active only when it has read the whole
// header of a request.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// receiving is set from the first byte of a request to its end.
	receiving bool
	closed    bool
}

// Read implements net.Conn. What arrives after closeIfIdle is not delivered, so that no
// request is served whose response cannot be sent.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.receiving = c.receiving || n > 0
	return n, err
}

// requestEnded is called when the response to a request is complete.
func (c *trackedConn) requestEnded() {
	c.mu.Lock()
	c.receiving = false
	c.mu.Unlock()
}

// closeIfIdle closes the connection unless a request is on its way in, and reports
// whether it did.
func (c *trackedConn) closeIfIdle() bool {
	c.mu.Lock()
	receiving := c.receiving
	c.closed = !receiving
	c.mu.Unlock()
	if receiving {
		return false
	}
	// The caller may have closed it at the same time.
	_ = c.Close()
	return true
}
