package budget

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// acceptConn returns both ends of a connection that counts against a budget.
func acceptConn(t *testing.T) (b *Budget, caller, conn net.Conn) {
	t.Helper()
	b = New(4<<20, 0)
	l, err := b.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = conn.Close() })
	return b, caller, conn
}

// send passes text over a connection and returns by how much the memory in use grows.
func send(t *testing.T, b *Budget, caller, conn net.Conn, text string) int64 {
	t.Helper()
	before := b.used.Load()
	_, err := caller.Write([]byte(text))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, readerBytes))
	require.NoError(t, err)
	return b.used.Load() - before
}

// Guards against a connection of HTTP/2 that is counted as one of HTTP/1, and refused in its
// language, because its preface arrives in several reads.
func TestPrefaceInSeveralReadsIsThatOfHTTP2(t *testing.T) {
	for split := 1; split < len(http2Preface); split++ {
		b, caller, conn := acceptConn(t)
		send(t, b, caller, conn, http2Preface[:split])
		send(t, b, caller, conn, http2Preface[split:])
		require.Zero(t, send(t, b, caller, conn, "\n\n\n\n"), "split after %d bytes", split)
	}
}

// Guards against lines of HTTP/1 that are not counted because they follow the begin of a
// preface, or come before one.
func TestBeginOfAPrefaceIsCounted(t *testing.T) {
	b, caller, conn := acceptConn(t)
	for _, text := range []string{http2Preface[:18], "a:\r\nb:\r\n", http2Preface, "c:\r\n"} {
		require.Positive(t, send(t, b, caller, conn, text), "%q", text)
	}
}
