package feed

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// slowConnections delays what a listener accepts, as a link to a distant place does.
type slowConnections struct {
	net.Listener
	delay time.Duration
}

func (l *slowConnections) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return c, err
}

// Guards against a core daemon that gets no session to one that has been replaced while
// streams are taken up: each question dialed, gave up when the others had answered, and made
// the daemon wait for longer before the next dial.
func TestTakeUpsDoNotDelaySessionsToAReplacedHub(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	h := startHubs(t, 3)
	members := append([]string{l.Addr().String()}, h.members...)
	hub := h.hubs[0]
	hub.mergeStreamVersions([]*pb.StreamVersion{{Id: "a", Service: "s", Version: "v1", Attempt: 1}}, true)
	require.Eventually(t, func() bool {
		for _, other := range h.hubs {
			other.mu.Lock()
			_, known := other.streamVersions.Get("a", other.now())
			other.mu.Unlock()
			if !known {
				return false
			}
		}
		return true
	}, 3*time.Second, 5*time.Millisecond)
	replaced := transport.NewServer(transport.Options{})
	defer replaced.Close()
	go func() { _ = replaced.Serve(&slowConnections{Listener: l, delay: 20 * time.Millisecond}) }()
	// Gossip dials it too.
	client := hub.opts.Peers.Client(l.Addr().String())
	h.stores[0].setMembers(members)
	until := time.Now().Add(3 * time.Second)
	connected := false
	for time.Now().Before(until) && !connected {
		_, err := hub.serveStreamVersion(t.Context(), &pb.StreamVersionRequest{Id: "a", AllHubs: true})
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
		connected = client.Ping() == nil
	}
	require.True(t, connected, "no session to the replaced hub within 3 s")
}

// Guards against a hub that answers too late with what it knows, because it waits for hubs
// that do not answer.
func TestHubAnswersInTimeWhileOthersAreDialed(t *testing.T) {
	h := startHubs(t, 1)
	hub := h.hubs[0]
	hub.mergeStreamVersions([]*pb.StreamVersion{{Id: "a", Service: "s", Version: "v1", Attempt: 1}}, true)
	members := slices.Clone(h.members)
	for range 2 {
		// Connections are accepted by the kernel, and nothing is answered.
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer silent.Close()
		members = append(members, silent.Addr().String())
		dialed := make(chan struct{})
		go func() {
			defer close(dialed)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _, _ = hub.opts.Peers.Client(silent.Addr().String()).Connect(ctx)
		}()
		defer func() { <-dialed }()
		conn, err := silent.Accept()
		require.NoError(t, err)
		defer conn.Close()
	}
	h.stores[0].setMembers(members)
	began := time.Now()
	resp, err := hub.serveStreamVersion(t.Context(), &pb.StreamVersionRequest{Id: "a", AllHubs: true})
	require.NoError(t, err)
	require.Equal(t, "v1", resp.Stream.GetVersion())
	require.Equal(t, []uint32{1, 3}, []uint32{resp.Answered, resp.Hubs})
	require.Less(t, time.Since(began), otherHubsTimeout+50*time.Millisecond)
}
