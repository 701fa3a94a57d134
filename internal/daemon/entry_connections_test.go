package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/upstream"
)

// Guards against callers whose connections take all descriptors of gw-entry.
func TestCallersConnectionsOfAnEntryAreLimited(t *testing.T) {
	const descriptors, conns = 20, 60
	e, err := StartEntry(EntryConfig{
		Self: &pb.Hello{DaemonId: "e", Vm: "e"}, Listen: "127.0.0.1:0", Sessions: "127.0.0.1:0", ControlAddrs: []string{"127.0.0.1:1"},
		Limits: entry.DefaultLimits(1, 0), MaxDescriptors: descriptors, Logger: &log.Logger{Level: log.PanicLevel},
	})
	require.NoError(t, err)
	defer e.Kill()
	for range conns {
		c, err := net.Dial("tcp", e.Addr)
		require.NoError(t, err)
		defer c.Close()
	}
	// The connection of this request is accepted after all the others.
	resp, err := http.Get("http://" + e.Addr + "/livez")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Less(t, callersConnections(t, e), descriptors)
}

// Guards against callers whose connections keep upstreams from announcing themselves.
func TestCallersLeaveConnectionsToAnnouncements(t *testing.T) {
	e, err := StartEntry(EntryConfig{
		Self: &pb.Hello{DaemonId: "e", Vm: "e"}, Listen: "127.0.0.1:0", Sessions: "127.0.0.1:0", Upstreams: "127.0.0.1:0", ControlAddrs: []string{"127.0.0.1:1"},
		Limits: entry.DefaultLimits(1, 0), MaxDescriptors: 20, Logger: &log.Logger{Level: log.PanicLevel},
	})
	require.NoError(t, err)
	defer e.Kill()
	resp, err := http.Post("http://"+e.announceServer.Addr+upstream.PathAnnounce, "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Zero(t, callersConnections(t, e), "the connection for announcements counts as one of callers")
}

// callersConnections returns how many connections count against the budget for callers.
func callersConnections(t *testing.T, e *Entry) int {
	t.Helper()
	var callers struct{ Connections int }
	require.NoError(t, json.Unmarshal([]byte(e.base.Memory.Vars().String()), &callers))
	return callers.Connections
}
