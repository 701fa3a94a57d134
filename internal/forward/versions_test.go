package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against the version of an upstream that could not be reached being kept for a
// stream that began at the next one within the same millisecond.
func TestUnsentAttemptDoesNotKeepItsVersion(t *testing.T) {
	s := &Server{start: time.Now(), reportNow: make(reportSignal, 1)}
	x := &exchange{s: s, info: RequestInfo{ID: "a"}}
	for _, version := range []string{"v1", "v2"} {
		// An attempt that is not sent leaves the number of sends as it was.
		x.recordVersion(&target{record: &pb.UpstreamRecord{SoftwareVersion: version}})
	}
	var hub policy.StreamVersions
	for _, m := range s.takeStreamVersions() {
		hub.Record(policy.StreamVersion{ID: m.Id, Version: m.Version, Attempt: int(m.Attempt), RecordedAt: time.Second}, time.Second)
	}
	v, known := hub.Get("a", time.Second)
	require.True(t, known)
	require.Equal(t, "v2", v.Version)
}
