package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/timeline"
)

const (
	// heartbeatInterval is the time between pings on a session.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the time after which a ping without a reply closes the
	// session. It also bounds a write to the connection.
	heartbeatTimeout = 2 * time.Second
	// helloTimeout bounds the wait for the client's hello in a new session.
	helloTimeout = 5 * time.Second
)

// acceptPause is the time between two attempts to accept a session while there are no
// descriptors for one.
const acceptPause = 50 * time.Millisecond

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	cfg.StreamOpenTimeout = 2 * heartbeatTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Handler serves one call. It receives requests with s.Recv and responds with
// s.Send. The returned error is sent to the peer. ctx is cancelled when the
// session ends.
type Handler func(ctx context.Context, s *Stream) error

// Options configure a Server or Client.
type Options struct {
	// Self identifies this daemon to its peers.
	Self *pb.Hello
	// TLS secures the connections; nil means plain TCP.
	TLS *tls.Config
	// Clock provides the timestamps of frames and observes those of the peer.
	// Nil selects a new clock.
	Clock *timeline.Clock
	// Logger receives warnings about rejected sessions. It may be nil.
	Logger *log.Logger
	// Dial opens the TCP connections of a Client; nil for those of a net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OmitLevel makes the daemon state no protocol level, as builds before levels do.
	OmitLevel bool
	// MaxWaiting is the number of sessions that may wait for their peer's hello: beyond it a
	// Server closes the one that has waited longest. 0 means no limit.
	MaxWaiting int
	// MaxStreams is the number of streams that the peers of a Server may have open at a time,
	// and MaxMessageMemory the number of bytes of messages that they have not sent to their
	// end, or that no handler has read. Beyond them a Server ends the session with the most.
	// 0 means no limit.
	MaxStreams       int
	MaxMessageMemory int64
	// OnSessionEnd is called by a Server after a peer's session and its handlers
	// have ended. It may be nil.
	OnSessionEnd func(peer *pb.Hello)
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = timeline.NewClock(nil)
	}
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	if o.Self == nil {
		o.Self = &pb.Hello{}
	}
	o.Self = proto.CloneOf(o.Self)
	o.Self.Level = uint32(protocol.Current)
	if o.OmitLevel {
		o.Self.Level = uint32(protocol.Unstated)
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
}

// Server accepts sessions and dispatches their calls to handlers.
type Server struct {
	opts     Options
	handlers map[Method]Handler

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	sessions map[*session]struct{}
	// waiting holds the connections without a hello, the oldest first.
	waiting     []net.Conn
	connections sync.WaitGroup

	// accepted counts streams, and messageBytes what the sessions' messages hold.
	accepted, messageBytes atomic.Int64
}

// NewServer returns a server without handlers.
func NewServer(opts Options) *Server {
	opts.setDefaults()
	return &Server{opts: opts, handlers: map[Method]Handler{}, sessions: map[*session]struct{}{}}
}

// Handle registers the handler of one method. It must be called before Serve.
func (s *Server) Handle(m Method, h Handler) {
	s.handlers[m] = h
}

// HandleUnary registers the handler of a method with one request and one
// response.
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
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				s.opts.Logger.Warn().Str("event", "session.not_accepted").Err(err).Msg("")
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		s.addWaiting(conn)
		s.connections.Add(1)
		go func() {
			defer s.connections.Done()
			s.serveConn(conn)
		}()
	}
}

// Close closes the listener and all sessions and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for sess := range s.sessions {
		_ = sess.conn.Close()
	}
	s.mu.Unlock()
	s.connections.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track registers a session for Close. It reports false after Close.
func (s *Server) track(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[sess] = struct{}{}
	return true
}

func (s *Server) untrack(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

func (s *Server) serveConn(tcp net.Conn) {
	defer s.removeWaiting(tcp)
	conn := tcp
	if s.opts.TLS != nil {
		conn = tls.Server(tcp, s.opts.TLS)
	}
	sess, err := newServerSession(tcp, conn, &messageMemory{server: s})
	if err != nil {
		return
	}
	defer sess.unread.end()
	defer sess.close()
	if !s.track(sess) {
		return
	}
	defer s.untrack(sess)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	peer, err := s.acceptHello(sess)
	s.removeWaiting(tcp)
	if err != nil {
		s.opts.Logger.Warn().Str("event", "session.rejected").Str("remote", conn.RemoteAddr().String()).Err(err).Msg("")
		return
	}
	s.opts.Logger.Info().Str("event", "session.accepted").Str("vm", peer.Vm).Str("process", peer.Process).Str("build", peer.Build).Uint32("protocol_level", peer.Level).Msg("")
	ctx = context.WithValue(ctx, peerKey{}, peer)
	s.serveStreams(ctx, sess)
	cancel()
	if s.opts.OnSessionEnd != nil {
		s.opts.OnSessionEnd(peer)
	}
}

func (s *Server) serveStreams(ctx context.Context, sess *session) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer wg.Wait()
	defer cancel()
	for {
		conn, err := sess.accept()
		if err != nil {
			return
		}
		s.limitStreams()
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.serveStream(ctx, sess, conn)
		}()
	}
}

// acceptHello receives the client's hello and replies with the server's.
func (s *Server) acceptHello(sess *session) (*pb.Hello, error) {
	// A peer that connects and sends nothing must not keep the session open.
	timer := time.AfterFunc(helloTimeout, sess.close)
	defer timer.Stop()
	conn, err := sess.accept()
	if err != nil {
		return nil, err
	}
	st := newStream(conn, &s.opts)
	defer st.Close()
	st.limit = maxHelloBytes
	peer := &pb.Hello{}
	if err := st.Recv(peer); err != nil {
		return nil, err
	}
	return peer, st.Send(s.opts.Self)
}

// addWaiting adds a connection without a hello and closes the oldest one if there are too many.
// It is called as connections are accepted: on a busy machine many of them wait to be served.
func (s *Server) addWaiting(conn net.Conn) {
	s.mu.Lock()
	s.waiting = append(s.waiting, conn)
	var oldest net.Conn
	if s.opts.MaxWaiting > 0 && len(s.waiting) > s.opts.MaxWaiting {
		oldest, s.waiting = s.waiting[0], s.waiting[1:]
	}
	s.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

func (s *Server) removeWaiting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w net.Conn) bool { return w == conn })
}

func (s *Server) serveStream(ctx context.Context, sess *session, conn net.Conn) {
	st := newStream(conn, &s.opts)
	st.memory = sess.messages
	defer st.Close()
	h, err := st.readHeader()
	if err != nil {
		return
	}
	handler, ok := s.handlers[Method(h.Method)]
	if !ok {
		st.sendEnd(Errorf(pb.Status_UNIMPLEMENTED, "method %d is not served here", h.Method))
		return
	}
	// The handler's first Recv reads the message that follows this header.
	st.pendingHeader = h
	stop := st.closeOnDone(ctx)
	defer stop()
	st.sendEnd(handler(ctx, st))
}

type peerKey struct{}

// PeerFromContext returns the hello of the daemon that made a handler's call.
func PeerFromContext(ctx context.Context) *pb.Hello {
	if p, ok := ctx.Value(peerKey{}).(*pb.Hello); ok {
		return p
	}
	return &pb.Hello{}
}
