package transport

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	dialTimeout    = 2 * time.Second
	minRedialDelay = 20 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	redialFactor   = 2
)

// DialTCP opens a TCP connection to an address ("host:port").
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Client keeps one session to one address. It dials on first use and redials
// after a failure, with exponential backoff. It is safe for concurrent use.
type Client struct {
	addr string
	opts Options

	// newest is the newest session, nil before the first one. It is read without mu, which is
	// held while a session is dialed.
	newest atomic.Pointer[peerSession]

	mu          sync.Mutex
	sess        *session
	redialDelay time.Duration
	nextDialAt  time.Time
	lastDialErr error
	closed      bool
}

// peerSession is a session with the hello of the daemon at its other end.
type peerSession struct {
	*session
	peer *pb.Hello
}

// NewClient returns a client for addr ("host:port").
func NewClient(addr string, opts Options) *Client {
	opts.setDefaults()
	return &Client{addr: addr, opts: opts}
}

// Addr returns the address passed to NewClient.
func (c *Client) Addr() string {
	return c.addr
}

// Call sends req and waits for resp. ctx bounds the wait, so it must have a
// deadline or be cancelled eventually.
func (c *Client) Call(ctx context.Context, m Method, req, resp proto.Message) error {
	st, err := c.Open(ctx, m)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := st.closeOnDone(ctx)
	defer stop()
	if err := st.Send(req); err != nil {
		return deadlineError(ctx, err)
	}
	err = st.Recv(resp)
	if err == io.EOF {
		return Errorf(pb.Status_UNAVAILABLE, "peer %s ended the call without a response", c.addr)
	}
	return deadlineError(ctx, err)
}

// Open opens the stream of a call with any number of messages. The caller closes
// the stream. ctx bounds only the dial.
func (c *Client) Open(ctx context.Context, m Method) (*Stream, error) {
	sess, err := c.session(ctx)
	if err != nil {
		return nil, notSentError(err, "connecting to "+c.addr)
	}
	conn, err := sess.open()
	if err != nil {
		sess.close()
		return nil, notSentError(err, "opening stream to "+c.addr)
	}
	st := newStream(conn, &c.opts)
	st.method = m
	return st, nil
}

// Connect opens the session, unless it is open. It returns the hello of the peer and a
// channel that is closed when the session ends.
func (c *Client) Connect(ctx context.Context) (peer *pb.Hello, ended <-chan struct{}, err error) {
	sess, err := c.session(ctx)
	if err != nil {
		return nil, nil, notSentError(err, "connecting to "+c.addr)
	}
	return c.Peer(), sess.CloseChan(), nil
}

// Peer returns the hello of the daemon at the other end of the newest session, or an empty
// one before the first session. It does not wait while a session is dialed.
func (c *Client) Peer() *pb.Hello {
	if s := c.newest.Load(); s != nil {
		return s.peer
	}
	return &pb.Hello{}
}

// Connected reports whether a session is open, so that a call need not dial. It does not wait
// while a session is dialed.
func (c *Client) Connected() bool {
	s := c.newest.Load()
	return s != nil && !s.ended()
}

// Ping waits until the peer answers a ping on the open session, at most for the time after
// which the session counts as lost.
func (c *Client) Ping() error {
	c.mu.Lock()
	sess := c.sess
	c.mu.Unlock()
	if sess == nil {
		return net.ErrClosed
	}
	_, err := sess.Ping()
	return err
}

// Received returns the number of bytes that have come over the open session, the answers
// to pings among them.
func (c *Client) Received() uint64 {
	c.mu.Lock()
	sess := c.sess
	c.mu.Unlock()
	if sess == nil {
		return 0
	}
	return sess.conn.received.Load()
}

// Close closes the session. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.sess != nil {
		c.sess.close()
	}
}

// deadlineError returns an error with the code DEADLINE in place of err when ctx
// has ended.
func deadlineError(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return &Error{Code: pb.Status_DEADLINE, Message: ctx.Err().Error(), Sent: true}
}

// session returns the open session or dials a new one. During the redial delay
// it returns the error of the last dial.
func (c *Client) session(ctx context.Context) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if c.sess != nil && !c.sess.ended() {
		return c.sess, nil
	}
	if c.lastDialErr != nil && time.Now().Before(c.nextDialAt) {
		return nil, c.lastDialErr
	}
	sess, peer, err := c.dial(ctx)
	if err != nil {
		c.delayRedial(err)
		return nil, err
	}
	c.sess = sess
	c.newest.Store(&peerSession{sess, peer})
	c.redialDelay = 0
	c.lastDialErr = nil
	return sess, nil
}

// delayRedial increases the redial delay and sets the earliest time of the next
// dial. The jitter keeps hundreds of daemons from dialing a restarted peer at the
// same moment.
func (c *Client) delayRedial(err error) {
	c.redialDelay = min(max(c.redialDelay*redialFactor, minRedialDelay), maxRedialDelay)
	c.lastDialErr = err
	c.nextDialAt = time.Now().Add(c.redialDelay/2 + rand.N(c.redialDelay/2+1))
}

func (c *Client) dial(ctx context.Context) (*session, *pb.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tcp, err := hedgedDial(ctx, hedgeInterval, func(ctx context.Context) (net.Conn, error) {
		return c.opts.Dial(ctx, c.addr)
	})
	if err != nil {
		return nil, nil, err
	}
	conn := tcp
	if c.opts.TLS != nil {
		conn = tls.Client(tcp, c.tlsConfig())
	}
	sess, err := newClientSession(tcp, conn)
	if err != nil {
		return nil, nil, err
	}
	peer, err := c.exchangeHello(ctx, sess)
	if err != nil {
		sess.close()
		return nil, nil, err
	}
	return sess, peer, nil
}

// tlsConfig requires the peer's certificate to be valid for the dialed host,
// usually an IP address, unless the options set a server name.
func (c *Client) tlsConfig() *tls.Config {
	cfg := c.opts.TLS.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(c.addr)
	}
	return cfg
}

// exchangeHello identifies this daemon to the peer and returns the peer's hello.
func (c *Client) exchangeHello(ctx context.Context, sess *session) (*pb.Hello, error) {
	conn, err := sess.open()
	if err != nil {
		return nil, err
	}
	st := newStream(conn, &c.opts)
	st.method = MethodHello
	defer st.Close()
	stop := st.closeOnDone(ctx)
	defer stop()
	if err := st.Send(c.opts.Self); err != nil {
		return nil, err
	}
	peer := &pb.Hello{}
	if err := st.Recv(peer); err != nil {
		return nil, err
	}
	return peer, nil
}
