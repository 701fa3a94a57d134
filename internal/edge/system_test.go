package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
	"godwitward.example/godwitward/platform/standin"
	"godwitward.example/godwitward/wal"
)

// noLeader is the value of testSystem.leader while no core daemon leads.
const noLeader = -1

// documentStore is a feed.Store with a document that a test sets.
type documentStore struct {
	system   *testSystem
	index    int
	document atomic.Pointer[corestore.Document]
}

func (s *documentStore) Current() corestore.Document { return *s.document.Load() }
func (s *documentStore) HasQuorum() bool             { return true }
func (s *documentStore) Members() []string           { return s.system.members }

func (s *documentStore) Leader() (string, uint64, bool) {
	leader := int(s.system.leader.Load())
	if leader == noLeader {
		return "", 0, false
	}
	return s.system.members[leader], uint64(leader + 1), leader == s.index
}

// testSystem is a set of hubs and entries on loopback addresses. The services of its
// configuration are "plain" and "llm".
type testSystem struct {
	t       *testing.T
	hubs    []*feed.Hub
	members []string
	// document is the one that hubs start with, and stores are those of the hubs.
	document corestore.Document
	stores   []*documentStore
	// disks holds the folder of each hub.
	disks []string
	// stopHub ends the process of each hub.
	stopHub []func()
	entries []*httptest.Server
	// servers and subscribers are those of the entries.
	servers     []*forward.Server
	subscribers []*feed.Subscriber
	// stopEntry ends the process of each entry.
	stopEntry []func()
	// leader is the index of the hub that leads, or noLeader.
	leader atomic.Int32
}

func newTestSystem(t *testing.T, hubs, entries int) *testSystem {
	s := &testSystem{t: t, document: testDocument(t, 1, "llm")}
	var listeners []net.Listener
	for range hubs {
		l := listenAgain(t)
		listeners = append(listeners, l)
		s.members = append(s.members, l.Addr().String())
	}
	for i, l := range listeners {
		s.hubs, s.stores, s.stopHub, s.disks = append(s.hubs, nil), append(s.stores, nil), append(s.stopHub, nil), append(s.disks, t.TempDir())
		s.startHub(i, l, true)
	}
	for i := range entries {
		s.entries, s.servers, s.subscribers = append(s.entries, nil), append(s.servers, nil), append(s.subscribers, nil)
		s.stopEntry = append(s.stopEntry, nil)
		s.startEntry(i)
	}
	return s
}

// testDocument returns a configuration whose streams go to a service.
func testDocument(t *testing.T, version int, service string) corestore.Document {
	config, err := (&standin.Config{Version: version, PlainService: "plain", EngineService: service}).Encode()
	require.NoError(t, err)
	return corestore.Document{Version: uint64(version), Body: config}
}

// listenAgain listens at a port that can be used again later: none that the system gives to
// outgoing connections.
func listenAgain(t *testing.T) net.Listener {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.N(10000)))
		if err == nil {
			return l
		}
		require.ErrorIs(t, err, syscall.EADDRINUSE)
	}
}

// startHub starts a hub, again after its process has ended.
func (s *testSystem) startHub(i int, l net.Listener, firstStart bool) {
	server := transport.NewServer(transport.Options{})
	peers := corestore.NewPeers(s.members[i], netip.MustParseAddrPort(s.members[i]).Port(), transport.Options{Self: &pb.Hello{Vm: s.members[i]}})
	store := &documentStore{system: s, index: i}
	document := s.document
	store.document.Store(&document)
	discard := &log.Logger{Level: log.PanicLevel}
	streamLog, stored, err := streamlog.Open(streamlog.Options{Dir: s.disks[i], FS: wal.OS{}, Logger: discard})
	require.NoError(s.t, err)
	hub := feed.NewHub(feed.HubOptions{
		Store: store, Peers: peers, Self: s.members[i], Logger: discard, OnReport: func(*pb.UpstreamRecord) {}, FirstStart: firstStart,
		StreamLog: streamLog, Stored: stored, DecodeRoutes: platform.DecodeRoutes,
	}, server)
	go func() { _ = server.Serve(l) }()
	s.hubs[i], s.stores[i] = hub, store
	var once sync.Once
	s.stopHub[i] = func() {
		once.Do(func() {
			hub.Stop()
			peers.Close()
			server.Close()
			streamLog.Close()
		})
	}
	s.t.Cleanup(s.stopHub[i])
}

// restartHubs ends all hubs and starts them again, some with empty disks. What they knew in
// memory is lost.
func (s *testSystem) restartHubs(wiped ...int) {
	for _, stop := range s.stopHub {
		stop()
	}
	for _, i := range wiped {
		s.disks[i] = s.t.TempDir()
	}
	for i, address := range s.members {
		l, err := net.Listen("tcp", address)
		require.NoError(s.t, err)
		s.startHub(i, l, false)
	}
}

// startEntry starts an entry, again after its process has ended.
func (s *testSystem) startEntry(i int) {
	discard := &log.Logger{Level: log.PanicLevel}
	e := &entryProcess{logger: discard, self: &pb.Hello{Vm: fmt.Sprint("edge-", i)}}
	server := forward.NewServer(forward.Options{
		Protocol: platform.Headers{}, MaxBufferedBodyBytes: 1 << 20, Logger: discard,
		RetryLimits: func() forward.RetryLimits {
			return forward.RetryLimits{RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second, Entries: len(s.entries)}
		},
	})
	subscriber := e.subscribe(server, func() []string { return s.members })
	front := httptest.NewServer(server)
	s.entries[i], s.servers[i], s.subscribers[i] = front, server, subscriber
	var once sync.Once
	s.stopEntry[i] = func() {
		once.Do(func() {
			// Nothing is reported any more, as after a loss of power.
			subscriber.Stop()
			front.CloseClientConnections()
			front.Close()
			server.Stop()
		})
	}
	s.t.Cleanup(s.stopEntry[i])
	require.Eventually(s.t, server.Ready, 5*time.Second, time.Millisecond)
}
