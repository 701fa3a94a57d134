package forward

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
)

// slowReports is a source that answers late how old the newest report is.
type slowReports struct {
	versionHub
	age, answersAfter time.Duration
}

func (r *slowReports) LastReport(context.Context, string) (int64, time.Duration, bool) {
	time.Sleep(r.answersAfter)
	return 1, r.age, true
}

// Guards against a process that tells no start and is taken for the one of the record by an entry
// that was paused while it asked: the report is older than its age says by then.
func TestPausedEntriesProveNoProcess(t *testing.T) {
	for _, tt := range []struct {
		age    time.Duration
		proven bool
	}{{age: 0, proven: true}, {age: 200 * time.Millisecond, proven: false}} {
		s := &Server{
			start: time.Now().Add(-time.Hour), reportNow: make(reportSignal, 1), upstreams: newUpstreams("", nil),
			versionSource: &slowReports{age: tt.age, answersAfter: 300 * time.Millisecond},
			opts:          Options{Logger: &log.Logger{Level: log.PanicLevel}, MaxReportDelay: fleet.MaxReportDelay},
		}
		s.upstreams.update([]*pb.UpstreamRecord{{Id: "a", Service: "llm", Address: "127.0.0.1:9", SoftwareVersion: "v1", BornMs: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY}}, s.now())
		engine := s.upstreams.get("a")
		p := &untoldProcess{number: -5, acceptedAt: s.now() - fleet.MaxReportDelay - 100*time.Millisecond}
		engine.references.unproven = []*untoldProcess{p}
		s.proveProcesses(t.Context(), engine)
		require.Equal(t, tt.proven, isReported(p))
	}
}
