package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a connection attempt. Links take milliseconds; a lost
	// opening packet is repeated only after a second, so that another attempt
	// is faster than waiting.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged. It finds
	// connections that went silent.
	userTimeout = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept when the upstream does not
	// say how long it keeps it.
	defaultIdle = 1500 * time.Millisecond
	// idleMargin is taken off the time that the upstream states, so that a
	// request does not cross its close.
	idleMargin = 700 * time.Millisecond
	// singleWrite is the body size up to which the request is written in one
	// call before the answer is read.
	singleWrite = 128 << 10
	// readBuffer suits a head and a few events.
	readBuffer = 4 << 10
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// SendError tells how far a failed send got.
type SendError struct {
	// Left is false when no byte of the request left this process.
	Left bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Left {
		return "request may have reached the upstream: " + e.Err.Error()
	}
	return "request was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	rd *bufio.Reader
	// uses counts the requests sent on it.
	uses int
	// expires is when the connection is too old to reuse.
	expires time.Time
	// wrote is closed when a long body is written; nil for short ones.
	wrote chan error
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option a silent connection is found by the deadline
			// of the request, only later.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
		})
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, rd: bufio.NewReaderSize(c, readBuffer)}, nil
}

// alive reports whether an idle connection can take a request. Bytes or an end
// that wait to be read mean that it can't.
func (c *conn) alive(now time.Time) bool {
	if now.After(c.expires) || c.rd.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// outgoing is a request as it is written.
type outgoing struct {
	method string
	// uri is the raw path and query.
	uri    string
	host   string
	header http.Header
	body   []byte
	// hasBody tells an empty body from none.
	hasBody bool
}

// write sends a request.
func (c *conn) write(o *outgoing) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(o.body), singleWrite))
	b.WriteString(o.method + " " + o.uri + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	if err := o.header.Write(&b); err != nil {
		return err
	}
	if o.hasBody {
		b.WriteString("Content-Length: " + itoa(len(o.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	c.wrote = nil
	c.uses++
	if len(o.body) <= singleWrite {
		b.Write(o.body)
		_, err := c.Write(b.Bytes())
		return err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	// An upstream may answer before it has read a long body.
	c.wrote = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.Write(o.body)
		done <- err
	}(c.wrote)
	return nil
}

// fullyWritten reports whether no part of the request is left to write.
func (c *conn) fullyWritten() bool {
	if c.wrote == nil {
		return true
	}
	select {
	case err := <-c.wrote:
		c.wrote = nil
		return err == nil
	default:
		return false
	}
}

// maxForeign is the number of answers to other requests that are skipped.
const maxForeign = 2

// errForeign means that the answers belong to other requests.
var errForeign = errors.New("the answer belongs to another request")

// read returns the head of the answer to a request. Answers that name another
// request are skipped.
func (c *conn) read(p Protocol, method, id string) (*http.Response, ResponseInfo, error) {
	request := &http.Request{Method: method}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(c.rd, request)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a := p.ParseResponse(resp.StatusCode, resp.Header)
		if a.RequestID == id || a.RequestID == "" && c.uses == 1 {
			a.Close = a.Close || resp.Close
			return resp, a, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ResponseInfo{}, err
		}
	}
	return nil, ResponseInfo{}, errForeign
}

// clean reports whether the connection can carry another request after an
// answer was read to its end.
func (c *conn) clean(resp *http.Response, a *ResponseInfo) bool {
	return !a.Close && !resp.Close && c.rd.Buffered() == 0 && c.fullyWritten()
}

// rest sets how long the connection may stay idle.
func (c *conn) rest(a *ResponseInfo, now time.Time) {
	idle := defaultIdle
	if a.KeepAlive > 0 {
		idle = max(a.KeepAlive-idleMargin, a.KeepAlive/2)
	}
	c.expires = now.Add(idle)
}
