package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

func startServer(t *testing.T, opts Options, register func(*Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(opts)
	register(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a response that reaches another call, and against a handler's
// error that loses its code or redirect.
func TestUnaryCallAndError(t *testing.T) {
	addr := startServer(t, Options{}, func(s *Server) {
		HandleUnary(s, MethodClaim, func(ctx context.Context, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
			if r.Key == "" {
				return nil, &Error{Code: pb.Status_NOT_LEADER, Message: "follower", Redirect: "10.0.0.1:1"}
			}
			return &pb.ClaimResponse{Result: pb.ClaimResponse_CLAIMED}, nil
		})
	})
	c := NewClient(addr, Options{Self: &pb.Hello{DaemonId: "a"}})
	defer c.Close()
	ctx := timeoutContext(t, 5*time.Second)
	resp := &pb.ClaimResponse{}
	require.NoError(t, c.Call(ctx, MethodClaim, &pb.ClaimRequest{Key: "k"}, resp))
	require.Equal(t, pb.ClaimResponse_CLAIMED, resp.Result)

	var e *Error
	require.ErrorAs(t, c.Call(ctx, MethodClaim, &pb.ClaimRequest{}, resp), &e)
	require.Equal(t, pb.Status_NOT_LEADER, e.Code)
	require.Equal(t, "10.0.0.1:1", e.Redirect)
	require.Equal(t, pb.Status_UNIMPLEMENTED, Code(c.Call(ctx, MethodWatch, &pb.Empty{}, resp)))
}

// Guards against a request that never left this process but is reported as
// possibly executed.
func TestDialFailureIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	c := NewClient(addr, Options{})
	defer c.Close()
	var e *Error
	require.ErrorAs(t, c.Call(timeoutContext(t, time.Second), MethodClaim, &pb.Empty{}, &pb.Empty{}), &e)
	require.False(t, e.Sent)
}

// Guards against a call that continues after its deadline while the peer's
// handler hangs.
func TestCallEndsAtItsDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	addr := startServer(t, Options{}, func(s *Server) {
		s.Handle(MethodClaim, func(ctx context.Context, st *Stream) error {
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil
		})
	})
	c := NewClient(addr, Options{})
	defer c.Close()
	start := time.Now()
	err := c.Call(timeoutContext(t, 100*time.Millisecond), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{})
	require.Equal(t, pb.Status_DEADLINE, Code(err), "%v", err)
	require.Less(t, time.Since(start), time.Second)
}

// Guards against continued use of a session whose packets are lost: the client
// must detect this within a few seconds and reach the peer over a new connection.
func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	addr := startServer(t, Options{}, func(s *Server) {
		HandleUnary(s, MethodClaim, func(ctx context.Context, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
			return &pb.ClaimResponse{}, nil
		})
	})
	proxy := newBlackholeProxy(t, addr)
	c := NewClient(proxy.addr(), Options{})
	defer c.Close()
	require.NoError(t, c.Call(timeoutContext(t, time.Second), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{}))
	proxy.dropOpenConnections()
	deadline := time.Now().Add(heartbeatInterval + heartbeatTimeout + 2*time.Second)
	for {
		err := c.Call(timeoutContext(t, 300*time.Millisecond), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{})
		if err == nil {
			return
		}
		require.True(t, time.Now().Before(deadline), "still failing: %v", err)
	}
}

// Guards against a server that leaks handlers and peers after a client has
// disconnected.
func TestSessionEndCancelsHandlers(t *testing.T) {
	ended := make(chan string, 1)
	cancelled := make(chan struct{})
	opts := Options{OnSessionEnd: func(p *pb.Hello) { ended <- p.DaemonId }}
	addr := startServer(t, opts, func(s *Server) {
		s.Handle(MethodWatch, func(ctx context.Context, st *Stream) error {
			if err := st.Recv(&pb.WatchRequest{}); err != nil {
				return err
			}
			<-ctx.Done()
			close(cancelled)
			return nil
		})
	})
	c := NewClient(addr, Options{Self: &pb.Hello{DaemonId: "entry-1"}})
	st, err := c.Open(timeoutContext(t, time.Second), MethodWatch)
	require.NoError(t, err)
	require.NoError(t, st.Send(&pb.WatchRequest{}))
	time.Sleep(50 * time.Millisecond)
	c.Close()
	require.Equal(t, "entry-1", <-ended)
	<-cancelled
}

// blackholeProxy forwards connections. After dropOpenConnections it drops all
// traffic of the open connections without closing them; later connections work.
type blackholeProxy struct {
	listener net.Listener
	target   string
	dropOpen chan struct{}
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &blackholeProxy{listener: l, target: target, dropOpen: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

func (p *blackholeProxy) addr() string { return p.listener.Addr().String() }

func (p *blackholeProxy) dropOpenConnections() { close(p.dropOpen) }

func (p *blackholeProxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		drop := p.dropOpen
		select {
		case <-drop:
			drop = nil
		default:
		}
		go p.copy(out, in, drop)
		go p.copy(in, out, drop)
	}
}

func (p *blackholeProxy) copy(dst, src net.Conn, drop chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err == io.EOF {
			return
		}
		if err != nil {
			return
		}
		select {
		case <-drop:
			continue
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
