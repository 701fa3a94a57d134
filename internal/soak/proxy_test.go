package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a finding that the simulated network causes: a connection that delivers
// data after it has discarded some.
func TestConnectionDeliversNothingAfterLostData(t *testing.T) {
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer runner.Close()
	p, err := newProxy("127.0.0.1:0", runner.Addr().String(), false)
	require.NoError(t, err)
	defer p.close()
	client, err := net.Dial("tcp", p.address())
	require.NoError(t, err)
	defer client.Close()
	server, err := runner.Accept()
	require.NoError(t, err)
	defer server.Close()

	write := func(data string) {
		_, err := io.WriteString(server, data)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	write("1")
	p.dropResponses.Store(true)
	write("2")
	p.dropResponses.Store(false)
	write("3")
	require.NoError(t, client.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	got, _ := io.ReadAll(client)
	require.Equal(t, "1", string(got))
}
