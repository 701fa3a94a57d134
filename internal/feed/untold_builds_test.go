package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/policy"
)

// untoldRun returns the versions of a stream that began at a process which tells no start, and
// foundRun what an entry records under its text once it has found its software.
func untoldRun() policy.RunVersions {
	v := earlyRun()
	v.Software = fleet.ProcessText("a", -5)
	return v
}

func foundRun() policy.StreamVersion {
	return policy.StreamVersion{ID: untoldRun().Software, Versions: policy.RunVersions{Service: "llm", Software: "v2"}, Attempt: 1}
}

// Guards against streams that present entries can't take up because a hub of an earlier build
// loses or changes the record that tells the software of their process: its id begins as the ids
// of wrapped records do.
func TestRecordsOfFoundProcessesPassOldHubs(t *testing.T) {
	oldHubs, members, _ := startMixedHubs(t, 2, 2)
	var entries []*reportingEntry
	for _, address := range members {
		entries = append(entries, startReportingEntry(t, address))
	}
	for i, from := range entries {
		v := foundRun()
		v.ID = fleet.ProcessText("a", -5-int64(i))
		from.report(v)
		for j, to := range entries {
			require.Eventually(t, func() bool {
				got, known := to.StreamVersion(t.Context(), v.ID)
				return known && got.ID == v.ID && got.Versions == v.Versions
			}, 3*time.Second, 5*time.Millisecond, "reported to hub %d, asked of hub %d", i, j)
		}
		for _, h := range oldHubs {
			h.mu.Lock()
			require.Equal(t, "v2", h.records[v.ID].GetVersion())
			h.mu.Unlock()
		}
	}
}

// Guards against unnamed streams that are refused for a minute after an entry has found the
// software of a process that tells no start, because a hub of an earlier build goes on listing the
// process, whether it passes on the whole record or only the software.
func TestFoundProcessesAreNotListedAgain(t *testing.T) {
	for name, found := range map[string]*pb.StreamVersion{
		"whole":         fleet.EncodeStreamVersion(foundRun(), 0),
		"software only": {Id: foundRun().ID, Version: "v2", Attempt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newRoutesHub(t, t.Cleanup, nil, true)
			h.Report(lateReport())
			h.mergeStreamVersions([]*pb.StreamVersion{found}, false)
			h.mu.Lock()
			h.mergeHistory(&pb.Gossip{ServiceVersions: []*pb.ServiceVersion{fleet.EncodeServiceVersion(untoldRun(), 0, 0)}})
			h.mu.Unlock()
			only, known := h.only("llm")
			require.True(t, known)
			require.Equal(t, "v2", only.Software)
		})
	}
}

// Guards against unnamed streams that go on at the only version of which reports tell, or that
// are refused although it is known, after a restart of the core: the disk was written by a hub of
// an earlier build, which lists processes that tell no start, or by one of this build.
func TestUntoldProcessesAreKnownAfterARestart(t *testing.T) {
	untold := fleet.EncodeStreamVersion(policy.StreamVersion{ID: "s", Versions: untoldRun(), Attempt: 1}, 0)
	found := fleet.EncodeStreamVersion(foundRun(), 0)
	listed := []*pb.ServiceVersion{fleet.EncodeServiceVersion(untoldRun(), 0, 0)}
	for name, c := range map[string]struct {
		stored streamlog.Stored
		known  bool
	}{
		"not found, record":        {streamlog.Stored{Streams: []*pb.StreamVersion{untold}}, false},
		"not found, listed":        {streamlog.Stored{Services: listed}, false},
		"found before the stream":  {streamlog.Stored{Streams: []*pb.StreamVersion{found, untold}}, true},
		"found after the stream":   {streamlog.Stored{Streams: []*pb.StreamVersion{untold, found}}, true},
		"found, listed":            {streamlog.Stored{Streams: []*pb.StreamVersion{untold, found}, Services: listed}, true},
		"found, listed, no stream": {streamlog.Stored{Streams: []*pb.StreamVersion{found}, Services: listed}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.stored.Observed = time.Hour
			h, _ := newRoutesHub(t, t.Cleanup, &c.stored, false)
			h.Report(lateReport())
			only, known := h.only("llm")
			require.Equal(t, c.known, known)
			if known {
				require.Equal(t, "v2", only.Software)
			}
		})
	}
}

// Guards against streams that an entry of an earlier build, which compares software only, joins
// with the software of the record while the process that began them tells no start.
func TestOldEntriesDoNotGoOnAtUntoldProcesses(t *testing.T) {
	h, address, e := startRecognised(t)
	h.keepRecord("s", untoldRun())
	h.Report(lateReport())
	require.Eventually(t, func() bool { return fleet.ParseRunText(e.version("a")).GetSoftwareVersion() == "v2" }, 3*time.Second, 5*time.Millisecond)
	_, software := askAsEarlier(t, address, "entry", "s")
	require.Equal(t, fleet.OtherSoftware, software)
}
