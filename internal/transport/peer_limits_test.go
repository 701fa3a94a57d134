package transport

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// startWaitingServer starts a server whose handlers of watches end with their session.
func startWaitingServer(t *testing.T, opts Options) string {
	return startServer(t, opts, registerWaiting)
}

func registerWaiting(s *Server) {
	s.Handle(MethodWatch, func(ctx context.Context, st *Stream) error {
		if err := st.Recv(&pb.Empty{}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	HandleUnary(s, MethodClaim, func(context.Context, *pb.ClaimRequest) (*pb.ClaimResponse, error) {
		return &pb.ClaimResponse{}, nil
	})
}

// openUntilEnd opens streams with open until the session of the client has ended, at most n.
func openUntilEnd(t *testing.T, c *Client, n int, open func(net.Conn) error) (ended bool) {
	t.Helper()
	_, over, err := c.Connect(timeoutContext(t, 10*time.Second))
	require.NoError(t, err)
	sess := c.sess
	for range n {
		conn, err := sess.open()
		if err != nil || open(conn) != nil {
			break
		}
	}
	select {
	case <-over:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// Guards against a peer that opens any number of streams after its hello, and against other
// peers that lose their sessions for it.
func TestSessionWithTooManyStreamsEnds(t *testing.T) {
	addr := startWaitingServer(t, Options{MaxStreams: 64})
	ordinary, hostile := NewClient(addr, Options{}), NewClient(addr, Options{})
	defer ordinary.Close()
	defer hostile.Close()
	require.False(t, openUntilEnd(t, ordinary, 20, func(net.Conn) error { return nil }))
	ended := openUntilEnd(t, hostile, 200, func(c net.Conn) error {
		_, err := c.Write([]byte{1})
		return err
	})
	require.True(t, ended, "the session with the most streams has not ended")
	require.True(t, ordinary.Connected())
	require.NoError(t, ordinary.Call(timeoutContext(t, 10*time.Second), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{}))
}

// Guards against a peer that sends many long messages and completes none of them, and against
// other peers that lose their sessions for it.
func TestSessionWithTooMuchOfIncompleteMessagesEnds(t *testing.T) {
	const part = 300 << 10
	addr := startWaitingServer(t, Options{MaxMessageMemory: 4 << 20})
	ordinary, hostile := NewClient(addr, Options{}), NewClient(addr, Options{})
	defer ordinary.Close()
	defer hostile.Close()
	message := func(c net.Conn) error {
		_, err := c.Write(append(binary.AppendUvarint(nil, 16<<20), make([]byte, part)...))
		return err
	}
	require.False(t, openUntilEnd(t, ordinary, 1, message))
	require.True(t, openUntilEnd(t, hostile, 40, message), "the session with the longest messages has not ended")
	require.True(t, ordinary.Connected())
	require.NoError(t, ordinary.Call(timeoutContext(t, 10*time.Second), MethodClaim, &pb.ClaimRequest{Key: string(make([]byte, part))}, &pb.ClaimResponse{}))
}

// Guards against a peer whose streams hold bytes that no handler reads, during the call or after
// it, and against other peers that lose their sessions for it.
func TestSessionWithTooMuchUnreadEnds(t *testing.T) {
	for name, method := range map[string]Method{"the handler waits": MethodWatch, "the handler has ended": MethodClaim, "not served": 9999} {
		t.Run(name, func(t *testing.T) {
			addr := startWaitingServer(t, Options{MaxMessageMemory: 4 << 20})
			ordinary, hostile := NewClient(addr, Options{}), NewClient(addr, Options{})
			defer ordinary.Close()
			defer hostile.Close()
			call := func(c net.Conn) error {
				st := newStream(c, &hostile.opts)
				st.method = method
				if err := st.Send(&pb.Empty{}); err != nil {
					return err
				}
				_, err := c.Write(make([]byte, 200<<10))
				return err
			}
			require.False(t, openUntilEnd(t, ordinary, 1, call))
			require.True(t, openUntilEnd(t, hostile, 60, call), "the session with the most unread bytes has not ended")
			require.True(t, ordinary.Connected())
			require.NoError(t, ordinary.Call(timeoutContext(t, 10*time.Second), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{}))
		})
	}
}

// Guards against messages whose memory counts after they were received: a session would end
// for what its peer has sent in all.
func TestReceivedMessagesCountNoLonger(t *testing.T) {
	var server *Server
	addr := startServer(t, Options{MaxMessageMemory: 1 << 20, MaxStreams: 16}, func(s *Server) {
		registerWaiting(s)
		server = s
	})
	c := NewClient(addr, Options{})
	defer c.Close()
	for range 100 {
		require.NoError(t, c.Call(timeoutContext(t, 10*time.Second), MethodClaim, &pb.ClaimRequest{Key: string(make([]byte, 200<<10))}, &pb.ClaimResponse{}))
	}
	require.Eventually(t, func() bool { return server.messageBytes.Load() == 0 }, 5*time.Second, time.Millisecond)
	// A call that breaks off, and a session that ends, leave nothing.
	require.False(t, openUntilEnd(t, c, 1, func(conn net.Conn) error {
		_, err := conn.Write(append(binary.AppendUvarint(nil, 1<<20), make([]byte, 100<<10)...))
		return err
	}))
	require.Eventually(t, func() bool { return server.messageBytes.Load() >= 100<<10 }, 5*time.Second, time.Millisecond)
	c.Close()
	require.Eventually(t, func() bool { return server.messageBytes.Load() == 0 }, 5*time.Second, time.Millisecond)
}
