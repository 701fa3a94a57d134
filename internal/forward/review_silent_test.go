package forward

import (
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
)

// Guards against a process that tells no start, and at which no stream goes on for as long as it
// runs, because no hub was in reach in the first minute: its references are open all the time.
func TestProcessesOfReferencesAreProvenAfterALongLossOfContact(t *testing.T) {
	for name, lost := range map[string]time.Duration{"short": 0, "longer than the proof is looked for": proofPeriod + time.Second} {
		t.Run(name, func(t *testing.T) {
			s := &Server{
				start: time.Now().Add(-time.Hour), reportNow: make(reportSignal, 1), upstreams: newUpstreams("", nil),
				versionSource: &slowReports{},
				opts:          Options{Logger: &log.Logger{Level: log.PanicLevel}, MaxReportDelay: fleet.MaxReportDelay},
			}
			s.upstreams.update([]*pb.UpstreamRecord{{Id: "a", Service: "llm", Address: "127.0.0.1:9", SoftwareVersion: "v1", BornMs: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY}}, s.now())
			engine := s.upstreams.get("a")
			ours, theirs := net.Pipe()
			defer func() { _, _ = ours.Close(), theirs.Close() }()
			p := &untoldProcess{number: -5, acceptedAt: s.now() - fleet.MaxReportDelay - time.Second - lost}
			engine.references.unproven = []*untoldProcess{p}
			engine.references.set([]*conn{newConn(ours)}, p)
			s.proveProcesses(t.Context(), engine)
			require.True(t, engine.knownAsReported())
		})
	}
}
