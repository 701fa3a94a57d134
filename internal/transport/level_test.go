package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
)

// Guards against a daemon that takes a peer of an older build for one of its own, on either
// side of a session.
func TestDaemonsKnowTheLevelOfTheirPeers(t *testing.T) {
	for _, c := range []struct {
		name           string
		client, server bool
	}{
		{name: "same build"},
		{name: "older client", client: true},
		{name: "older server", server: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			seen := make(chan *pb.Hello, 1)
			addr := startServer(t, Options{OmitLevel: c.server, Self: &pb.Hello{Build: "s"}}, func(s *Server) {
				HandleUnary(s, MethodClaim, func(ctx context.Context, r *pb.ClaimRequest) (*pb.ClaimResponse, error) {
					seen <- PeerFromContext(ctx)
					return &pb.ClaimResponse{}, nil
				})
			})
			client := NewClient(addr, Options{OmitLevel: c.client, Self: &pb.Hello{Build: "c"}})
			defer client.Close()
			require.Equal(t, protocol.Unstated, protocol.Of(client.Peer()), "nothing is known before the first session")
			require.NoError(t, client.Call(timeoutContext(t, 5*time.Second), MethodClaim, &pb.ClaimRequest{}, &pb.ClaimResponse{}))
			atServer, atClient := <-seen, client.Peer()
			require.Equal(t, "c", atServer.Build)
			require.Equal(t, "s", atClient.Build)
			require.Equal(t, !c.client, protocol.Of(atServer).KeepsRunVersions())
			require.Equal(t, !c.server, protocol.Of(atClient).KeepsRunVersions())
		})
	}
}

// Guards against a daemon that waits, with its tables locked, until a session to a peer that
// does not answer has been dialed, because it asks what build the peer has.
func TestPeerIsKnownWhileItsSessionIsDialed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Options{Self: &pb.Hello{Build: "s"}})
	go func() { _ = server.Serve(l) }()
	client := NewClient(l.Addr().String(), Options{})
	defer client.Close()
	_, ended, err := client.Connect(timeoutContext(t, 5*time.Second))
	require.NoError(t, err)
	server.Close()
	<-ended
	// Connections are accepted by the kernel, and nothing is answered.
	silent, err := net.Listen("tcp", l.Addr().String())
	require.NoError(t, err)
	defer silent.Close()
	dialed := make(chan struct{})
	go func() {
		defer close(dialed)
		_, _, _ = client.Connect(timeoutContext(t, time.Second))
	}()
	conn, err := silent.Accept()
	require.NoError(t, err)
	defer conn.Close()
	known := make(chan string, 1)
	go func() { known <- client.Peer().Build }()
	select {
	case build := <-known:
		require.Equal(t, "s", build)
	case <-dialed:
		require.Fail(t, "the peer is known only after the dial has ended")
	}
	<-dialed
}
