package transport

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// echoGossip starts a server that sends each message back and goes on after one that it
// cannot decode.
func echoGossip(t *testing.T) string {
	return startServer(t, Options{}, func(s *Server) {
		s.Handle(MethodGossip, func(_ context.Context, st *Stream) error {
			for {
				g := &pb.Gossip{}
				switch err := st.Recv(g); {
				case err == io.EOF:
					return nil
				case IsUndecodable(err):
					g = &pb.Gossip{Version: 99}
				case err != nil:
					return err
				}
				if err := st.Send(g); err != nil {
					return err
				}
			}
		})
	})
}

// Guards against one record that cannot be encoded, or a message that is too long, and
// that ends the stream of others.
func TestRecordThatCannotBeEncodedIsLeftOut(t *testing.T) {
	c := NewClient(echoGossip(t), Options{})
	defer c.Close()
	st, err := c.Open(timeoutContext(t, 5*time.Second), MethodGossip)
	require.NoError(t, err)
	defer st.Close()
	require.Error(t, st.Send(&pb.JoinReply{Leader: "\xff"}))
	require.Error(t, st.Send(&pb.Document{Body: make([]byte, MaxMessageBytes+1)}))
	sent := &pb.Gossip{Version: 3, Upstreams: []*pb.UpstreamRecord{{Id: "a"}, {Id: "\xff"}, {Id: "b", Models: []string{"m", "\xfe"}}, {Id: "c"}}}
	require.NoError(t, st.Send(sent))
	got := &pb.Gossip{}
	require.NoError(t, st.Recv(got))
	require.Equal(t, uint64(3), got.Version)
	require.Len(t, got.Upstreams, 2)
	require.Equal(t, []string{"a", "c"}, []string{got.Upstreams[0].Id, got.Upstreams[1].Id})
	require.Len(t, sent.Upstreams, 4)
}

// Guards against a message that the receiver cannot decode and that ends the stream.
func TestMessageThatCannotBeDecodedDoesNotEndTheStream(t *testing.T) {
	c := NewClient(echoGossip(t), Options{})
	defer c.Close()
	st, err := c.Open(timeoutContext(t, 5*time.Second), MethodGossip)
	require.NoError(t, err)
	defer st.Close()
	// Field 1 is a list of messages in Gossip.
	require.NoError(t, st.Send(&pb.Hello{DaemonId: strings.Repeat("\x7f", 9)}))
	require.NoError(t, st.Send(&pb.Gossip{Version: 4}))
	for _, want := range []uint64{99, 4} {
		got := &pb.Gossip{}
		require.NoError(t, st.Recv(got))
		require.Equal(t, want, got.Version)
	}
}
