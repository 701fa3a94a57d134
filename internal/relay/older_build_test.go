package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// olderDaemon is a daemon of a build that does not relay. It answers as a server does that
// knows no such method.
type olderDaemon struct {
	sessions *transport.Server
	address  string
	asked    atomic.Int32
}

func startOlderDaemon(t *testing.T) *olderDaemon {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := &olderDaemon{address: l.Addr().String()}
	o.sessions = transport.NewServer(transport.Options{Self: &pb.Hello{Place: "here"}, OmitLevel: true})
	o.sessions.Handle(transport.MethodRelay, func(context.Context, *transport.Stream) error {
		o.asked.Add(1)
		return transport.Errorf(pb.Status_UNIMPLEMENTED, "method %d is not served here", transport.MethodRelay)
	})
	go func() { _ = o.sessions.Serve(l) }()
	t.Cleanup(o.sessions.Close)
	return o
}

// Guards against daemons of a build without relays that are asked again for each connection,
// and that are not asked any more once they have been replaced.
func TestDaemonThatDoesNotRelayIsAskedOnceUntilItIsReplaced(t *testing.T) {
	upstream := listen(t, echo)
	older := []*olderDaemon{startOlderDaemon(t), startOlderDaemon(t)}
	d := startDialer(t, older[0].address, older[1].address)
	for range 20 {
		began := time.Now()
		_, err := d.Dial(contextFor(t, time.Second), upstream)
		require.ErrorIs(t, err, ErrUnable)
		require.ErrorIs(t, err, ErrNoHelper)
		require.Less(t, time.Since(began), helperDelay)
	}
	for _, o := range older {
		require.Equal(t, int32(1), o.asked.Load(), "questions to a daemon that has answered that it does not relay")
	}
	require.Equal(t, "2", d.vars.failed.Get("UNIMPLEMENTED").String())

	older[0].sessions.Close()
	startHelper(t, helperOptions{place: "here", address: older[0].address})
	require.Eventually(t, func() bool {
		c, err := d.Dial(contextFor(t, time.Second), upstream)
		if err != nil {
			return false
		}
		defer c.Close()
		return c.Helper() == older[0].address
	}, time.Second, 10*time.Millisecond)
	require.Equal(t, int32(1), older[1].asked.Load())
}

// Guards against a daemon that is down for a moment, or unreachable, and that counts as one
// that could have tried, or as one that never relays.
func TestDaemonThatIsDownIsTakenForWhatItWas(t *testing.T) {
	upstream := listen(t, echo)
	older := []*olderDaemon{startOlderDaemon(t), startOlderDaemon(t)}
	d := startDialer(t, older[0].address, older[1].address)
	_, err := d.Dial(contextFor(t, time.Second), upstream)
	require.ErrorIs(t, err, ErrUnable)
	older[0].sessions.Close()
	for range 3 {
		_, err = d.Dial(contextFor(t, time.Second), upstream)
		require.ErrorIs(t, err, ErrUnable)
	}
	unknown := startHelper(t, helperOptions{})
	unknown.sessions.Close()
	d = startDialer(t, older[1].address, unknown.address)
	_, err = d.Dial(contextFor(t, time.Second), upstream)
	require.ErrorIs(t, err, ErrNoHelper)
	require.NotErrorIs(t, err, ErrUnable)
}
