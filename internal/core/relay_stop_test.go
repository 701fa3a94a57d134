package core

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/relay"
)

// Guards against an answer that a daemon cuts off in the middle when it stops, though the grace
// period has not ended: a relayed stream sends an event each 100 ms for 5 s.
func TestRelayedAnswersEndWithinTheGracePeriod(t *testing.T) {
	const events = 50
	logger := &log.Logger{Level: log.PanicLevel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		for range events {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	d, session, _ := startDaemon(t, logger)
	d.hub.Report(&pb.UpstreamRecord{Id: "u", Address: l.Addr().String(), BornMs: 1, Sequence: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY})
	dialer := relay.NewDialer(relay.DialerOptions{Helpers: func() []string { return []string{session} }, Logger: logger})
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := dialer.Dial(ctx, l.Addr().String())
	require.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		d.shutDown(logger)
		d.sessions.Close()
		close(stopped)
	}()
	began := time.Now()
	n := 0
	for b := make([]byte, 1); n < events; n++ {
		if _, err = c.Read(b); err != nil {
			break
		}
	}
	_ = c.Close()
	<-stopped
	require.Equal(t, events, n, "cut off after %s of a grace period of %s: %v", time.Since(began), d.gracePeriod, err)
}
