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
	require.True(t, s.Record(StreamVersion{ID: "a", Version: "v2", Attempt: 2, RecordedAt: 2 * time.Second}, 2*time.Second))
	require.False(t, s.Record(StreamVersion{ID: "a", Version: "v1", Attempt: 1, RecordedAt: 3 * time.Second}, 3*time.Second), "a late report of an earlier attempt")
	v, known := s.Get("a", 3*time.Second)
	require.True(t, known)
	require.Equal(t, "v2", v.Version)
	require.True(t, s.Record(StreamVersion{ID: "a", Version: "v3", Attempt: 3, RecordedAt: 3 * time.Second}, 3*time.Second))
	_, known = s.Get("a", 3*time.Second+streamVersionTTL)
	require.True(t, known)
	_, known = s.Get("a", 4*time.Second+streamVersionTTL)
	require.False(t, known)
	for i := range maxStreamVersions + 10 {
		s.Record(StreamVersion{ID: fmt.Sprint(i), Version: "v1", RecordedAt: 100 * time.Second}, 100*time.Second)
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
	_, ok := h.Only(0, time.Hour)
	require.False(t, ok)
	h.Seen("v1", 10*time.Second)
	version, ok := h.Only(10*time.Second, streamVersionTTL)
	require.True(t, ok)
	require.Equal(t, "v1", version)
	_, ok = h.Only(10*time.Second, streamVersionTTL-1)
	require.False(t, ok, "another version may have been missed")
	h.Seen("v2", 20*time.Second)
	_, ok = h.Only(20*time.Second, streamVersionTTL)
	require.False(t, ok)
	h.Seen("v2", 80*time.Second)
	version, ok = h.Only(80*time.Second, streamVersionTTL)
	require.True(t, ok)
	require.Equal(t, "v2", version)
}
