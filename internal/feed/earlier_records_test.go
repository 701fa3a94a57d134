package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

var runOfA = policy.RunVersions{Service: "llm", Software: "v1", Model: "m", Weights: "7"}

// startRecognised returns a hub with the engines of reportEngines, and an entry that it has
// recognised as one that compares software only.
func startRecognised(t *testing.T) (*Hub, string, *earlierEntry) {
	h := startHubs(t, 1)
	reportEngines(h.hubs[0], 1)
	e := attachEarlierEntry(t, h.members[0], &pb.FeedRequest{StreamVersions: []*pb.StreamVersion{{Id: "x", Version: "v1", Attempt: 1}}})
	require.Eventually(t, func() bool { return e.version("prefill") != "" }, 5*time.Second, 5*time.Millisecond)
	require.NotNil(t, fleet.ParseRunText(e.version("a")))
	return h.hubs[0], h.members[0], e
}

// askAsEarlier asks a hub about a stream as the entry of a VM with a build without levels.
func askAsEarlier(t *testing.T, hub, vm, id string) (known bool, software string) {
	client := transport.NewClient(hub, transport.Options{OmitLevel: true, Self: &pb.Hello{Vm: vm}})
	defer client.Close()
	resp := &pb.StreamVersionResponse{}
	require.NoError(t, client.Call(t.Context(), transport.MethodStreamVersion, &pb.StreamVersionRequest{Id: id}, resp))
	return resp.SoftwareKnown, resp.SoftwareVersion
}

// Guards against streams that an entry which is told run texts refuses, because the hub answers
// with a software version that no engine has in its eyes.
func TestEntriesThatAreToldRunTextsAreAnsweredWithThem(t *testing.T) {
	h, address, e := startRecognised(t)
	whole := func(id string, v policy.StreamVersion) {
		v.ID, v.Versions, v.Attempt, v.RecordedAt = id, runOfA, 1, h.now()
		h.mergeStreamVersions([]*pb.StreamVersion{fleet.EncodeStreamVersion(v, h.now())}, true)
	}
	whole("s", policy.StreamVersion{})
	known, software := askAsEarlier(t, address, "entry", "s")
	require.True(t, known)
	require.Equal(t, e.version("a"), software)
	known, _ = askAsEarlier(t, address, "another-entry", "s")
	require.False(t, known, "an engine with the software has other weights")
	whole("changed", policy.StreamVersion{ChangedAfter: "3", EarlierWeights: "6"})
	known, _ = askAsEarlier(t, address, "entry", "changed")
	require.False(t, known, "it does not know which weights its caller has text of")
}

// Guards against streams begun at an entry that is told run texts which no other entry can
// take up, and against one that goes on at weights that the engine has left meanwhile.
func TestStreamsOfEntriesThatAreToldRunTextsAreKnown(t *testing.T) {
	h, address, e := startRecognised(t)
	present, _ := startSubscriber(t, []string{address})
	require.Eventually(t, func() bool { return len(present.openStreams()) == 1 }, 3*time.Second, 5*time.Millisecond)
	text := e.version("a")
	require.NoError(t, e.st.Send(&pb.OutcomeReport{StreamVersions: []*pb.StreamVersion{{Id: "r", Version: text, Attempt: 1}}}))
	require.Eventually(t, func() bool {
		v, known := present.StreamVersion(t.Context(), "r")
		return known && v.Versions == runOfA && v.Attempt == 1
	}, 3*time.Second, 5*time.Millisecond)
	known, software := askAsEarlier(t, address, "entry", "r")
	require.True(t, known)
	require.Equal(t, text, software)

	// Upstreams without models have no weights.
	plain := fleet.RunText(&pb.UpstreamRecord{Service: "plain", SoftwareVersion: "v1"})
	require.NoError(t, e.st.Send(&pb.OutcomeReport{StreamVersions: []*pb.StreamVersion{{Id: "p", Version: plain, Attempt: 1}}}))
	require.Eventually(t, func() bool {
		v, known := present.StreamVersion(t.Context(), "p")
		return known && v.Versions == (policy.RunVersions{Service: "plain", Software: "v1"})
	}, 3*time.Second, 5*time.Millisecond)

	h.Report(engineRecord("a", "llm", "9", pb.EngineStage_ENGINE_STAGE_DECODE, 2))
	_, known = present.StreamVersion(t.Context(), "r")
	require.False(t, known, "the engine may have gone on with other weights, which the entry does not record")
	known, _ = askAsEarlier(t, address, "entry", "r")
	require.False(t, known)
}

