package feed

import (
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/wal"
)

// Guards against a daemon that ends again before it was in contact, and that has replaced the
// stored time by none although it learned nothing: it reads its own versions as new ones.
func TestRestartsOutOfContactKeepTheTime(t *testing.T) {
	dir := t.TempDir()
	start := func(firstStart bool, members ...string) (*Hub, *streamlog.Stored, func()) {
		l, stored, err := streamlog.Open(streamlog.Options{Dir: dir, FS: wal.OS{}, Logger: &log.Logger{Level: log.PanicLevel}})
		require.NoError(t, err)
		h := NewHub(HubOptions{
			Store: &fakeStore{members: members, hasQuorum: true}, Peers: corestore.NewPeers("127.0.0.1:1", 1, transport.Options{Self: &pb.Hello{Vm: "127.0.0.1:1"}}), Self: "127.0.0.1:1", Logger: &log.Logger{Level: log.PanicLevel}, OnReport: func(*pb.UpstreamRecord) {},
			FirstStart: firstStart, StreamLog: l, Stored: stored,
		}, transport.NewServer(transport.Options{}))
		return h, stored, func() {
			h.Stop()
			l.Close()
		}
	}
	h, _, stop := start(true, "127.0.0.1:1")
	h.Report(&pb.UpstreamRecord{Id: "u", Service: "s", SoftwareVersion: "v1", BornMs: 1, Sequence: 1, Address: "127.0.0.1:9"})
	stop()
	// The core restarts, and this daemon ends before it hears of another one.
	_, stored, stop := start(false, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	require.Greater(t, stored.Observed, time.Minute, "control")
	stop()
	_, stored, stop = start(false, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	defer stop()
	require.Greater(t, stored.Observed, time.Minute)
}

// Guards against versions that hubs remind each other of: an age does not grow while a message
// is on its way, so that what has left is counted for far longer than a minute.
func TestHubsForgetVersionsAfterAMinute(t *testing.T) {
	a, _ := newRoutesHub(t, t.Cleanup, nil, true)
	b, _ := newRoutesHub(t, t.Cleanup, nil, true)
	a.mu.Lock()
	a.seeServiceVersions([]*pb.ServiceVersion{{Service: "s", Version: "v1"}})
	a.mu.Unlock()
	passed := time.Duration(0)
	pass := func(d time.Duration) {
		passed += d
		for _, h := range []*Hub{a, b} {
			h.mu.Lock()
			h.start = h.start.Add(-d)
			h.mu.Unlock()
		}
	}
	send := func(from, to *Hub) bool {
		g := &pb.Gossip{}
		from.statedSince(0).addToGossip(g)
		pass(30 * time.Millisecond)
		to.mu.Lock()
		to.mergeHistory(g)
		to.mu.Unlock()
		return len(g.ServiceVersions) > 0
	}
	// Each hub sends ten messages a second, which take 30 ms.
	for send(a, b) && passed < 5*time.Minute {
		pass(20 * time.Millisecond)
		send(b, a)
		pass(20 * time.Millisecond)
	}
	require.Less(t, passed, 65*time.Second)
}
