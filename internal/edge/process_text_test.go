package edge

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

// startEarlyEngines starts engines of v2 under ids whose last reports are of processes with v1.
// It returns the reports that are still to come.
func (v *versionTest) startEarlyEngines(first, n int) (late []*pb.UpstreamRecord) {
	for i := first; i < first+n; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(v.t, err)
		r := &standin.Runner{ID: fmt.Sprint("i-", i), Service: "llm", Stage: standin.StageDecode, Version: "v2", StartMs: 2, ServiceTime: versionInterval, Events: versionEvents,
			Statements: v.statements, OnArrival: func(standin.Run) {}, OnStart: func(standin.Run) {}}
		r.Start(l)
		v.t.Cleanup(r.Stop)
		report := &pb.UpstreamRecord{Id: r.ID, Service: "llm", Address: l.Addr().String(), SoftwareVersion: "v1",
			Phase: pb.UpstreamPhase_UPSTREAM_READY, Stage: pb.EngineStage_ENGINE_STAGE_DECODE, BornMs: 1, Sequence: 9, Slots: 8}
		v.hubs[i%len(v.hubs)].Report(proto.CloneOf(report))
		report.SoftwareVersion, report.BornMs, report.Sequence = "v2", r.StartMs, 1
		late = append(late, report)
	}
	return late
}

// Guards against streams that begin at processes which have not reported, go on at another
// version after all entries have ended, or are refused although their processes have reported
// since.
func TestStreamsOfProcessesThatServeBeforeTheyReport(t *testing.T) {
	for _, c := range []struct {
		name string
		// reported is set if the late reports arrive, ended if all hubs end before, and wiped
		// names those that lose their disks.
		reported, ended bool
		wiped           []int
	}{
		{name: "not reported"},
		{name: "reported", reported: true},
		{name: "all processes ended", reported: true, ended: true},
		{name: "all processes ended, one disk kept", reported: true, ended: true, wiped: []int{0, 1}},
		{name: "all processes ended, not reported", ended: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &versionTest{testSystem: newTestSystem(t, 3, 4)}
			v.startEngines("v1", 0, 3)
			late := v.startEarlyEngines(3, 3)
			time.Sleep(200 * time.Millisecond)
			list := v.runBroken(40, func() {
				if c.ended {
					v.restartHubs(c.wiped...)
					v.reportEngines(2)
				}
				for i, r := range late {
					if c.reported {
						v.hubs[i].Report(r)
					}
				}
			})
			began := map[string]int{}
			for _, s := range list {
				require.Len(t, s.versions, 1, "joined")
				for version := range s.versions {
					began[version]++
				}
				if s.versions["v1"] || c.reported {
					require.True(t, s.complete, "began at %v, status %d", s.versions, s.status)
				} else {
					require.Equal(t, http.StatusServiceUnavailable, s.status)
				}
			}
			require.NotZero(t, began["v1"])
			require.NotZero(t, began["v2"])
		})
	}
}
