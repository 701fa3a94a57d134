package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// notingHub notes versions unless it is away.
type notingHub struct {
	meanwhileHub
	away  atomic.Bool
	calls atomic.Int64
}

func (h *notingHub) NoteVersions(context.Context, policy.RunVersions) bool {
	h.calls.Add(1)
	return !h.away.Load()
}

// Guards against streams that begin at versions of which no hub knows, against entries that serve
// nothing while the core is away, and against a call for each stream.
func TestStreamsBeginAtVersionsThatHubsHaveNoted(t *testing.T) {
	hub := &notingHub{}
	s := &Server{start: time.Now().Add(-time.Hour), versionSource: hub}
	begin := func(software string, resumable bool) bool {
		x := &exchange{s: s, ctx: context.Background(), route: &Route{Kind: Stream, Resumable: resumable}}
		x.deadline = time.Now().Add(400 * time.Millisecond)
		return x.mayBeginAt(policy.RunVersions{Service: "s", Software: software})
	}
	process := fleet.ProcessText("i-1", 7)
	for range 100 {
		require.True(t, begin("v1", true))
		require.True(t, begin(process, true))
	}
	require.EqualValues(t, 2, hub.calls.Load())
	hub.away.Store(true)
	later := func(d time.Duration) { s.start = s.start.Add(-d) }
	later(noteInterval)
	require.True(t, begin("v1", true))
	require.True(t, begin(process, true), "the hubs still list it")
	require.False(t, begin("v2", true))
	require.False(t, begin(fleet.ProcessText("i-2", 7), true))
	require.True(t, begin("v2", false), "nobody takes it up")
	time.Sleep(2 * noteRetryInterval)
	later(noteValidity)
	require.True(t, begin("v1", true), "its processes report")
	require.False(t, begin(process, true), "the hubs may have forgotten it")
	hub.away.Store(false)
	time.Sleep(2 * noteRetryInterval)
	require.True(t, begin("v2", true))
	require.True(t, begin(process, true))
}
