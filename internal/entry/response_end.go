package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/response"
	"godwitward.example/godwitward/policy"
)

const (
	// connSettleTime is how long after the first connection of a killed process all others
	// are closed, and connectPause the time between two new connections that tell.
	connSettleTime = 5 * time.Millisecond
	connectPause   = 10 * time.Millisecond
	// connectTimeout limits each of them.
	connectTimeout = 150 * time.Millisecond
	// endCheckTimeout limits the check at the end of a response.
	endCheckTimeout = 400 * time.Millisecond
	// A body that comes faster than bulkBytesPerSecond, by bulkBytes, may wait in the memory
	// of a kernel whose process has ended.
	bulkBytesPerSecond = 256 << 10
	bulkBytes          = 64 << 10
	// slowCallerTime is the time between two reads from which a caller counts as slow.
	slowCallerTime = 20 * time.Millisecond
)

var errEndUnproved = errors.New("the upstream may have ended before its answer did")

// processState tells what is known of the process that sends a response.
type processState struct {
	// replaced is set if another process announces itself under the id.
	replaced bool
	// leaving is set if the process takes no new calls.
	leaving bool
}

// unframedBody is the body of a response that has neither a length nor chunks. It returns
// io.EOF only if the process that sent it has not ended with it: the connections of a
// process that is killed end in the same way.
type unframedBody struct {
	io.ReadCloser
	conn  *upstreamConn
	state func() processState
	// aliveAt is when the process is known to have been alive.
	aliveAt  time.Time
	lastRead time.Time
	// excess is the number of bytes that came faster than bulkBytesPerSecond.
	excess float64
	// witness is another connection to the process, opened while the body arrives.
	witness *upstreamConn
	// err is returned once the end was reached.
	err error
}

// checkEnd makes the end of a response be checked if only the end of its connection ends it.
func checkEnd(resp *http.Response, conn net.Conn, state func() processState) {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody {
		return
	}
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	if c, ok := conn.(*upstreamConn); ok {
		resp.Body = &unframedBody{ReadCloser: resp.Body, conn: c, state: state, aliveAt: time.Now()}
	}
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	start := time.Now()
	open := b.conn.open()
	if open && b.excess <= bulkBytes {
		b.aliveAt = start
	}
	b.watch(start)
	n, err := b.ReadCloser.Read(p)
	b.lastRead = time.Now()
	// Time in which the caller is waited for brings no bytes, however many there are.
	b.excess = max(0, b.excess-bulkBytesPerSecond*b.lastRead.Sub(start).Seconds()) + float64(n)
	if open && b.excess <= bulkBytes {
		// A read that waits returns as soon as the end arrives.
		b.aliveAt = b.lastRead
	}
	if err == io.EOF && (b.conn.writes.EndedByReset(b.conn.Conn) || !b.processAlive()) {
		err = errEndUnproved
	}
	b.err = err
	return n, err
}

// watch opens a witness when the end of the body may be seen too late for a new connection
// to tell: the body comes fast, or the caller is slow.
func (b *unframedBody) watch(now time.Time) {
	if b.witness != nil && !b.witness.open() {
		_ = b.witness.Close()
		b.witness = nil
	}
	slowCaller := !b.lastRead.IsZero() && now.Sub(b.lastRead) > slowCallerTime
	if b.witness == nil && (slowCaller || b.excess > bulkBytes) && now.Sub(b.aliveAt) < policy.ShortestRestart {
		b.openWitness()
	}
}

func (b *unframedBody) openWitness() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	c, err := b.conn.table.dial(ctx, b.conn.addr)
	if err != nil {
		return
	}
	b.witness = c
	// Within ShortestRestart it is a connection to the same process.
	b.aliveAt = c.openedAt
}

// Close implements io.Closer.
func (b *unframedBody) Close() error {
	if b.witness != nil {
		_ = b.witness.Close()
	}
	return b.ReadCloser.Close()
}

// processAlive reports whether the process that sent the response is alive after its end.
func (b *unframedBody) processAlive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	end := policy.ResponseEnd{Age: time.Since(b.aliveAt)}
	for ctx.Err() == nil {
		state := b.state()
		end.Replaced, end.Leaving = state.replaced, state.leaving
		end.Older, end.OlderOpen = b.conn.table.older(b.conn, b.aliveAt)
		switch end.Next() {
		case policy.EndComplete:
			return true
		case policy.EndSettle:
			sleep(ctx, connSettleTime)
			end.Settled = true
		case policy.EndConnect:
			result := b.conn.table.try(ctx, b.conn.addr)
			end.Connects = append(end.Connects, result)
			if result != policy.ConnectOpen {
				sleep(ctx, connectPause)
			}
			end.Settled = true
		default:
			return false
		}
	}
	return false
}

// connTable contains the open connections to plain upstreams.
type connTable struct {
	dialer net.Dialer

	mu     sync.Mutex
	byAddr map[string]map[*upstreamConn]struct{}
}

func newConnTable(dialTimeout time.Duration) *connTable {
	return &connTable{dialer: net.Dialer{Timeout: dialTimeout}, byAddr: map[string]map[*upstreamConn]struct{}{}}
}

// DialContext is used by the transports.
func (t *connTable) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	c, err := t.dial(ctx, addr)
	if err != nil {
		// A nil *upstreamConn is not a nil net.Conn.
		return nil, err
	}
	return c, nil
}

func (t *connTable) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	conn, err := t.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &upstreamConn{Conn: conn, table: t, addr: addr, openedAt: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddr[addr] == nil {
		t.byAddr[addr] = map[*upstreamConn]struct{}{}
	}
	t.byAddr[addr][c] = struct{}{}
	return c, nil
}

// older counts the connections, other than one, to the process that ran at a time, and
// those of them that are open.
func (t *connTable) older(other *upstreamConn, at time.Time) (all, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.byAddr[other.addr] {
		if c == other || c.openedAt.After(at) {
			continue
		}
		all++
		if c.open() {
			open++
		}
	}
	return all, open
}

// try opens a connection and tells whether it stays open.
func (t *connTable) try(ctx context.Context, addr string) policy.ConnectResult {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := t.dial(ctx, addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return policy.ConnectRefused
	case errors.Is(err, syscall.ECONNRESET):
		return policy.ConnectReset
	case err != nil:
		return policy.ConnectFailed
	}
	defer c.Close()
	sleep(ctx, connSettleTime)
	switch c.state() {
	case response.Open:
		return policy.ConnectOpen
	case response.Reset:
		return policy.ConnectReset
	}
	return policy.ConnectFailed
}

// upstreamConn is a connection to a plain upstream.
type upstreamConn struct {
	net.Conn
	writes   response.Writes
	table    *connTable
	addr     string
	openedAt time.Time
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	c.table.mu.Lock()
	delete(c.table.byAddr[c.addr], c)
	if len(c.table.byAddr[c.addr]) == 0 {
		delete(c.table.byAddr, c.addr)
	}
	c.table.mu.Unlock()
	return c.Conn.Close()
}

// open reports whether the other side has not ended the connection.
func (c *upstreamConn) open() bool { return c.state() == response.Open }

// state returns the state of the connection in the kernel.
func (c *upstreamConn) state() response.ConnState { return response.StateOf(c.Conn) }

// Write implements net.Conn.
func (c *upstreamConn) Write(p []byte) (int, error) { return c.writes.Write(c.Conn, p) }
