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

// proxy forwards TCP connections. While dropping, it discards all bytes and
// keeps the connections open, as a network that drops packets does.
type proxy struct {
	l net.Listener
	// target returns the address to forward to, empty while nothing listens
	// there.
	target func() string

	mu       sync.Mutex
	dropping bool
	conns    map[net.Conn]bool
}

func newProxy(t testing.TB, target func() string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{l: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.setDropping(false)
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
		dropping := p.dropping
		p.mu.Unlock()
		if dropping {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// setDropping starts or stops dropping. When it stops, all connections are
// closed, because some have lost bytes.
func (p *proxy) setDropping(dropping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = dropping
	if dropping {
		return
	}
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// member is a control member that runs in the test process, with its log on
// disk.
type member struct {
	id  uint64
	dir string
	srv *Server
	ts  *transport.Server
	hs  *httptest.Server
	// proxyAddr and operatorProxyAddr stay the same across restarts. They belong
	// to proxies, since another process may take the port of a closed listener.
	proxyAddr         string
	operatorProxyAddr string
	// internalAddr and operatorAddr are the addresses that the member listens on
	// now, empty while it is stopped.
	internalAddr atomic.Value
	operatorAddr atomic.Value
	lossy        *lossyReplicator
	// linkProxies holds the proxies of the links to the other members.
	linkProxies map[uint64]*proxy
}

// testStore is a control store of several members.
type testStore struct {
	t         testing.TB
	mu        sync.Mutex
	members   map[uint64]*member
	configure func(*Options)
}

func newMember(t testing.TB, id uint64) *member {
	m := &member{id: id, dir: t.TempDir(), linkProxies: map[uint64]*proxy{}}
	m.proxyAddr = newProxy(t, m.currentInternalAddr).addr()
	m.operatorProxyAddr = newProxy(t, func() string { a, _ := m.operatorAddr.Load().(string); return a }).addr()
	return m
}

func (m *member) currentInternalAddr() string {
	a, _ := m.internalAddr.Load().(string)
	return a
}

func startTestStore(t testing.TB, size int, configure func(*Options)) *testStore {
	s := &testStore{t: t, members: map[uint64]*member{}, configure: configure}
	for id := uint64(1); id <= uint64(size); id++ {
		s.members[id] = newMember(t, id)
	}
	for _, m := range s.members {
		for _, o := range s.members {
			m.linkProxies[o.id] = newProxy(t, o.currentInternalAddr)
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
	for id, p := range m.linkProxies {
		peers[id] = p.addr()
	}
	opts := Options{
		ID: m.id, Address: m.proxyAddr, OperatorAddress: m.operatorProxyAddr, Shards: 2, ServingTTL: testTTL, LeaseTTL: testTTL,
		Cluster: &ClusterOptions{Dir: m.dir, Start: mode, Members: peers, Tick: testTick, Seed: m.id},
	}
	opts.wrapReplicator = func(r Replicator) Replicator {
		m.lossy = &lossyReplicator{Replicator: r, lost: make(chan struct{})}
		return m.lossy
	}
	if s.configure != nil {
		s.configure(&opts)
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
	m.internalAddr.Store(l.Addr().String())
	m.operatorAddr.Store(m.hs.Listener.Addr().String())
}

// kill stops a member without transferring its leadership.
func (s *testStore) kill(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.srv == nil {
		return
	}
	m.internalAddr.Store("")
	m.operatorAddr.Store("")
	m.ts.Close()
	m.hs.CloseClientConnections()
	_ = m.srv.halt()
	m.hs.Close()
	m.srv = nil
}

// isolate drops or restores the traffic between a member and all others. Daemons
// and operators still reach it.
func (s *testStore) isolate(m *member, isolated bool) {
	for _, o := range s.members {
		if o != m {
			o.linkProxies[m.id].setDropping(isolated)
			m.linkProxies[o.id].setDropping(isolated)
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
			if _, self, term := m.srv.replicator.Leader(storeGroup); self && term > best {
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
		out = append(out, m.proxyAddr)
	}
	return out
}

func (s *testStore) operatorClient(m *member) godwitwardv1connect.OperatorServiceClient {
	// A restart of the member replaces m.hs under the same lock.
	s.mu.Lock()
	client := m.hs.Client()
	s.mu.Unlock()
	return godwitwardv1connect.NewOperatorServiceClient(client, "http://"+m.operatorProxyAddr)
}

// startDaemon runs a client until the test ends or stop is called.
func startDaemon(t testing.TB, addrs []string, id string) (c *client.Client, stop func()) {
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

func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// injectFaults kills, isolates and restarts leaders, and restarts all members
// together, until stop is closed. It leaves all members running and connected.
func (s *testStore) injectFaults(stop <-chan struct{}) {
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
