package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/policy"
)

// fakeRelay is a Relay whose attempts a function makes.
type fakeRelay func(ctx context.Context, address string) (RelayedConn, error)

func (f fakeRelay) Dial(ctx context.Context, address string) (RelayedConn, error) {
	return f(ctx, address)
}

type fakeRelayedConn struct{ net.Conn }

func (fakeRelayedConn) State() relay.State { return relay.StateOpen }
func (fakeRelayedConn) Idle() bool         { return true }
func (fakeRelayedConn) Helper() string     { return "core-1" }

// pipeConn returns an end of a connection whose other end is open until the test ends.
func pipeConn(t *testing.T) net.Conn {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	return near
}

func newLinksServer(t *testing.T, n int, dial DialFunc, r Relay) (*Server, []*target) {
	s := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}, Dial: dial})
	t.Cleanup(s.Stop)
	s.SetRelay(r)
	var records []*pb.UpstreamRecord
	for i := range n {
		records = append(records, &pb.UpstreamRecord{Id: fmt.Sprint("i-", i), Address: fmt.Sprint("i-", i), Service: "orders", BornMs: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY})
	}
	s.SetUpstreams(records)
	var targets []*target
	for i := range n {
		targets = append(targets, s.upstreams.get(fmt.Sprint("i-", i)))
	}
	return s, targets
}

// Guards against an upstream that counts as lost because daemons that relay don't reach it,
// though the entry has not tried: its link was only suspected to be down.
func TestSuspectedLinkIsTriedBeforeAnUpstreamCountsAsLost(t *testing.T) {
	s, targets := newLinksServer(t, 1, func(context.Context, string) (net.Conn, error) { return pipeConn(t), nil },
		fakeRelay(func(context.Context, string) (RelayedConn, error) {
			return nil, &relay.DialError{Helper: "core-1", Result: pb.RelayResponse_REFUSED}
		}))
	s.links.downSince.Store(int64(s.now()))
	s.links.suspect()
	require.True(t, s.links.inDoubt(targets[0]))
	c, err := targets[0].dial(context.Background())
	require.NoError(t, err)
	require.Nil(t, c.relayed)
	_ = c.Close()
	require.NoError(t, targets[0].lost(s.now()))
}

// Guards against a link over which a response is overdue and that is not probed for a
// second, because many others were probed at the time.
func TestOverdueResponseIsProbedWhileOtherLinksAre(t *testing.T) {
	const n = 40
	s, targets := newLinksServer(t, n, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") },
		fakeRelay(func(context.Context, string) (RelayedConn, error) { return fakeRelayedConn{pipeConn(t)}, nil }))
	// Bytes that came later keep all links from being taken for down by two of them.
	targets[0].heardAt.Store(int64(time.Hour))
	s.links.judge(targets[1], s.now(), policy.PathFailed, policy.PathReached)
	for _, target := range targets[2:] {
		s.links.silent(target, s.now())
	}
	require.Eventually(t, func() bool { return s.links.countDown() >= n-1 }, 600*time.Millisecond, 5*time.Millisecond)
}

// Guards against a broken connection, by which the process may have been replaced, that is
// forgotten when the link goes down later.
func TestBrokenConnectionIsRememberedWhenTheLinkGoesDown(t *testing.T) {
	s, targets := newLinksServer(t, 1, nil, nil)
	targets[0].recordOwnFailure(s.now())
	require.True(t, targets[0].mayHaveRestarted(s.now()))
	require.True(t, targets[0].setLinkDown(s.now(), policy.PathFailed))
	require.True(t, targets[0].mayHaveRestarted(s.now()))
}

