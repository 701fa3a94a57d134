package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
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
	var callers struct{ Connections int }
	require.NoError(t, json.Unmarshal([]byte(e.base.Memory.Vars().String()), &callers))
	require.Less(t, callers.Connections, descriptors)
}
