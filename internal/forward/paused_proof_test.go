package forward

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// contactSource is a source of versions that says whether reports arrive.
type contactSource struct {
	versionHub
	reportsArrive bool
}

func (c *contactSource) ReportsArrive() bool { return c.reportsArrive }

// Guards against a process that tells no start and is taken for the one of the record by an entry
// that was paused: what hubs have sent meanwhile, a silence or a successor, it has not read yet.
func TestPausedEntriesProveNoProcess(t *testing.T) {
	for _, reportsArrive := range []bool{true, false} {
		s := &Server{
			start: time.Now().Add(-time.Hour), reportNow: make(reportSignal, 1), upstreams: newUpstreams("", nil), versionSource: &contactSource{reportsArrive: reportsArrive},
			opts: Options{Logger: &log.Logger{Level: log.PanicLevel}, MaxReportDelay: defaultReportDelay},
		}
		s.upstreams.update([]*pb.UpstreamRecord{{Id: "a", Service: "llm", Address: "127.0.0.1:9", SoftwareVersion: "v1", BornMs: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY}}, s.now())
		engine := s.upstreams.get("a")
		s.seeVersions([]*pb.UpstreamRecord{engine.currentRecord()})
		// No sweep has run since the process accepted the connection.
		p := &untoldProcess{number: -5, acceptedAt: s.now() - s.proofTime() - time.Second}
		require.Equal(t, reportsArrive, s.isReported(engine, p))
	}
}
