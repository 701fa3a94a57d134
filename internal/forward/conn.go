package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/response"
)

const (
	// dialTimeout limits a connection attempt. Round trips take milliseconds,
	// while TCP retransmits a lost SYN only after 1 s, so a new attempt is faster.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: how long sent data may remain
	// unacknowledged. It detects dead connections.
	unackedTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream
	// does not announce its own keep-alive time.
	defaultIdleTimeout = 1500 * time.Millisecond
	// keepAliveMargin is subtracted from the upstream's keep-alive time, up to half
	// of it, so that no request is sent while the upstream closes the connection.
	keepAliveMargin = 700 * time.Millisecond
	// maxSingleWriteBytes is the body size up to which the whole request is
	// written, in one call, before the response is read.
	maxSingleWriteBytes = 128 << 10
	// readBufferBytes is enough for a response header and a few events.
	readBufferBytes = 4 << 10
)

// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeoutOption = 0x12

// SendError is the error of an upstream request that got no valid response.
type SendError struct {
	// MaybeSent is false if no byte of the request was sent.
	MaybeSent bool
	Err       error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.MaybeSent {
		return "request may have reached the upstream: " + e.Err.Error()
	}
	return "request was not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	writes response.Writes
	// number tells the connections of this process apart in the log.
	number uint64
	rd     *bufio.Reader
	// limit bounds what rd reads from the connection.
	limit *byteLimit
	// requests is the number of requests sent on the connection.
	requests int
	// carried holds the ids of the requests sent on the connection.
	carried requestIDs
	// expires is the time after which the idle connection is not reused, and wasIdle is set
	// once it was kept for reuse.
	expires time.Time
	wasIdle bool
	// processAt is a time at which the process ran that accepted the connection.
	processAt time.Time
	// process is the process that accepted the connection.
	process process
	// relayed is the connection itself if another daemon relays it, otherwise nil.
	relayed RelayedConn
	// openedAt is when the attempt began that opened the connection, since the start of the
	// server, if it is relayed.
	openedAt time.Duration
	// heardAt is when bytes last came on the connection, and waitsSince when the entry began
	// to wait for them, in nanoseconds since the start of the server. heardAt is kept for
	// direct connections only.
	heardAt, waitsSince atomic.Int64
	// movable is set while the entry waits on the connection for a request that can be sent
	// again elsewhere. moveAsked then receives a value if the link is judged down.
	movable   atomic.Bool
	moveAsked chan struct{}
	// retireTime is how long the connection is used after its target is reached directly,
	// if it is relayed.
	retireTime time.Duration
	// closed is called when the connection is closed; nil for nothing.
	closed func(*conn)
	// writeDone receives the result of writing a long body in the background; nil
	// if nothing is being written.
	writeDone chan error
}

// DialFunc opens a TCP connection to an upstream's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewDialFunc returns the function that opens connections from a local address, or from
// one that the system chooses if source is not valid.
func NewDialFunc(source netip.Addr) DialFunc {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// If the option cannot be set, a dead connection is still detected
			// by the deadline of the request, only later.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout/time.Millisecond))
		})
	}}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

func newConn(c net.Conn) *conn {
	limit, now := &byteLimit{rd: c, remaining: unlimitedBytes}, time.Now()
	return &conn{
		Conn: c, number: connCount.Add(1), rd: bufio.NewReaderSize(limit, readBufferBytes), limit: limit,
		expires: now.Add(defaultIdleTimeout), processAt: now, retireTime: rand.N(maxRetireTime),
		moveAsked: make(chan struct{}, 1),
	}
}

// askMove asks that the request is moved that waits on the connection.
func (c *conn) askMove() {
	select {
	case c.moveAsked <- struct{}{}:
	default:
	}
}

// forgetMove forgets what was asked for an earlier request.
func (c *conn) forgetMove() {
	select {
	case <-c.moveAsked:
	default:
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed != nil {
		c.closed(c)
	}
	return c.Conn.Close()
}

// connCount is the number of connections that this process has opened to upstreams.
var connCount atomic.Uint64

// byteLimit is a reader that fails after a number of bytes.
type byteLimit struct {
	rd        io.Reader
	remaining int64
	// heard is called when bytes have come; nil for nothing.
	heard func()
}

const unlimitedBytes = math.MaxInt64

// errTooLong means that an upstream sent more than any response has.
var errTooLong = errors.New("response exceeds the limit")

// Read implements io.Reader.
func (l *byteLimit) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.rd.Read(b)
	l.remaining -= int64(n)
	if n > 0 && l.heard != nil {
		l.heard()
	}
	return n, err
}

// alive reports whether an idle connection can be reused. It cannot if it has
// expired, was closed by the upstream or has unread data.
func (c *conn) alive(now time.Time) bool { return !now.After(c.expires) && c.quiet() }

