package forward

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// meanwhileHub knows no stream. What it does while it is asked stands for what arrives then.
type meanwhileHub struct{ asked, observed func() }

func (h *meanwhileHub) StreamVersion(context.Context, string) (policy.StreamVersion, bool) {
	if h.asked != nil {
		h.asked()
	}
	return policy.StreamVersion{}, false
}

func (*meanwhileHub) RecordStreamVersion(context.Context, policy.StreamVersion) bool { return false }

func (h *meanwhileHub) VersionsObserved() time.Duration {
	if h.observed != nil {
		h.observed()
	}
	return time.Hour
}

func (*meanwhileHub) ReportsArrive() bool { return true }

func (*meanwhileHub) NoteVersions(context.Context, policy.RunVersions) bool { return true }

func (*meanwhileHub) VersionsInUse(context.Context, string) ([]*pb.ServiceVersion, bool) {
	return nil, true
}

func (*meanwhileHub) LastReport(context.Context, string) (int64, time.Duration, bool) {
	return 0, 0, false
}

func takeUpExchange(t *testing.T, hub *meanwhileHub) *exchange {
	s := NewServer(Options{Logger: &log.Logger{Level: log.PanicLevel}})
	t.Cleanup(s.Stop)
	s.SetStreamVersionSource(hub)
	s.SetConfig(routesConfig(t, 1, "/a/", true, Share{"x", 1}))
	s.SetUpstreams([]*pb.UpstreamRecord{{Id: "u", Address: "127.0.0.1:1", Service: "x", SoftwareVersion: "v1", Phase: pb.UpstreamPhase_UPSTREAM_READY, Models: []string{"m"}, Weights: []string{"1"}}})
	c := s.config.Load()
	return &exchange{s: s, ctx: context.Background(), config: c, route: c.Match("h.example", "/a/x"), info: RequestInfo{ID: "b", StreamID: "a", LastEventID: "3", Model: "m"}}
}

// Guards against a stream that began under a configuration which arrives while its take-up
// waits for the hubs: other entries had it, and the route leads to another service in it.
func TestTakeUpWhileRouteMoves(t *testing.T) {
	hub := &meanwhileHub{}
	x := takeUpExchange(t, hub)
	_, known := x.findStream()
	require.True(t, known, "control")
	hub.asked = func() { x.s.SetConfig(routesConfig(t, 2, "/a/", true, Share{"y", 1})) }
	v, known := x.findStream()
	require.False(t, known, "the stream may have begun at y, but goes on at %s", v.Versions.Service)
}

// Guards against a list of services that is read before the time for which it is complete.
func TestTakeUpWhileServicesArrive(t *testing.T) {
	hub := &meanwhileHub{}
	x := takeUpExchange(t, hub)
	hub.observed = func() {
		x.s.SetRouteServices([]*pb.RouteService{{Host: "h.example", Prefix: "/a/", Service: "old", AgeMs: 1000}})
	}
	v, known := x.findStream()
	require.False(t, known, "the stream may have begun at old, but goes on at %s", v.Versions.Service)
}

// Guards against one stream that names no model, at an engine with two, after which streams of
// all models are refused.
func TestOnlyVersionsAfterARequestWithoutAModel(t *testing.T) {
	x := takeUpExchange(t, &meanwhileHub{})
	x.s.SetUpstreams([]*pb.UpstreamRecord{{Id: "u", Address: "127.0.0.1:1", Service: "x", SoftwareVersion: "v1", Sequence: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, Models: []string{"m", "n"}, Weights: []string{"1", "1"}}})
	_, known := x.s.onlyVersions("x", "m")
	require.True(t, known, "control")
	x.s.recordStream([]string{"z"}, policy.StreamVersion{First: "z", Versions: policy.RunVersions{Service: "x", Software: "v1"}, Attempt: 1})
	_, known = x.s.onlyVersions("x", "m")
	require.True(t, known)
}

// Guards against a caller that lacks the event at which the weights changed, since its entry
// ended after the change was recorded: its text is of the weights before alone.
func TestTakeUpBeforeWeightsChanged(t *testing.T) {
	hub := &versionHub{}
	x := versionExchange(hub)
	require.True(t, x.admitVersions(weightsOfRun("1"), true, ""))
	<-x.s.reportNow
	hub.take(x.s)
	admitted := make(chan bool)
	// Event 4, which the entry doesn't get to pass on.
	go func() { admitted <- x.admitVersions(weightsOfRun("2"), false, "3") }()
	<-x.s.reportNow
	hub.take(x.s)
	require.True(t, <-admitted)
	next := versionExchange(hub)
	next.info = RequestInfo{ID: "b", StreamID: "a", LastEventID: "3", Model: "m"}
	v, known := next.findStream()
	require.True(t, known)
	require.NotEqual(t, "2", v.Versions.Weights, "joins events 1 to 3 of weights 1 with another run of weights 2")
}

// Guards against a caller whose last event has an id that can't be compared with that of the
// event before a change of weights: it may lack the change, and then has text of the weights
// before alone.
func TestTakeUpBeforeWeightsChangedWithIDsThatAreNoNumbers(t *testing.T) {
	for last, want := range map[string]string{"t-1": "", "t-3": "1", "t-4": ""} {
		x := takeUpExchange(t, &meanwhileHub{})
		x.s.recordStream([]string{"a"}, policy.StreamVersion{
			First: "a", Versions: policy.RunVersions{Service: "x", Software: "v1", Model: "m", Weights: "2"}, ChangedAfter: "t-3", EarlierWeights: "1", Attempt: 2,
		})
		x.info.LastEventID = last
		v, known := x.findStream()
		require.Equal(t, want != "", known, "after %s", last)
		if known {
			require.Equal(t, want, v.Versions.Weights, "after %s", last)
		}
	}
}

// Guards against a stream that goes on by the entry's own record, although hubs have a later one
// which does not tell the versions.
func TestTakeUpAfterALaterRecordThatDoesNotTellTheVersions(t *testing.T) {
	hub := &versionHub{}
	x := versionExchange(hub)
	x.info = RequestInfo{ID: "b", StreamID: "a", LastEventID: "3", Model: "m"}
	x.s.recordStream([]string{"a"}, policy.StreamVersion{First: "a", Versions: weightsOfRun("1"), Attempt: 1})
	_, known := x.findRecord("a")
	require.True(t, known, "control")
	hub.known.Record(policy.StreamVersion{ID: "a", Versions: policy.RunVersions{Software: "v1"}, Attempt: 2, RecordedAt: time.Second}, time.Second)
	_, known = x.findRecord("a")
	require.False(t, known)
}
