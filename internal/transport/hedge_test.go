package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a daemon that waits 1 s for the kernel to repeat a lost first
// packet, as all do after a power loss when their peers start a little later.
func TestLostConnectionAttemptIsRepeated(t *testing.T) {
	var attempts atomic.Int32
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	dial := func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := hedge(ctx, 10*time.Millisecond, dial)
	require.NoError(t, err)
	require.Equal(t, near, conn)
	require.Less(t, time.Since(began), time.Second)
}

// Guards against a refused connection that is tried until the time is over, and
// against attempts that outlive the call.
func TestRefusedConnectionEndsTheAttempt(t *testing.T) {
	refused := errors.New("connection refused")
	_, err := hedge(context.Background(), time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
	require.Equal(t, refused, err)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan struct{}, 100)
	_, err = hedge(ctx, 10*time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, ctx.Err()
	})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return len(ended) >= 2 }, time.Second, time.Millisecond)
}

// Guards against connections that lose the race and stay open.
func TestLateConnectionIsClosed(t *testing.T) {
	first, firstPeer := net.Pipe()
	second, secondPeer := net.Pipe()
	defer func() { _ = secondPeer.Close() }()
	release := make(chan struct{})
	var attempts atomic.Int32
	conn, err := hedge(context.Background(), 5*time.Millisecond, func(context.Context) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-release
			return first, nil
		}
		return second, nil
	})
	require.NoError(t, err)
	require.Equal(t, second, conn)
	close(release)
	_ = firstPeer.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = firstPeer.Read(make([]byte, 1))
	require.ErrorContains(t, err, "EOF")
}