// Guards against a stream that goes on by its record although an entry that records no
// service has taken it up later.
func TestLaterRecordsWithoutAServiceCount(t *testing.T) {
	h, address, e := startRecognised(t)
	present, _ := startSubscriber(t, []string{address})
	require.Eventually(t, func() bool { return len(present.openStreams()) == 1 }, 3*time.Second, 5*time.Millisecond)
	ask := func(id string) (policy.StreamVersion, bool) {
		v, known := present.StreamVersion(t.Context(), id)
		return v, known
	}
	merge := func(list ...*pb.StreamVersion) { h.mergeStreamVersions(list, true) }
	for _, id := range []string{"other", "text", "stripped"} {
		merge(&pb.StreamVersion{Id: id, Service: "llm", Version: "v1", Model: "m", Weights: "7", Attempt: 1})
	}
	merge(&pb.StreamVersion{Id: "other", Version: "v2", Attempt: earlierTakeUp})
	v, known := ask("other")
	require.False(t, known, "it went on at other software")
	require.Equal(t, earlierTakeUp, v.Attempt, "an older record that the entry has does not count either")
	merge(&pb.StreamVersion{Id: "text", Version: e.version("other-weights"), Attempt: earlierTakeUp})
	v, known = ask("text")
	require.True(t, known)
	require.Equal(t, "8", v.Versions.Weights)
	// The newest record of a stream is kept under its first id too.
	merge(&pb.StreamVersion{Id: "second", FirstId: "first", Service: "llm", Version: "v1", Model: "m", Weights: "7", Attempt: 1<<10 + 1})
	merge(&pb.StreamVersion{Id: "second", Version: e.version("a"), Attempt: earlierTakeUp})
	v, known = ask("second")
	require.True(t, known)
	require.Equal(t, "first", v.First)
	// Hubs of earlier builds pass on records that they have stripped.
	merge(&pb.StreamVersion{Id: "stripped", Version: "v1", Attempt: 1}, &pb.StreamVersion{Id: "stripped", Version: fleet.OtherSoftware, Attempt: 2})
	v, known = ask("stripped")
	require.True(t, known)
	require.Equal(t, runOfA, v.Versions)
	// A take-up at a present entry follows.
	merge(&pb.StreamVersion{Id: "other", Service: "llm", Version: "v1", Model: "m", Weights: "7", Attempt: earlierTakeUp + 1<<10})
	_, known = ask("other")
	require.True(t, known)

	// Where the software tells the run, a take-up with the same software is of the same run.
	h.Report(engineRecord("only", "plain", "1", pb.EngineStage_ENGINE_STAGE_DECODE, 1))
	merge(&pb.StreamVersion{Id: "same", Service: "plain", Version: "v1", Model: "m", Weights: "1", Attempt: 1})
	merge(&pb.StreamVersion{Id: "same", Version: "v1", Attempt: earlierTakeUp})
	v, known = ask("same")
	require.True(t, known)
	require.Equal(t, earlierTakeUp, v.Attempt)
	require.Equal(t, "plain", v.Versions.Service)
}

// Guards against records of earlier entries that reach hubs of their builds with a mere software
// version, by which entries there join other runs, and against ones that are lost on the way.
func TestRecordsOfEarlierEntriesPassHubsOfTheirBuilds(t *testing.T) {
	oldHubs, members, hubs := startMixedHubs(t, 1, 2)
	text := fleet.RunText(engineRecord("a", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1))
	merge := func(list ...*pb.StreamVersion) { hubs[0].mergeStreamVersions(list, true) }
	merge(&pb.StreamVersion{Id: "plain", Version: "v1", Attempt: 1}, &pb.StreamVersion{Id: "text", Version: text, Attempt: 1})
	version := func(id string) string {
		oldHubs[0].mu.Lock()
		defer oldHubs[0].mu.Unlock()
		return oldHubs[0].records[id].GetVersion()
	}
	require.Eventually(t, func() bool { return version("text") == text }, 3*time.Second, 5*time.Millisecond)
	require.Empty(t, version("plain"))
	present := startReportingEntry(t, members[1])
	require.Eventually(t, func() bool {
		v, known := present.StreamVersion(t.Context(), "text")
		return known && v.Versions == runOfA
	}, 3*time.Second, 5*time.Millisecond)
	_, known := present.StreamVersion(t.Context(), "plain")
	require.False(t, known)
}

// Guards against a stream that goes on at weights which its engine has left while the hub was
// not running.
func TestRecordsOfEarlierEntriesFromBeforeTheStartAreUnknown(t *testing.T) {
	text := fleet.RunText(engineRecord("a", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1))
	h, _ := newRoutesHub(t, t.Cleanup, &streamlog.Stored{Streams: []*pb.StreamVersion{{Id: "a", Version: text, Attempt: 1, AgeMs: 5000}}}, false)
	resp, reading := h.answer(&pb.Hello{Level: 1}, &pb.StreamVersionRequest{Id: "a"})
	require.Equal(t, unknownRun, reading, "other hubs may know")
	require.Empty(t, resp.Stream.Service)
	require.EqualValues(t, 1, resp.Stream.Attempt, "older records of other hubs don't count")
}
