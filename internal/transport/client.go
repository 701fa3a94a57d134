package transport

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	dialTimeout  = 2 * time.Second
	minRedial    = 20 * time.Millisecond
	maxRedial    = 2 * time.Second
	redialFactor = 2
)

// Client keeps one session to one address. It dials on first use and again
// after a failure, no more often than the redial delay allows. It is safe for
// concurrent use.
type Client struct {
	addr string
	opts Options

	mu      sync.Mutex
	sess    *yamux.Session
	delay   time.Duration
	retryAt time.Time
	lastErr error
	closed  bool
}

// NewClient returns a client for addr ("host:port").
func NewClient(addr string, opts Options) *Client {
	opts.setDefaults()
	return &Client{addr: addr, opts: opts}
}

// Addr returns the address that the client dials.
func (c *Client) Addr() string {
	return c.addr
}

// Call sends req and waits for resp. ctx bounds the wait and must end.
func (c *Client) Call(ctx context.Context, m Method, req, resp proto.Message) error {
	st, err := c.Open(ctx, m)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := st.closeOnDone(ctx)
	defer stop()
	if err := st.Send(req); err != nil {
		return deadline(ctx, err)
	}
	err = st.Recv(resp)
	if err == io.EOF {
		return Errorf(pb.Status_UNAVAILABLE, "peer %s ended the call without a response", c.addr)
	}
	return deadline(ctx, err)
}

// Open starts a call of several messages. The caller closes the stream. ctx
// bounds only the dial.
func (c *Client) Open(ctx context.Context, m Method) (*Stream, error) {
	sess, err := c.session(ctx)
	if err != nil {
		return nil, notSent(err, "connecting to "+c.addr)
	}
	conn, err := sess.OpenStream()
	if err != nil {
		_ = sess.Close()
		return nil, notSent(err, "opening stream to "+c.addr)
	}
	st := newStream(conn, c.opts.Clock)
	st.method = m
	return st, nil
}

// Close ends the session; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.sess != nil {
		_ = c.sess.Close()
	}
}

func deadline(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return &Error{Code: pb.Status_DEADLINE, Message: ctx.Err().Error(), Sent: true}
}

func (c *Client) session(ctx context.Context) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.sess != nil && !c.sess.IsClosed() {
		return c.sess, nil
	}
	if c.lastErr != nil && time.Now().Before(c.retryAt) {
		return nil, c.lastErr
	}
	sess, err := c.dial(ctx)
	if err != nil {
		c.backOff(err)
		return nil, err
	}
	c.sess = sess
	c.delay = 0
	c.lastErr = nil
	return sess, nil
}

// backOff sets the time before which no new dial is made. The jitter keeps
// hundreds of daemons from dialing a restarted peer at the same moment.
func (c *Client) backOff(err error) {
	c.delay = min(max(c.delay*redialFactor, minRedial), maxRedial)
	c.lastErr = err
	c.retryAt = time.Now().Add(c.delay/2 + rand.N(c.delay/2+1))
}

func (c *Client) dial(ctx context.Context) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := hedge(ctx, hedgeInterval, func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", c.addr)
	})
	if err != nil {
		return nil, err
	}
	if c.opts.TLS != nil {
		conn = tls.Client(conn, c.tlsConfig())
	}
	sess, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := c.sendHello(ctx, sess); err != nil {
		_ = sess.Close()
		return nil, err
	}
	return sess, nil
}

// tlsConfig expects the peer's certificate to name the IP address that was
// dialed, unless the settings name another one.
func (c *Client) tlsConfig() *tls.Config {
	cfg := c.opts.TLS.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(c.addr)
	}
	return cfg
}

func (c *Client) sendHello(ctx context.Context, sess *yamux.Session) error {
	conn, err := sess.OpenStream()
	if err != nil {
		return err
	}
	st := newStream(conn, c.opts.Clock)
	st.method = MethodHello
	defer st.Close()
	stop := st.closeOnDone(ctx)
	defer stop()
	if err := st.Send(c.opts.Self); err != nil {
		return err
	}
	return st.Recv(&pb.Hello{})
}
