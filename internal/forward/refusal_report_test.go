package forward

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// reportsHub knows no stream. Reports arrive unless away is set.
type reportsHub struct {
	meanwhileHub
	away atomic.Bool
}

func (h *reportsHub) ReportsArrive() bool { return !h.away.Load() }

// unreportedTakeUp returns a request for a stream that began at a process before its report, and
// a function by which a process reports. A process that started earlier has reported.
func unreportedTakeUp(t *testing.T, hub *reportsHub, timeout time.Duration) (x *exchange, report func(bornMs int64)) {
	x = takeUpExchange(t, &hub.meanwhileHub)
	x.s.SetStreamVersionSource(hub)
	report = func(bornMs int64) {
		x.s.SetUpstreams([]*pb.UpstreamRecord{{Id: "u", Address: "127.0.0.1:1", Service: "x", BornMs: bornMs, SoftwareVersion: "v1", Phase: pb.UpstreamPhase_UPSTREAM_READY, Models: []string{"m"}, Weights: []string{"1"}}})
	}
	report(4)
	x.s.recordStream([]string{"a"}, policy.StreamVersion{First: "a", Versions: policy.RunVersions{Service: "x", Software: fleet.ProcessText("u", 5), Model: "m", Weights: "1"}, Attempt: 1})
	x.w, x.r = httptest.NewRecorder(), httptest.NewRequest("POST", "/a/x", nil)
	x.service = x.config.Services["x"]
	x.deadline = time.Now().Add(timeout)
	x.callerDeadline = x.deadline
	return x, report
}

// Guards against a caller that is refused, again and again, while the report that its stream
// waits for is about to arrive.
func TestTakeUpsWaitForTheReportOfTheirProcess(t *testing.T) {
	x, report := unreportedTakeUp(t, &reportsHub{}, 8*time.Second)
	time.AfterFunc(300*time.Millisecond, func() { report(5) })
	require.True(t, x.pinStream())
	require.Equal(t, "v1", x.run.Software)
}

// Guards against a take-up that waits for a report that cannot arrive any more, or not at this
// entry, and against one that uses up its caller's time.
func TestTakeUpsWaitForNoOtherReport(t *testing.T) {
	refusedAfter := func(x *exchange) time.Duration {
		began := time.Now()
		require.False(t, x.pinStream())
		require.Equal(t, 503, x.status)
		require.Equal(t, "stream_version_unknown", x.reason)
		return time.Since(began)
	}
	x, _ := unreportedTakeUp(t, &reportsHub{}, time.Second)
	require.Less(t, refusedAfter(x), 500*time.Millisecond, "the caller has a second")
	x, _ = unreportedTakeUp(t, &reportsHub{}, time.Minute)
	require.Less(t, refusedAfter(x), 1500*time.Millisecond, "callers leave after two seconds without an event")
	x, report := unreportedTakeUp(t, &reportsHub{}, time.Minute)
	report(6)
	require.Less(t, refusedAfter(x), 200*time.Millisecond, "a later process has reported under the id")
	hub := &reportsHub{}
	hub.away.Store(true)
	x, _ = unreportedTakeUp(t, hub, time.Minute)
	require.Less(t, refusedAfter(x), 200*time.Millisecond, "no reports arrive")
}

// Guards against a take-up that waits for a report although its route has left the service of the
// stream.
func TestTakeUpsOfMovedRoutesDoNotWait(t *testing.T) {
	x, _ := unreportedTakeUp(t, &reportsHub{}, time.Minute)
	x.s.SetConfig(routesConfig(t, 2, "/a/", true, Share{"y", 1}))
	x.config = x.s.config.Load()
	x.route = x.config.Match("h.example", "/a/x")
	began := time.Now()
	require.False(t, x.pinStream())
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, "stream_service_gone", x.reason)
}

// Guards against an earlier answer of the stream that is still read, and whose change of weights
// is accepted while a take-up waits: its record must have been replaced by then.
func TestTakeUpsAreRecordedBeforeTheyWait(t *testing.T) {
	x, report := unreportedTakeUp(t, &reportsHub{}, 8*time.Second)
	recorded := func() policy.StreamVersion {
		x.s.streamVersions.mu.Lock()
		defer x.s.streamVersions.mu.Unlock()
		v, _ := x.s.streamVersions.known.Get("a", x.s.now())
		return v
	}
	waiting := make(chan policy.StreamVersion, 1)
	time.AfterFunc(300*time.Millisecond, func() {
		waiting <- recorded()
		report(5)
	})
	require.True(t, x.pinStream())
	require.Equal(t, 1+takeUpStep, (<-waiting).Attempt)
	require.Greater(t, recorded().Attempt, 1+takeUpStep)
	require.Equal(t, "v1", recorded().Versions.Software)
}