// Guards against an upstream that goes on after a pause and is taken for one behind a link
// that is down, because the check over the other path was waited for longer.
func TestUpstreamThatGoesOnAfterAPauseLeavesItsLinkUp(t *testing.T) {
	const relayTime = 100 * time.Millisecond
	goesOn := time.Now().Add(probeTimeout + relayTime/2)
	open := func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go func() { _, _ = io.Copy(io.Discard, far) }()
		time.AfterFunc(time.Until(goesOn), func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) })
		return near
	}
	s, targets := newLinksServer(t, 1, func(context.Context, string) (net.Conn, error) { return open(), nil },
		fakeRelay(func(context.Context, string) (RelayedConn, error) {
			time.Sleep(relayTime)
			return fakeRelayedConn{open()}, nil
		}))
	s.links.ask = func(_ *target, c *conn) bool {
		_ = c.SetDeadline(time.Now().Add(probeTimeout))
		_, err := c.rd.Peek(1)
		return err == nil
	}
	s.links.probe(targets[0], s.now(), true)
	require.Zero(t, s.links.countDown())
}

// Guards against an entry that is cut off and tries new upstreams one by one, because one that
// has ended counts as heard.
func TestUpstreamThatHasEndedIsNoSignOfALinkThatIsUp(t *testing.T) {
	s, targets := newLinksServer(t, 3, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") },
		fakeRelay(func(context.Context, string) (RelayedConn, error) { return nil, relay.ErrNoHelper }))
	for _, target := range targets[:2] {
		s.links.judge(target, s.now(), policy.PathFailed, policy.PathReached)
	}
	require.Equal(t, 3, s.links.countDown())
	record := func(id string, silent bool) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: id, Address: id, Service: "orders", BornMs: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, Silent: silent}
	}
	s.SetUpstreams([]*pb.UpstreamRecord{record("i-2", true)})
	require.Eventually(t, func() bool { return s.links.countDown() == 2 }, 2*time.Second, time.Millisecond)
	s.SetUpstreams([]*pb.UpstreamRecord{record("i-3", false)})
	require.True(t, s.upstreams.get("i-3").linkDown())
}

// Guards against a relayed connection for each request until the link is judged, and against
// one that is kept once the upstream is reached directly or links are no longer suspected.
func TestRelayedConnectionsAreReusedUntilTheLinkIsJudged(t *testing.T) {
	for name, sound := range map[string]func(*Server, *target){
		"reached directly": func(s *Server, t *target) { t.heardAt.Store(int64(s.now())) },
		"not suspected":    func(s *Server, _ *target) { s.links.suspectUntil.Store(0) },
	} {
		t.Run(name, func(t *testing.T) {
			s, targets := newLinksServer(t, 1, func(context.Context, string) (net.Conn, error) {
				<-t.Context().Done()
				return nil, t.Context().Err()
			}, fakeRelay(func(context.Context, string) (RelayedConn, error) { return fakeRelayedConn{pipeConn(t)}, nil }))
			target := targets[0]
			c, err := target.dial(context.Background())
			require.NoError(t, err)
			require.NotNil(t, c.relayed)
			c.retireTime = 0
			target.putIdle(c)
			require.True(t, target.takeIdle(time.Now(), "a") == c, "not kept")
			require.False(t, target.linkDown(), "judged before")
			sound(s, target)
			target.putIdle(c)
			require.True(t, target.takeIdle(time.Now(), "b") == nil, "kept")
		})
	}
}

// Guards against a link that is judged down because one packet was lost: a first attempt to
// connect that hangs or is refused, beside a relayed connection.
func TestOneFailedConnectionLeavesTheLinkUp(t *testing.T) {
	for name, fail := range map[string]func(context.Context) error{
		"lost":    func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"refused": func(context.Context) error { return errors.New("refused") },
	} {
		t.Run(name, func(t *testing.T) {
			var dials atomic.Int32
			s, targets := newLinksServer(t, 1, func(ctx context.Context, _ string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					return nil, fail(ctx)
				}
				return pipeConn(t), nil
			}, fakeRelay(func(context.Context, string) (RelayedConn, error) { return fakeRelayedConn{pipeConn(t)}, nil }))
			c, err := targets[0].dial(context.Background())
			require.NoError(t, err)
			defer c.Close()
			require.Never(t, func() bool { return s.links.countDown() > 0 }, 2*dialTimeout, time.Millisecond)
		})
	}
}
