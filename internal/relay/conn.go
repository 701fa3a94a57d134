package relay

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// maxIdleBuffer is the size of the buffer that a connection without unread data keeps.
const maxIdleBuffer = 4 << 10

// Conn is a connection to an upstream that another daemon relays. It is a net.Conn.
type Conn struct {
	stream          *transport.Stream
	helper, address string
	// release is called once, after the connection has ended.
	release func()

	// writeMu is held by a Write, so that its data stays together.
	writeMu sync.Mutex
	// readMu is held by a Read.
	readMu sync.Mutex
	read   creditCounter

	// mu guards the fields below, and changed is signalled when one changes.
	mu      sync.Mutex
	changed *sync.Cond
	state   State
	closed  bool
	// unread is the data that no Read has returned.
	unread bytes.Buffer
	// room is how many bytes may be sent.
	room                        int
	readDeadline, writeDeadline deadline
}

// newConn returns a connection that a helper has opened, and starts to receive its data.
func newConn(stream *transport.Stream, helper, address string, release func()) *Conn {
	c := &Conn{stream: stream, helper: helper, address: address, release: release, state: StateOpen, room: toUpstreamCredits * creditBytes}
	c.changed = sync.NewCond(&c.mu)
	go c.receive()
	return c
}

// Helper returns the session address of the daemon that relays the connection.
func (c *Conn) Helper() string { return c.helper }

// State returns the state as the daemon that relays the connection last reported it. There
// may be unread data in any state.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Idle reports whether the connection is open and has no unread data.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == StateOpen && !c.closed && c.unread.Len() == 0
}

// receive takes what the helper sends until the connection has ended. It never waits for a
// Read, because the helper sends no more than it has credit for.
func (c *Conn) receive() {
	defer c.release()
	for {
		d := &pb.RelayData{}
		if err := c.stream.Recv(d); err != nil {
			// The connection was closed here, or the helper is gone. A helper that ends the
			// call without telling what became of the upstream is leaving.
			c.end(StateLost)
			return
		}
		switch {
		case d.Reset_:
			c.end(StateReset)
			return
		case d.End:
			c.setEnded()
		case isCreditGrant(d):
			c.grant()
		default:
			if !c.push(d.Data) {
				c.end(StateLost)
				return
			}
		}
	}
}

// end ends both directions.
func (c *Conn) end(state State) {
	c.mu.Lock()
	if !c.closed && (c.state == StateOpen || c.state == StateEnded) {
		c.state = state
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.stream.Abort()
}

func (c *Conn) setEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = StateEnded
	c.changed.Broadcast()
}

func (c *Conn) grant() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room += creditBytes
	c.changed.Broadcast()
}

// push adds data for Read. It reports false if the helper had no credit for it.
func (c *Conn) push(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	if c.unread.Len()+len(data) > fromUpstreamCredits*creditBytes {
		return false
	}
	c.unread.Write(data)
	c.changed.Broadcast()
	return true
}

// Read implements net.Conn. After the data it returns io.EOF if the upstream has ended its
// direction, ECONNRESET if the connection was reset, and ErrLost if the helper was lost.
func (c *Conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	n, err := c.take(b)
	for range c.read.add(n) {
		if c.stream.Send(creditGrant()) != nil {
			// The connection has ended; receive finds out why.
			break
		}
	}
	return n, err
}

// take waits for data and moves it to b.
func (c *Conn) take(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case c.unread.Len() > 0:
			n, err := c.unread.Read(b)
			c.shrink()
			return n, err
		case len(b) == 0:
			return 0, nil
		case c.state == StateEnded:
			return 0, io.EOF
		case c.state != StateOpen:
			return 0, c.stateError()
		}
		c.changed.Wait()
	}
}

// shrink frees a long buffer that is empty. The caller holds mu.
func (c *Conn) shrink() {
	if c.unread.Len() == 0 && c.unread.Cap() > maxIdleBuffer {
		c.unread = bytes.Buffer{}
	}
}

// stateError returns the error of a connection that was reset or lost. The caller holds mu.
func (c *Conn) stateError() error {
	if c.state == StateReset {
		return syscall.ECONNRESET
	}
	return ErrLost
}

// Write implements net.Conn. It returns when the data is on its way to the helper.
func (c *Conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for written < len(b) {
		n, err := c.reserve(min(len(b)-written, maxDataBytes))
		if err != nil {
			return written, err
		}
		if err := c.stream.Send(&pb.RelayData{Data: b[written : written+n]}); err != nil {
			return written, c.sendError()
		}
		written += n
	}
	return written, nil
}

// reserve waits until at least one of n bytes may be sent, and returns how many may.
func (c *Conn) reserve(n int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.state == StateReset || c.state == StateLost:
			return 0, c.stateError()
		case c.writeDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case c.room > 0:
			n = min(n, c.room)
			c.room -= n
			return n, nil
		}
		c.changed.Wait()
	}
}

// sendError returns the error of a connection on which nothing can be sent.
func (c *Conn) sendError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.state == StateReset:
		return syscall.ECONNRESET
	}
	return ErrLost
}

// Close implements net.Conn. The helper closes the connection to the upstream as soon as it
// is told.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.unread = bytes.Buffer{}
	c.readDeadline.stop()
	c.writeDeadline.stop()
	c.changed.Broadcast()
	c.mu.Unlock()
	if wasClosed {
		return net.ErrClosed
	}
	// Abort waits until the helper's session takes the message, which may be stuck.
	go c.stream.Abort()
	return nil
}

// LocalAddr returns the address of the daemon that relays the connection.
func (c *Conn) LocalAddr() net.Addr { return address(c.helper) }

// RemoteAddr returns the address of the upstream.
func (c *Conn) RemoteAddr() net.Addr { return address(c.address) }

// address is a net.Addr.
type address string

func (a address) Network() string { return "relay" }
func (a address) String() string  { return string(a) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.setDeadline(&c.readDeadline, t); err != nil {
		return err
	}
	return c.setDeadline(&c.writeDeadline, t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setDeadline(&c.readDeadline, t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setDeadline(&c.writeDeadline, t)
}

// setDeadline sets a deadline. The caller holds mu.
func (c *Conn) setDeadline(d *deadline, t time.Time) error {
	if c.closed {
		return net.ErrClosed
	}
	d.stop()
	*d = deadline{at: t}
	if !t.IsZero() {
		var timer *time.Timer
		timer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			d.expired = d.expired || d.timer == timer
			c.changed.Broadcast()
		})
		d.timer = timer
	}
	c.changed.Broadcast()
	return nil
}

// deadline is the time after which a Read or Write fails; none if at is zero. Its timer
// wakes those that wait.
type deadline struct {
	at      time.Time
	expired bool
	timer   *time.Timer
}

func (d *deadline) passed() bool {
	return d.expired || !d.at.IsZero() && !time.Now().Before(d.at)
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}
