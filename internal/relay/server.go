package relay

import (
	"context"
	"expvar"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// maxDialTimeout bounds the time for which the connection to an upstream may be opened.
	maxDialTimeout = time.Second
	// socketBufferBytes is the size of the system's buffers for data from and to an
	// upstream. Smaller ones delay packets where these are large.
	socketBufferBytes = 64 << 10
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Knows reports whether there is an upstream at an address.
	Knows func(address string) bool
	// MaxConns is the most connections that are relayed at a time.
	MaxConns int
	Logger   *log.Logger
	// Dial opens a connection to an upstream.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Server relays connections for other daemons.
type Server struct {
	opts ServerOptions
	vars serverVars

	mu       sync.Mutex
	open     int
	draining bool
	// ended is closed when the server drains and no connection is left.
	ended chan struct{}
}

// NewServer returns a server that relays the connections that peers of sessions ask for.
func NewServer(opts ServerOptions, sessions *transport.Server) *Server {
	s := &Server{opts: opts, ended: make(chan struct{})}
	s.vars.init()
	sessions.Handle(transport.MethodRelay, s.serve)
	return s
}

// Vars returns the server's metrics.
func (s *Server) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("open", expvar.Func(func() any { return s.openCount() }))
	m.Set("max_open", expvar.Func(func() any { return s.opts.MaxConns }))
	s.vars.publish(m)
	return m
}

// Drain makes the server refuse further connections.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.open == 0 {
		close(s.ended)
	}
}

// Wait waits after Drain until the relayed connections have ended. It returns the number of
// those that were left when ctx ended.
func (s *Server) Wait(ctx context.Context) int {
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
	return s.openCount()
}

func (s *Server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// admit takes up room for a connection. It returns OPEN if there is some.
func (s *Server) admit(address string) pb.RelayResponse_Result {
	if !s.opts.Knows(address) {
		return pb.RelayResponse_UNKNOWN_ADDRESS
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.open >= s.opts.MaxConns {
		return pb.RelayResponse_NO_ROOM
	}
	s.open++
	return pb.RelayResponse_OPEN
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.draining && s.open == 0 {
		close(s.ended)
	}
}

func (s *Server) serve(ctx context.Context, stream *transport.Stream) error {
	req := &pb.RelayRequest{}
	if err := stream.Recv(req); err != nil {
		return err
	}
	if result := s.admit(req.Address); result != pb.RelayResponse_OPEN {
		return s.respond(ctx, stream, req, result)
	}
	defer s.release()
	return s.relay(ctx, stream, req)
}

func (s *Server) relay(ctx context.Context, stream *transport.Stream, req *pb.RelayRequest) error {
	ctx, cancel := context.WithCancel(ctx)
	c := newRelayed(stream, &s.vars)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stream.Abort()
	defer cancel()
	// The peer may leave while the connection is being opened.
	workers.Go(func() {
		c.receive()
		cancel()
	})
	upstream, result := s.dial(ctx, req)
	if err := s.respond(ctx, stream, req, result); err != nil || upstream == nil {
		if upstream != nil {
			_ = upstream.Close()
		}
		return err
	}
	closed := make(chan struct{})
	// Both directions may be blocked when the peer leaves.
	context.AfterFunc(ctx, func() {
		c.close(upstream)
		close(closed)
	})
	defer func() {
		cancel()
		<-closed
	}()
	workers.Go(func() { c.writeUpstream(ctx, upstream) })
	if c.readUpstream(ctx, upstream) {
		// The other direction stays open until the peer ends it.
		<-ctx.Done()
	}
	return nil
}

// dial opens the connection to an upstream, which is nil unless the result is OPEN.
func (s *Server) dial(ctx context.Context, req *pb.RelayRequest) (net.Conn, pb.RelayResponse_Result) {
	timeout := min(time.Duration(req.TimeoutMs)*time.Millisecond, maxDialTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := s.opts.Dial(ctx, req.Address)
	if err != nil {
		return nil, resultOf(err)
	}
	if tcp, ok := conn.(socket); ok {
		// What one side does not read stays in the memory of the other one. If a size
		// cannot be set, the system's limit applies.
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
	return conn, pb.RelayResponse_OPEN
}

// socket is what the relay sets of a TCP connection.
type socket interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
	SetLinger(sec int) error
}

// resultOf tells what a failed attempt to connect says about the upstream.
func resultOf(err error) pb.RelayResponse_Result {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return pb.RelayResponse_REFUSED
	case errors.Is(err, syscall.ECONNRESET):
		return pb.RelayResponse_RESET
	case errors.Is(err, budget.ErrNoDescriptor), errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.EADDRNOTAVAIL):
		return pb.RelayResponse_NO_ROOM
	}
	return pb.RelayResponse_UNREACHABLE
}

func (s *Server) respond(ctx context.Context, stream *transport.Stream, req *pb.RelayRequest, result pb.RelayResponse_Result) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if result == pb.RelayResponse_OPEN {
		s.vars.opened.Add(1)
	} else {
		s.vars.refused.Add(result.String(), 1)
		s.opts.Logger.Info().Str("event", "relay.refused").Str("peer", transport.PeerFromContext(ctx).GetVm()).
			Str("upstream", req.Address).Stringer("result", result).Msg("")
	}
	return stream.Send(&pb.RelayResponse{Result: result, Open: uint32(s.openCount()), MaxOpen: uint32(s.opts.MaxConns)})
}
