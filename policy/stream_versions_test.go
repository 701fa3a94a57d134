package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the version of an attempt without events that replaces the one at which
// the stream began, and against records that grow without bound.
func TestStreamVersionsKeepTheLatestAttempt(t *testing.T) {
	var s StreamVersions
	require.True(t, s.Record(StreamVersion{ID: "a", Versions: RunVersions{Software: "v2"}, Attempt: 2, RecordedAt: 2 * time.Second}, 2*time.Second))
	require.False(t, s.Record(StreamVersion{ID: "a", Versions: RunVersions{Software: "v1"}, Attempt: 1, RecordedAt: 3 * time.Second}, 3*time.Second), "a late report of an earlier attempt")
	v, known := s.Get("a", 3*time.Second)
	require.True(t, known)
	require.Equal(t, "v2", v.Versions.Software)
	require.True(t, s.Record(StreamVersion{ID: "a", Versions: RunVersions{Software: "v3"}, Attempt: 3, RecordedAt: 3 * time.Second}, 3*time.Second))
	_, known = s.Get("a", 3*time.Second+streamVersionTTL)
	require.True(t, known)
	_, known = s.Get("a", 4*time.Second+streamVersionTTL)
	require.False(t, known)
	for i := range maxStreamVersions + 10 {
		s.Record(StreamVersion{ID: fmt.Sprint(i), Versions: RunVersions{Software: "v1"}, RecordedAt: 100 * time.Second}, 100*time.Second)
	}
	require.LessOrEqual(t, len(s.byID), maxStreamVersions)
	require.LessOrEqual(t, len(s.order), maxStreamVersions)
	_, known = s.Get("0", 100*time.Second)
	require.False(t, known)
}

// Guards against a stream of a version that has just left and that is taken for one of the
// only version in use.
func TestOnlyVersionCoversTheLifeOfStreams(t *testing.T) {
	var h VersionHistory
	_, ok := h.Only("m", 0, time.Hour)
	require.False(t, ok)
	h.Seen(RunVersions{Software: "v1", Model: "m", Weights: "1"}, 10*time.Second)
	version, ok := h.Only("m", 10*time.Second, streamVersionTTL)
	require.True(t, ok)
	require.Equal(t, "v1", version.Software)
	_, ok = h.Only("m", 10*time.Second, streamVersionTTL-1)
	require.False(t, ok, "another version may have been missed")
	h.Seen(RunVersions{Software: "v2", Model: "m", Weights: "1"}, 20*time.Second)
	_, ok = h.Only("m", 20*time.Second, streamVersionTTL)
	require.False(t, ok)
	h.Seen(RunVersions{Software: "v2", Model: "m", Weights: "1"}, 80*time.Second)
	version, ok = h.Only("m", 80*time.Second, streamVersionTTL)
	require.True(t, ok)
	require.Equal(t, "v2", version.Software)
}

// Guards against a history that grows for as long as a process runs, because nobody asks for
// the versions of a service.
func TestVersionHistoryIsBoundedWithoutReaders(t *testing.T) {
	var h VersionHistory
	for i := range 1000 {
		h.Seen(RunVersions{Software: fmt.Sprint("v", i)}, time.Duration(i)*time.Second)
	}
	require.LessOrEqual(t, len(h.seenAt), int((streamVersionTTL+seenTolerance)/time.Second)+1)
	h.Seen(RunVersions{Software: "late"}, 900*time.Second)
	require.Contains(t, h.seenAt, RunVersions{Software: "v999"})
}

// Guards against weights of another model, or those of an upstream that does not report
// them, that are taken for the only ones.
func TestOnlyVersionsAreThoseOfTheModel(t *testing.T) {
	engine := func(model, weights string) RunVersions {
		return RunVersions{Service: "s", Software: "v1", Model: model, Weights: weights}
	}
	for _, c := range []struct {
		name  string
		seen  []RunVersions
		model string
		want  RunVersions
		known bool
	}{
		{name: "one", seen: []RunVersions{engine("m", "1")}, model: "m", want: engine("m", "1"), known: true},
		{name: "two weights", seen: []RunVersions{engine("m", "1"), engine("m", "2")}, model: "m"},
		{name: "another model", seen: []RunVersions{engine("m", "1"), engine("n", "2")}, model: "m", want: engine("m", "1"), known: true},
		{name: "weights not reported", seen: []RunVersions{engine("m", "1"), engine("m", "")}, model: "m"},
		{name: "models not reported", seen: []RunVersions{engine("", "")}, model: "m", want: engine("m", ""), known: true},
		{name: "no model requested", seen: []RunVersions{engine("m", "1")}, want: engine("", "1"), known: true},
		{name: "no model requested of two", seen: []RunVersions{engine("m", "1"), engine("n", "2")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h VersionHistory
			for _, v := range c.seen {
				h.Seen(v, 0)
			}
			got, known := h.Only(c.model, 0, streamVersionTTL)
			require.Equal(t, c.known, known)
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a run that goes on where any of its versions differs.
func TestRunsGoOnAtEqualVersionsOnly(t *testing.T) {
	v := RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "1"}
	require.True(t, v.MayGoOnAt(v))
	unreported := v
	unreported.Weights = ""
	require.True(t, v.MayGoOnAt(unreported), "it is asked")
	require.False(t, unreported.MayGoOnAt(v), "the weights of the run are not known")
	for _, other := range []RunVersions{{"x", "v1", "m", "1"}, {"s", "x", "m", "1"}, {"s", "v1", "x", "1"}, {"s", "v1", "m", "x"}} {
		require.False(t, v.MayGoOnAt(other))
	}
}
