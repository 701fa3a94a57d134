package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/timeline"
)

const (
	// heartbeatInterval is the time between pings on a session.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the longest wait for the reply to a ping or for a
	// blocked write, after which the session is closed.
	heartbeatTimeout = 2 * time.Second
	// helloTimeout bounds the wait for the first message of a new session.
	helloTimeout = 5 * time.Second
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = heartbeatInterval
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	cfg.StreamOpenTimeout = 2 * heartbeatTimeout
	cfg.StreamCloseTimeout = 30 * time.Second
	cfg.LogOutput = io.Discard
	return cfg
}

// Handler serves one call. It receives the request with s.Recv and answers
// with s.Send; the returned error is sent to the peer. ctx ends with the
// session.
type Handler func(ctx context.Context, s *Stream) error

// Options configure a Server or Client.
type Options struct {
	// Self names this daemon to its peers.
	Self *pb.Hello
	// TLS secures the connections; nil means plain TCP.
	TLS *tls.Config
	// Clock stamps messages; nil means a clock of its own.
	Clock *timeline.Clock
	// Logger may be nil.
	Logger *log.Logger
	// OnSessionEnd is called by a Server when a peer's session has ended.
	OnSessionEnd func(peer *pb.Hello)
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = timeline.NewClock(nil)
	}
	if o.Self == nil {
		o.Self = &pb.Hello{}
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
}

// Server accepts sessions and dispatches their calls.
type Server struct {
	opts     Options
	handlers map[Method]Handler

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(opts Options) *Server {
	opts.setDefaults()
	return &Server{opts: opts, handlers: map[Method]Handler{}, sessions: map[*yamux.Session]struct{}{}}
}

// Handle registers the handler of one method. It must be called before Serve.
func (s *Server) Handle(m Method, h Handler) {
	s.handlers[m] = h
}

// HandleUnary registers a call with one request and one response.
func HandleUnary[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](s *Server, m Method, fn func(ctx context.Context, req PReq) (PResp, error)) {
	s.Handle(m, func(ctx context.Context, st *Stream) error {
		req := PReq(new(Req))
		if err := st.Recv(req); err != nil {
			return err
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return err
		}
		return st.Send(resp)
	})
}

// Serve accepts sessions on l until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConn(conn)
		}()
	}
}

// Close ends every session and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for sess := range s.sessions {
		_ = sess.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(sess *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

func (s *Server) untrack(sess *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

func (s *Server) serveConn(conn net.Conn) {
	if s.opts.TLS != nil {
		conn = tls.Server(conn, s.opts.TLS)
	}
	sess, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer sess.Close()
	if !s.track(sess) {
		return
	}
	defer s.untrack(sess)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	peer, err := s.acceptHello(sess)
	if err != nil {
		s.opts.Logger.Warn().Str("event", "session.rejected").Str("remote", conn.RemoteAddr().String()).Err(err).Msg("")
		return
	}
	ctx = context.WithValue(ctx, peerKey{}, peer)
	s.serveStreams(ctx, sess)
	cancel()
	if s.opts.OnSessionEnd != nil {
		s.opts.OnSessionEnd(peer)
	}
}

func (s *Server) serveStreams(ctx context.Context, sess *yamux.Session) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancel()
	for {
		conn, err := sess.AcceptStream()
		if err != nil {
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.serveStream(ctx, conn)
		}()
	}
}

func (s *Server) acceptHello(sess *yamux.Session) (*pb.Hello, error) {
	// A peer that connects and stays silent must not hold the session open.
	timer := time.AfterFunc(helloTimeout, func() { _ = sess.Close() })
	defer timer.Stop()
	conn, err := sess.AcceptStream()
	if err != nil {
		return nil, err
	}
	st := newStream(conn, s.opts.Clock)
	defer st.Close()
	peer := &pb.Hello{}
	if err := st.Recv(peer); err != nil {
		return nil, err
	}
	return peer, st.Send(s.opts.Self)
}

func (s *Server) serveStream(ctx context.Context, conn net.Conn) {
	st := newStream(conn, s.opts.Clock)
	defer st.Close()
	h, err := st.readHeader()
	if err != nil {
		return
	}
	handler, ok := s.handlers[Method(h.Method)]
	if !ok {
		st.end(Errorf(pb.Status_UNIMPLEMENTED, "method %d is not served here", h.Method))
		return
	}
	// The handler's first Recv takes the body that follows this header.
	st.first = h
	stop := st.closeOnDone(ctx)
	defer stop()
	st.end(handler(ctx, st))
}

type peerKey struct{}

// PeerFrom returns the daemon that a handler's call came from.
func PeerFrom(ctx context.Context) *pb.Hello {
	if p, ok := ctx.Value(peerKey{}).(*pb.Hello); ok {
		return p
	}
	return &pb.Hello{}
}
