package control

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/client"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
)

const (
	testTTL  = 600 * time.Millisecond
	testTick = 10 * time.Millisecond
)

// proxy forwards TCP and can go silent: while cut, bytes vanish and the
// connections stay open, as when a network drops packets.
type proxy struct {
	l net.Listener
	// target returns where to forward, empty while nothing listens there.
	target func() string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(t testing.TB, target func() string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{l: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.setCut(false)
	})
	return p
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target())
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.pipe(in, out)
		go p.pipe(out, in)
	}
}

func (p *proxy) pipe(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// setCut begins or ends a cut. Connections that lost bytes are closed.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		return
	}
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// member is one control member, in process, with its log on the disk.
type member struct {
	id  uint64
	dir string
	srv *Server
	ts  *transport.Server
	hs  *httptest.Server
	// addr and operator stay the same over restarts: they are proxies, since
	// a closed listener's port may be taken by another process.
	addr     string
	operator string
	// sessions and operations are where the member listens now.
	sessions   atomic.Value
	operations atomic.Value
	lossy      *lossy
	// out holds the proxies of the links to the others.
	out map[uint64]*proxy
}

// testStore is a store of several members.
type testStore struct {
	t       testing.TB
	mu      sync.Mutex
	members map[uint64]*member
	adjust  func(*Options)
}

func newMember(t testing.TB, id uint64) *member {
	m := &member{id: id, dir: t.TempDir(), out: map[uint64]*proxy{}}
	m.addr = newProxy(t, m.sessionAddr).addr()
	m.operator = newProxy(t, func() string { a, _ := m.operations.Load().(string); return a }).addr()
	return m
}

func (m *member) sessionAddr() string {
	a, _ := m.sessions.Load().(string)
	return a
}

func startTestStore(t testing.TB, size int, adjust func(*Options)) *testStore {
	s := &testStore{t: t, members: map[uint64]*member{}, adjust: adjust}
	for id := uint64(1); id <= uint64(size); id++ {
		s.members[id] = newMember(t, id)
	}
	for _, m := range s.members {
		for _, o := range s.members {
			m.out[o.id] = newProxy(t, o.sessionAddr)
		}
	}
	for _, m := range s.members {
		s.start(m, replica.StartBootstrap)
	}
	t.Cleanup(func() {
		for _, m := range s.members {
			s.kill(m)
		}
	})
	return s
}

func (s *testStore) start(m *member, mode replica.StartMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := map[uint64]string{}
	for id, p := range m.out {
		peers[id] = p.addr()
	}
	opts := Options{
		ID: m.id, Address: m.addr, OperatorAddress: m.operator, Shards: 2, ServingTTL: testTTL, LeaseTTL: testTTL,
		Cluster: &ClusterOptions{Dir: m.dir, Start: mode, Members: peers, Tick: testTick, Seed: m.id},
	}
	opts.wrap = func(r Replication) Replication {
		m.lossy = &lossy{Replication: r, lost: make(chan struct{})}
		return m.lossy
	}
	if s.adjust != nil {
		s.adjust(&opts)
	}
	srv, err := New(opts)
	require.NoError(s.t, err)
	m.srv = srv
	m.ts = transport.NewServer(transport.Options{})
	srv.Register(m.ts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	go func() { _ = m.ts.Serve(l) }()
	_, h := srv.OperatorHandler()
	m.hs = httptest.NewServer(h)
	m.sessions.Store(l.Addr().String())
	m.operations.Store(m.hs.Listener.Addr().String())
}

// kill ends a member without warning.
func (s *testStore) kill(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.srv == nil {
		return
	}
	m.sessions.Store("")
	m.operations.Store("")
	m.ts.Close()
	m.hs.CloseClientConnections()
	_ = m.srv.halt()
	m.hs.Close()
	m.srv = nil
}

// isolate cuts or restores the links between a member and all others. Daemons
// and operators still reach it.
func (s *testStore) isolate(m *member, cut bool) {
	for _, o := range s.members {
		if o != m {
			o.out[m.id].setCut(cut)
			m.out[o.id].setCut(cut)
		}
	}
}

// leader returns the member that leads group 0 in the highest term.
func (s *testStore) leader() *member {
	var found *member
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		var best uint64
		found = nil
		for _, m := range s.members {
			if m.srv == nil {
				continue
			}
			if _, self, term := m.srv.repl.Leader(storeGroup); self && term > best {
				best, found = term, m
			}
		}
		return found != nil
	}, 20*time.Second, 5*time.Millisecond, "no leader")
	return found
}

func (s *testStore) addrs() []string {
	var out []string
	for _, m := range s.members {
		out = append(out, m.addr)
	}
	return out
}

func (s *testStore) operators(m *member) godwitwardv1connect.OperatorServiceClient {
	// A restart of the member replaces its server under the same lock.
	s.mu.Lock()
	client := m.hs.Client()
	s.mu.Unlock()
	return godwitwardv1connect.NewOperatorServiceClient(client, "http://"+m.operator)
}

// daemon runs a client until the test or stop ends it.
func daemon(t testing.TB, addrs []string, id string) (c *client.Client, stop func()) {
	c = client.New(client.Options{Addrs: addrs, Self: &pb.Hello{DaemonId: id}, Address: id + ":1", RenewInterval: testTTL / 5})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return c, stop
}

func timeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// disturb kills, isolates and restarts leaders until stop is closed. It leaves
// all members running and connected.
func (s *testStore) disturb(stop <-chan struct{}) {
	pause := func(d time.Duration) (more bool) {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	for round := 0; pause(time.Second); round++ {
		m := s.leader()
		switch round % 3 {
		case 0:
			s.kill(m)
			pause(700 * time.Millisecond)
			s.start(m, replica.StartExisting)
		case 1:
			s.isolate(m, true)
			pause(1500 * time.Millisecond)
			s.isolate(m, false)
		case 2:
			for _, m := range s.members {
				s.kill(m)
			}
			for _, m := range s.members {
				s.start(m, replica.StartExisting)
			}
		}
	}
}
