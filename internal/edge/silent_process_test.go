package edge

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/platform/standin"
)

// startUntoldEngine starts an engine of v2 that tells no start, under the id of a process with v1
// that has reported once, to the first hub, and has ended.
func (v *versionTest) startUntoldEngine(id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(v.t, err)
	r := &standin.Runner{ID: id, Service: "llm", Stage: standin.StageDecode, Version: "v2", StartMs: 2, ServiceTime: time.Millisecond, Events: versionEvents,
		Statements: standin.Statements{StartInReport: standin.Absent}, OnArrival: func(standin.Run) {}, OnStart: func(standin.Run) {}}
	r.Begin()
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(l) }()
	v.t.Cleanup(func() { _ = server.Close() })
	v.hubs[0].Report(&pb.UpstreamRecord{Id: id, Service: "llm", Address: l.Addr().String(), SoftwareVersion: "v1",
		Phase: pb.UpstreamPhase_UPSTREAM_READY, Stage: pb.EngineStage_ENGINE_STAGE_DECODE, BornMs: 1, Sequence: 9, Slots: 8})
}

// Guards against streams of a process that tells no start and has not reported which are recorded
// at the software of the process before it: hubs that have restarted know of no report under the
// id, and so of no silence either.
func TestProcessesAreNotKnownByReportsThatAllHubsHaveLost(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("hubs restarted: ", restarted), func(t *testing.T) {
			t.Parallel()
			v := &versionTest{testSystem: newTestSystem(t, 1, 1)}
			v.startUntoldEngine("i-0")
			time.Sleep(200 * time.Millisecond)
			if restarted {
				v.restartHubs()
			}
			const proofTime = 16 * time.Second
			served := 0
			for n, begin := 0, time.Now(); time.Since(begin) < proofTime+2*time.Second; n++ {
				s := &versionStream{versions: map[string]bool{}}
				s.read(t, v.entries[0].Listener.Addr().String(), fmt.Sprint("stream-", n))
				if s.complete {
					served++
				}
				time.Sleep(300 * time.Millisecond)
			}
			require.NotZero(t, served)
			for _, m := range v.servers[0].StreamVersions() {
				require.True(t, fleet.IsProcessText(m.Version), "stream %s of v2 is recorded at %s", m.Id, m.Version)
			}
		})
	}
}
