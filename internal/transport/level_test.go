package transport

import (
	"context"
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
