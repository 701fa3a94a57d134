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

// Guards against a daemon that waits 1 s for the kernel to retransmit a lost SYN
// packet. This happens to all daemons after a power loss when their peers start
// a little later.
func TestLostConnectionAttemptIsRetried(t *testing.T) {
	var attempts atomic.Int32
	clientConn, serverConn := net.Pipe()
	defer func() { _ = serverConn.Close() }()
	dial := func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return clientConn, nil
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := hedgedDial(ctx, 10*time.Millisecond, dial)
	require.NoError(t, err)
	require.Equal(t, clientConn, conn)
	require.Less(t, time.Since(start), time.Second)
}

// Guards against retries of a refused connection until the timeout, and against
// attempts that continue after hedgedDial has returned.
func TestRefusedConnectionFailsImmediately(t *testing.T) {
	refused := errors.New("connection refused")
	_, err := hedgedDial(context.Background(), time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
	require.Equal(t, refused, err)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan struct{}, 100)
	_, err = hedgedDial(ctx, 10*time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		ended <- struct{}{}
		return nil, ctx.Err()
	})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return len(ended) >= 2 }, time.Second, time.Millisecond)
}

// Guards against a connection that completes after another attempt succeeded and
// stays open.
func TestLateConnectionIsClosed(t *testing.T) {
	first, firstPeer := net.Pipe()
	second, secondPeer := net.Pipe()
	defer func() { _ = secondPeer.Close() }()
	release := make(chan struct{})
	var attempts atomic.Int32
	conn, err := hedgedDial(context.Background(), 5*time.Millisecond, func(context.Context) (net.Conn, error) {
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
