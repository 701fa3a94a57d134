package budget

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// connBytes is what a connection takes without a request: its goroutine with its stack,
	// and the two buffers of net/http.
	connBytes = 16 << 10
	// lineBytes is what a header line takes beside its bytes, once parsed and once copied for
	// an upstream: an entry of a map that may be half empty, a slice and a string. Measured
	// with Go 1.26 for 700 to 9,900 lines of three letters without values: 84 to 117 bytes
	// parsed, 65 to 109 copied.
	lineBytes = 210
	// readerBytes is the size of net/http's buffer of a connection. What a read leaves there
	// belongs to the next request.
	readerBytes = 4 << 10
	// socketBytes limits what the kernel holds for a connection in each direction. The kernel
	// doubles it. With 6 ms to a caller and back it lets through 20 MB/s.
	socketBytes = 64 << 10
	// MaxHeaderBytes limits the headers of requests on listeners that are not for callers.
	MaxHeaderBytes = 16 << 10
	// refusalTime limits the write of a refusal.
	refusalTime = 50 * time.Millisecond
)

// refusal answers a request whose header has not been read whole, so that it has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 7\r\n\r\nmemory\n"

// http2Preface begins a connection of HTTP/2. Anything shorter may be followed by the header
// lines of a request that net/http parses as one of HTTP/1.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// errRefused is the error of a read, because net/http answers any other one with 400.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the memory for callers is used up")}

// Listen listens on a TCP address for connections that count against the budget. The server
// must be one that Configure was called for.
func (b *Budget) Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	if b != nil {
		// Accepted connections inherit the sizes.
		c.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
			})
		}
	}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil || b == nil {
		return l, err
	}
	return &listener{l, b}, nil
}

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, giveBack: l.budget.takeCaller()}
		if conn.giveBack != nil {
			if conn.account = l.budget.open(connBytes, conn.end); conn.account != nil {
				return conn, nil
			}
		}
		_ = conn.closeDescriptor()
	}
}

// Conn is a caller's connection that counts the lines of headers as they arrive.
type Conn struct {
	net.Conn
	account *Account
	// giveBack gives the descriptor back; nil for none.
	giveBack func()
	// opaque is set if the bytes are not those of HTTP/1. prefaceBytes is how much of the
	// preface of HTTP/2 has arrived, and http1 set once something else has.
	opaque       bool
	prefaceBytes int
	http1        bool
	// last is what the newest bytes would take as a part of a header. It is used by the
	// server's one reader at a time.
	last int64
	// lastCounted is set if last is in the account.
	lastCounted bool
	// refused is set once the refusal was written; it is used as last is.
	refused bool

	mu sync.Mutex
	// ended is set once reads are to fail, closing if they are to fail after the request that
	// is being served.
	ended, closing bool
}

// end ends the connection; see Account.
func (c *Conn) end(s stage) {
	if s == stageWriting {
		// A response without a length must not look complete, and what the kernel holds for
		// it is dropped.
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.closeDescriptor()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger is that of net.TCPConn; it does nothing on another connection.
func (c *Conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if c.opaque {
		return n, err
	}
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.account.receivesHeader() && c.account.Ended() {
			c.refuse()
		}
		return n, err
	}
	if len(p) > readerBytes {
		return n, err
	}
	if c.beginsHTTP2(p[:n]) {
		c.opaque = true
		return n, err
	}
	cost := int64(2*n + lineBytes*bytes.Count(p[:n], []byte{'\n'}))
	if !c.account.headerArrives() {
		// net/http reads single bytes to notice that a caller leaves.
		if n > 1 {
			c.last, c.lastCounted = cost, false
		}
		return n, err
	}
	c.last, c.lastCounted = cost, true
	if !c.account.Reserve(cost) {
		c.refuse()
		return 0, errRefused
	}
	return n, err
}

// beginsHTTP2 reports whether the bytes complete the preface of HTTP/2, which may arrive in
// several reads.
func (c *Conn) beginsHTTP2(p []byte) bool {
	if c.http1 {
		return false
	}
	rest := http2Preface[c.prefaceBytes:]
	p = p[:min(len(p), len(rest))]
	if string(p) != rest[:len(p)] {
		c.http1 = true
		return false
	}
	c.prefaceBytes += len(p)
	return c.prefaceBytes == len(http2Preface)
}

// refuse answers a request whose header is not complete.
func (c *Conn) refuse() {
	c.refused = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	// The caller may have left.
	_, _ = c.Conn.Write([]byte(refusal))
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.account.enter(stageWriting)
	n, err := c.Conn.Write(p)
	c.account.enter(before)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.close()
	return c.closeDescriptor()
}

func (c *Conn) closeDescriptor() error {
	err := c.Conn.Close()
	if c.giveBack != nil {
		c.giveBack()
	}
	return err
}

// headerArrives notes that bytes have arrived and reports whether they are those of a header.
func (a *Account) headerArrives() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == stageWaiting {
		a.stage, a.since = stageHeader, a.budget.now()
	}
	return a.stage == stageHeader
}

func (a *Account) receivesHeader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stage == stageHeader
}

// Configure makes a server count its connections, which come from Listen, and its requests
// against the budget. Fields of the server that are set already are kept.
func (b *Budget) Configure(srv *http.Server) {
	if srv.MaxHeaderBytes == 0 {
		srv.MaxHeaderBytes = MaxHeaderBytes
	}
	if b == nil {
		return
	}
	connState, connContext := srv.ConnState, srv.ConnContext
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if own := unwrap(c); own != nil {
			own.setState(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if own := unwrap(c); own != nil {
			ctx = context.WithValue(ctx, accountKey{}, own.account)
		}
		return ctx
	}
	if srv.TLSConfig != nil {
		inner := srv.ConnState
		srv.ConnState = func(c net.Conn, state http.ConnState) {
			if own := unwrap(c); own != nil && state == http.StateNew {
				own.opaque = true
			}
			inner(c, state)
		}
	}
}

func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.account.enter(stageServing)
		c.serve()
	case http.StateIdle:
		c.account.enter(stageWaiting)
		c.served()
		c.account.setHeld(connBytes + c.last)
		c.countRest()
	}
}

// countRest counts a header that may have arrived behind a body. Most reads of a body end with
// it, so what a usual body would take is left out.
func (c *Conn) countRest() {
	if c.lastCounted || c.last <= ordinaryBytes {
		return
	}
	c.lastCounted = true
	if !c.account.Reserve(c.last) {
		c.end(stageWaiting)
	}
}

// serve keeps a connection that is to end until the response to a request that has just
// become complete: net/http takes a failed read for a caller that has left.
func (c *Conn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.ended, c.closing = false, true
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

func (c *Conn) served() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		c.ended = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// unwrap returns the connection of the budget below c, or nil.
func unwrap(c net.Conn) *Conn {
	for {
		switch t := c.(type) {
		case *Conn:
			return t
		case interface{ NetConn() net.Conn }:
			c = t.NetConn()
		default:
			return nil
		}
	}
}

type accountKey struct{}

// FromContext returns the account of the connection that a request came on, given the
// request's context, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