// quiet reports whether a connection without a request is open and has no unread data.
func (c *conn) quiet() bool {
	if c.rd.Buffered() > 0 {
		return false
	}
	if c.relayed != nil {
		return c.relayed.Idle()
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// maxUnreadBuffers limits what skipUnread discards.
const maxUnreadBuffers = 4

// skipUnread discards what has arrived on a connection without a request, and reports whether the
// connection is open and quiet then.
func (c *conn) skipUnread() bool {
	var b [readBufferBytes]byte
	for range maxUnreadBuffers {
		if c.quiet() {
			return true
		}
		// A deadline that has passed would hide what has arrived.
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if n, err := c.rd.Read(b[:]); n == 0 || err != nil {
			return false
		}
	}
	return c.quiet()
}

// outboundRequest is a request to an upstream.
type outboundRequest struct {
	method string
	// uri is the path and query as the caller sent them.
	uri    string
	host   string
	header http.Header
	body   []byte
	// hasBody distinguishes an empty body from no body.
	hasBody bool
	// id is the id by which a response is matched; empty for none.
	id string
}

// writeRequest writes a request. A body longer than maxSingleWriteBytes is written in
// the background.
func (c *conn) writeRequest(req *outboundRequest) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(req.body), maxSingleWriteBytes))
	b.WriteString(req.method + " " + req.uri + " HTTP/1.1\r\nHost: " + req.host + "\r\n")
	if err := req.header.Write(&b); err != nil {
		return err
	}
	if req.hasBody {
		b.WriteString("Content-Length: " + itoa(len(req.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	c.writeDone = nil
	c.requests++
	c.carried.add(req.id)
	if len(req.body) <= maxSingleWriteBytes {
		b.Write(req.body)
		_, err := c.Write(b.Bytes())
		return err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	// The upstream may respond before it has read a long body.
	c.writeDone = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.Write(req.body)
		done <- err
	}(c.writeDone)
	return nil
}

// fullyWritten reports whether the request was written completely.
func (c *conn) fullyWritten() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		c.writeDone = nil
		return err == nil
	default:
		return false
	}
}

const (
	// maxSkippedResponses limits the responses to other requests that are skipped before
	// the expected one.
	maxSkippedResponses = 2
	// maxResponseHeadBytes limits the heads of a response and of those before it, interim
	// (1xx) ones and skipped ones, maxSkippedBytes the body of each skipped one.
	maxResponseHeadBytes = 64 << 10
	maxSkippedBytes      = maxBufferedBytes
)

// errMismatched means that no response with the id of the request was found.
var errMismatched = errors.New("response belongs to another request")

// readResponse reads the header of the response to the request with the given id.
// Responses with another request id are skipped. One without an id is accepted only
// for the first request of the connection. The connection must not have carried a
// request with the id before: the response might be that of an earlier attempt.
func (c *conn) readResponse(p Protocol, method, id string) (*http.Response, ResponseInfo, error) {
	req := &http.Request{Method: method}
	c.limit.remaining = maxResponseHeadBytes
	defer func() { c.limit.remaining = unlimitedBytes }()
	for skipped := 0; skipped <= maxSkippedResponses; {
		resp, err := http.ReadResponse(c.rd, req)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		if err := response.CheckStatus(resp); err != nil {
			return nil, ResponseInfo{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := p.ParseResponse(resp.StatusCode, resp.Header)
		if info.RequestID == id || info.RequestID == "" && c.requests == 1 && c.process.maySend(resp, &info) {
			info.ConnectionClose = info.ConnectionClose || resp.Close
			return resp, info, nil
		}
		if resp.Close || endsWithConnection(resp) || info.RequestID == "" && c.requests == 1 {
			break
		}
		skipped++
		if err := c.skipBody(resp); err != nil {
			return nil, ResponseInfo{}, err
		}
	}
	return nil, ResponseInfo{}, errMismatched
}

// endsWithConnection reports whether the body of a response has neither a length nor
// chunks, so that only the end of the connection ends it.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// skipBody reads the body of a response to another request.
func (c *conn) skipBody(resp *http.Response) error {
	c.limit.remaining = unlimitedBytes
	defer func() { c.limit.remaining = maxResponseHeadBytes }()
	return discardBody(resp, maxSkippedBytes)
}

// readBody reads a whole body. It fails if the body is longer than limit.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, err
}

// discardBody reads a body to its end. It fails if the body is longer than limit.
func discardBody(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		return errTooLong
	}
	return err
}

// reusable reports whether the connection can carry another request, after
// resp was read to its end.
func (c *conn) reusable(resp *http.Response, info *ResponseInfo) bool {
	return !info.ConnectionClose && !resp.Close && c.rd.Buffered() == 0 && c.fullyWritten() && !c.carried.full()
}

// setIdleExpiry sets the time after which the idle connection is not reused.
func (c *conn) setIdleExpiry(info *ResponseInfo, now time.Time) {
	timeout := defaultIdleTimeout
	if info.KeepAlive > 0 {
		timeout = max(info.KeepAlive-keepAliveMargin, info.KeepAlive/2)
	}
	c.expires = now.Add(timeout)
}
