package relay

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// testHelper is a daemon that relays.
type testHelper struct {
	*Server
	sessions *transport.Server
	address  string
}

type helperOptions struct {
	place string
	// address is the helper's own; any free one if it is empty.
	address  string
	maxConns int
	knows    func(string) bool
	dial     func(context.Context, string) (net.Conn, error)
}

func startHelper(t *testing.T, o helperOptions) *testHelper {
	t.Helper()
	if o.maxConns == 0 {
		o.maxConns = 1000
	}
	if o.knows == nil {
		o.knows = func(string) bool { return true }
	}
	if o.dial == nil {
		o.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	if o.address == "" {
		o.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", o.address)
	require.NoError(t, err)
	sessions := transport.NewServer(transport.Options{Self: &pb.Hello{Place: o.place}})
	h := &testHelper{sessions: sessions, address: l.Addr().String()}
	h.Server = NewServer(ServerOptions{Knows: o.knows, MaxConns: o.maxConns, Logger: quiet, Dial: o.dial}, sessions)
	go func() { _ = sessions.Serve(l) }()
	t.Cleanup(sessions.Close)
	return h
}

func startDialer(t *testing.T, helpers ...string) *Dialer {
	t.Helper()
	d := NewDialer(DialerOptions{Helpers: func() []string { return append([]string(nil), helpers...) }, Place: "here", Logger: quiet})
	t.Cleanup(d.Close)
	return d
}

// listen starts an upstream that serves each connection with a function.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func echo(c *net.TCPConn) { _, _ = io.Copy(c, c) }

func contextFor(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func dialTo(t *testing.T, d *Dialer, address string) *Conn {
	t.Helper()
	c, err := d.Dial(contextFor(t, 5*time.Second), address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

func readAtLeast(t *testing.T, c net.Conn, n int) []byte {
	t.Helper()
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	return b
}

// resetOnClose makes the end of a connection a reset.
func resetOnClose(t *testing.T, c *net.TCPConn) { require.NoError(t, c.SetLinger(0)) }

// Guards against bytes that are lost, repeated or reordered in either direction.
func TestBytesOfBothDirections(t *testing.T) {
	d := startDialer(t, startHelper(t, helperOptions{}).address)
	c := dialTo(t, d, listen(t, echo))
	sent := make([]byte, 3<<20)
	_, _ = rand.Read(sent)
	go func() { _, _ = c.Write(sent) }()
	require.True(t, bytes.Equal(sent, readAtLeast(t, c, len(sent))))
	require.True(t, c.Idle())
	require.Equal(t, StateOpen, c.State())
}

// Guards against an event that waits for the next one.
func TestEachEventIsPassedOnAtOnce(t *testing.T) {
	d := startDialer(t, startHelper(t, helperOptions{}).address)
	c := dialTo(t, d, listen(t, echo))
	for range 50 {
		start := time.Now()
		_, err := c.Write([]byte("event"))
		require.NoError(t, err)
		require.Equal(t, "event", string(readAtLeast(t, c, 5)))
		require.Less(t, time.Since(start), 100*time.Millisecond)
	}
}

// Guards against an upstream's end, a reset and the loss of the helper that look alike.
func TestEndResetAndLossAreToldApart(t *testing.T) {
	end := listen(t, func(c *net.TCPConn) { _, _ = c.Write([]byte("data")) })
	reset := listen(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("data"))
		time.Sleep(50 * time.Millisecond)
		resetOnClose(t, c)
	})
	open := listen(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("data"))
		_, _ = io.Copy(io.Discard, c)
	})
	for name, c := range map[string]struct {
		upstream string
		state    State
		err      error
	}{
		"end":   {end, StateEnded, io.EOF},
		"reset": {reset, StateReset, syscall.ECONNRESET},
		"lost":  {open, StateLost, ErrLost},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHelper(t, helperOptions{})
			conn := dialTo(t, startDialer(t, h.address), c.upstream)
			if name == "lost" {
				require.Eventually(t, func() bool { return !conn.Idle() }, time.Second, time.Millisecond)
				h.sessions.Close()
			}
			require.Eventually(t, func() bool { return conn.State() == c.state }, time.Second, time.Millisecond)
			require.False(t, conn.Idle())
			require.Equal(t, "data", string(readAtLeast(t, conn, 4)))
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, c.err)
			_, err = conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, c.err)
			if name != "end" {
				_, err = conn.Write([]byte("x"))
				require.ErrorIs(t, err, c.err)
			}
		})
	}
}

// Guards against data that is lost when it arrives after a deadline.
func TestDataAfterADeadline(t *testing.T) {
	release := make(chan struct{})
	d := startDialer(t, startHelper(t, helperOptions{}).address)
	c := dialTo(t, d, listen(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("one"))
		<-release
		_, _ = c.Write([]byte("two"))
		_, _ = io.Copy(io.Discard, c)
	}))
	require.Equal(t, "one", string(readAtLeast(t, c, 3)))
	for range 3 {
		start := time.Now()
		require.NoError(t, c.SetReadDeadline(start.Add(30*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout())
		require.Less(t, time.Since(start), time.Second)
	}
	close(release)
	require.Eventually(t, func() bool { return !c.Idle() }, time.Second, time.Millisecond)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	require.Equal(t, "two", string(readAtLeast(t, c, 3)))
}

// Guards against a run that goes on after its caller has left, in whichever direction the
// connection is blocked.
func TestCloseReachesTheUpstreamAtOnce(t *testing.T) {
	for name, use := range map[string]func(c *Conn){
		"idle":        func(*Conn) {},
		"unread data": func(*Conn) { time.Sleep(200 * time.Millisecond) },
		"blocked writing": func(c *Conn) {
			_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = c.Write(make([]byte, 32<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan time.Time, 1)
			upstream := listen(t, func(c *net.TCPConn) {
				if name == "blocked writing" {
					// Nothing is read, so the end is seen as an error of the connection.
					raw, _ := c.SyscallConn()
					for !peerHasLeft(raw) {
						time.Sleep(time.Millisecond)
					}
				} else if name == "unread data" {
					for {
						if _, err := c.Write(make([]byte, 1<<20)); err != nil {
							break
						}
					}
				} else {
					_, _ = io.Copy(io.Discard, c)
				}
				ended <- time.Now()
			})
			d := startDialer(t, startHelper(t, helperOptions{}).address)
			c := dialTo(t, d, upstream)
			use(c)
			closed := time.Now()
			require.NoError(t, c.Close())
			select {
			case at := <-ended:
				require.Less(t, at.Sub(closed), 100*time.Millisecond)
			case <-time.After(5 * time.Second):
				t.Fatal("the upstream's connection was not closed")
			}
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

// peerHasLeft reports whether the other end has closed or reset the connection, without
// reading from it.
func peerHasLeft(raw syscall.RawConn) bool {
	const (
		stateClosed    = 7
		stateCloseWait = 8
	)
	left := false
	err := raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		var b [4]byte
		binary.NativeEndian.PutUint32(b[:], uint32(info))
		left = err != nil || b[0] == stateClosed || b[0] == stateCloseWait
	})
	return left || err != nil
}
