package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
	"godwitward.example/godwitward/wal"
)

// Guards against a version that is taken for the only one of a service although a stream has begun
// at another one: what an entry has had noted reaches whoever asks a majority, also if the hubs
// of the entry have ended, or all hubs have and some have lost their disks.
func TestNotedVersionsReachWhoeverAsksAMajority(t *testing.T) {
	h, _ := startStoredHubs(t, 5)
	first, _ := startSubscriber(t, h.members[:2])
	second, _ := startSubscriber(t, h.members[3:])
	attached := func(s *Subscriber) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.streams) == 2
	}
	require.Eventually(t, func() bool { return attached(first) && attached(second) }, 5*time.Second, 5*time.Millisecond)
	v := policy.RunVersions{Service: "s", Software: "v2", Model: "m", Weights: "3"}
	list, ok := second.VersionsInUse(within(t), "s")
	require.True(t, ok)
	require.Empty(t, list)
	require.True(t, first.NoteVersions(within(t), v))
	for _, i := range []int{0, 1} {
		h.hubs[i].Stop()
		h.servers[i].Close()
	}
	require.Eventually(t, func() bool { return connectedHubs(h.hubs[3]) == 2 && connectedHubs(h.hubs[4]) == 2 }, 5*time.Second, 5*time.Millisecond)
	list, ok = second.VersionsInUse(within(t), "s")
	require.True(t, ok)
	require.NotEmpty(t, list)
	require.Equal(t, []string{"v2", "m", "3"}, []string{list[0].Version, list[0].Model, list[0].Weights})

	h.hubs[2].Stop()
	h.servers[2].Close()
	require.Eventually(t, func() bool { return connectedHubs(h.hubs[3]) == 1 && connectedHubs(h.hubs[4]) == 1 }, 5*time.Second, 5*time.Millisecond)
	_, ok = second.VersionsInUse(within(t), "s")
	require.False(t, ok, "two of five")
	require.False(t, second.NoteVersions(within(t), v))
}

// Guards against a version that counts as noted by hubs that lose it with their processes.
func TestNotedVersionsAreStored(t *testing.T) {
	dir := t.TempDir()
	h, kill := startStoredHub(t, dir)
	req := &pb.VersionsInUseRequest{Noted: &pb.ServiceVersion{Service: "s", Version: "v2"}, AllHubs: true}
	resp, err := h.serveVersionsInUse(within(t), req)
	require.NoError(t, err)
	require.EqualValues(t, 1, resp.Answered)
	kill()
	h, kill = startStoredHub(t, dir)
	defer kill()
	require.Len(t, h.versionsInUse("s"), 1)
	without, _ := newRoutesHub(t, t.Cleanup, nil, true)
	resp, err = without.serveVersionsInUse(within(t), req)
	require.NoError(t, err)
	require.Zero(t, resp.Answered, "it has no disk")
}

// Guards against entries that begin no stream while all hubs are of builds that note no versions,
// and against one without a hub that takes a version for noted.
func TestEntriesOfEarlierHubsNeedNoNotes(t *testing.T) {
	v := policy.RunVersions{Service: "s", Software: "v2"}
	alone, _ := startSubscriber(t, nil)
	require.False(t, alone.NoteVersions(within(t), v))
	old := &Subscriber{streams: map[*transport.Stream]*transport.Client{{}: transport.NewClient("127.0.0.1:1", transport.Options{})}}
	require.True(t, old.NoteVersions(within(t), v))
	_, ok := old.VersionsInUse(within(t), "s")
	require.True(t, ok)
}

// Guards against a daemon that has not joined the core, and knows no other one, which takes itself
// for a majority.
func TestDaemonsThatHaveNotJoinedAreNoMajority(t *testing.T) {
	h := startHubsWith(t, 1, func(_ int, o *HubOptions) {
		l, stored, err := streamlog.Open(streamlog.Options{Dir: t.TempDir(), FS: wal.OS{}, Logger: o.Logger})
		require.NoError(t, err)
		t.Cleanup(l.Close)
		o.StreamLog, o.Stored = l, stored
	})
	s, _ := startSubscriber(t, h.members)
	require.Eventually(t, func() bool { return s.Age() < time.Second }, 5*time.Second, 5*time.Millisecond)
	v := policy.RunVersions{Service: "s", Software: "v2"}
	require.True(t, s.NoteVersions(within(t), v), "control: the only member")
	h.stores[0].set(1, false)
	require.False(t, s.NoteVersions(within(t), v))
	_, ok := s.VersionsInUse(within(t), "s")
	require.False(t, ok)
}
