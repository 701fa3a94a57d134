package forward

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/internal/transport"
)

// startOlderCore starts core daemons of a build that does not relay, and returns a Relay that
// asks them.
func startOlderCore(t *testing.T, daemons int) Relay {
	var addresses []string
	for range daemons {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		sessions := transport.NewServer(transport.Options{OmitLevel: true})
		go func() { _ = sessions.Serve(l) }()
		t.Cleanup(sessions.Close)
		addresses = append(addresses, l.Addr().String())
	}
	dialer := relay.NewDialer(relay.DialerOptions{Helpers: func() []string { return append([]string(nil), addresses...) }, Logger: &log.Logger{Level: log.PanicLevel}})
	t.Cleanup(dialer.Close)
	return fakeRelay(func(ctx context.Context, address string) (RelayedConn, error) {
		c, err := dialer.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return c, nil
	})
}

// Guards against upstreams that crash and are chosen again and again, and prompts that are not
// found to crash them, while all core daemons are of a build that does not relay.
func TestLostUpstreamCountsAsLostWhileTheCoreDoesNotRelay(t *testing.T) {
	s, targets := newLinksServer(t, 1, func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, startOlderCore(t, 3))
	for range 3 {
		require.True(t, s.links.verify(targets[0]))
		_, err := s.links.connect(context.Background(), targets[0])
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.NotErrorIs(t, err, errLinkDown)
	}
	require.Zero(t, s.links.countDown())
}
