package usage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/boottime"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/transport"
)

// fakeStore is a core daemon's store.
type fakeStore struct {
	mu      sync.Mutex
	leader  string
	term    uint64
	self    bool
	version uint64
	// cutOff is set while no majority confirms the version.
	cutOff bool
}

func (s *fakeStore) Leader() (string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader, s.term, s.self
}

func (s *fakeStore) CommittedVersion(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutOff {
		return 0, errors.New("no majority answers")
	}
	return s.version, nil
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// fakeCore is what an entry knows of the core.
type fakeCore struct {
	leader  string
	term    uint64
	members []string
}

func (c *fakeCore) Leader() (string, uint64, bool) { return c.leader, max(1, c.term), c.leader != "" }
func (c *fakeCore) CoreMembers() []string          { return c.members }
func (c *fakeCore) Entries() int                   { return 1 }

var quiet = &log.Logger{Level: log.PanicLevel}

func transportOptions() transport.Options {
	return transport.Options{Self: &pb.Hello{DaemonId: "x"}, Logger: quiet}
}

// startDaemon starts a core daemon and returns its address and grantor.
func startDaemon(t *testing.T, store *fakeStore) (string, *Grantor, *transport.Server) {
	server := transport.NewServer(transportOptions())
	var g *Grantor
	if store != nil {
		g = NewGrantor(GrantorOptions{
			Store: store, Bound: replayBound, Logger: quiet,
			Client: func(address string) *transport.Client {
				client := transport.NewClient(address, transportOptions())
				t.Cleanup(client.Close)
				return client
			},
		}, server)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Close)
	return l.Addr().String(), g, server
}

func startLeader(t *testing.T) (string, *fakeStore, *Grantor, *transport.Server) {
	store := &fakeStore{term: 1, self: true, version: 1}
	address, g, server := startDaemon(t, store)
	g.SetTenants(1, testTenants)
	return address, store, g, server
}

var testTenants = []forward.Tenant{{Name: "a", Keys: []string{"secret-key"}, PerSecond: 100, Burst: 100}, {Name: "free"}}

func startClient(t *testing.T, core Core, opts ClientOptions) *Client {
	opts.EntryID, opts.Core, opts.Transport = "e", core, transportOptions()
	opts.Bound, opts.StrictRevocation = replayBound, true
	if opts.RevocationTime == 0 {
		opts.RevocationTime = 5 * time.Second
	}
	if opts.Logger == nil {
		opts.Logger = quiet
	}
	c := NewClient(opts)
	t.Cleanup(c.Stop)
	c.SetTenants(1, testTenants)
	return c
}

func confirmed(c *Client, version uint64) func() bool {
	return func() bool {
		ok, _ := c.KeysConfirmed(version)
		return ok
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, 5*time.Millisecond)
}

// Guards against a revoked key that stays in use at an entry that is cut off from the core.
func TestKeysEndDuringAPartition(t *testing.T) {
	address, _, _, server := startLeader(t)
	var ahead atomic.Int64
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{Now: func() time.Duration { return boottime.Now() + time.Duration(ahead.Load()) }})
	eventually(t, confirmed(c, 1))
	server.Close()
	require.True(t, confirmed(c, 1)(), "the confirmation outlasts a lost call")
	ahead.Store(int64(3 * time.Second))
	require.False(t, confirmed(c, 1)())
}

// Guards against keys that are used after a suspension of the entry, which outlasts the
// confirmation, until it is renewed.
func TestKeysEndWithASuspension(t *testing.T) {
	address, store, _, _ := startLeader(t)
	var ahead atomic.Int64
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{Now: func() time.Duration { return boottime.Now() + time.Duration(ahead.Load()) }})
	eventually(t, confirmed(c, 1))
	store.set(func() { store.version = 2 })
	ahead.Store(int64(10 * time.Second))
	require.False(t, confirmed(c, 1)())
	time.Sleep(3 * renewInterval)
	require.False(t, confirmed(c, 1)(), "the newest version is not the one that the entry has")
	c.SetTenants(2, testTenants)
	eventually(t, confirmed(c, 2))
}

// Guards against confirmations that are measured with a clock that is stepped: only the
// boot-time clock, which stands still here, ends them.
func TestConfirmationsFollowTheBootTimeClockAlone(t *testing.T) {
	address, _, _, server := startLeader(t)
	var now atomic.Int64
	now.Store(int64(time.Minute))
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{Settings: Settings{RevocationTime: 200 * time.Millisecond}, Now: func() time.Duration { return time.Duration(now.Load()) }})
	eventually(t, confirmed(c, 1))
	server.Close()
	time.Sleep(300 * time.Millisecond)
	require.True(t, confirmed(c, 1)(), "120 ms have not passed on the boot-time clock")
	now.Add(int64(120 * time.Millisecond))
	require.False(t, confirmed(c, 1)())
}

// Guards against an entry whose keys are not confirmed after a restart, because the wall clock
// was stepped between the starts of its processes.
func TestKeysAreConfirmedAfterAStepOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		address, store, _, _ := startLeader(t)
		start := func(step time.Duration) *Client {
			c := NewClient(ClientOptions{EntryID: "e", Core: &fakeCore{leader: address}, Transport: transportOptions(), Logger: quiet, Settings: Settings{Bound: replayBound, StrictRevocation: true, RevocationTime: 2 * time.Second}})
			t.Cleanup(c.Stop)
			c.mu.Lock()
			c.born += step.Milliseconds()
			c.mu.Unlock()
			c.SetTenants(1, testTenants)
			return c
		}
		first := start(0)
		eventually(t, confirmed(first, 1))
		first.Stop()
		second := start(step)
		require.Eventually(t, confirmed(second, 1), 2*time.Second, 5*time.Millisecond, "after a step by %v", step)
		// Its confirmation does not outlast a revocation.
		store.set(func() { store.version = 2 })
		require.Eventually(t, func() bool { return !confirmed(second, 1)() }, 5*time.Second, 5*time.Millisecond, "after a step by %v", step)
	}
}

// Guards against a leader that a majority has replaced and that goes on confirming and
// granting.
func TestCutOffLeaderNeitherConfirmsNorGrants(t *testing.T) {
	address, store, g, _ := startLeader(t)
	client := transport.NewClient(address, transportOptions())
	defer client.Close()
	call := func(sequence uint64) (*pb.TenantUsageResponse, error) {
		resp := &pb.TenantUsageResponse{}
		return resp, client.Call(context.Background(), transport.MethodTenantUsage, &pb.TenantUsageRequest{EntryId: "e", Sequence: sequence}, resp)
	}
	resp, err := call(1)
	require.NoError(t, err)
	require.Equal(t, uint64(1), resp.NewestVersion)
	store.set(func() { store.cutOff = true })
	g.mu.Lock()
	g.confirmedAt -= freshVersion / 2
	g.mu.Unlock()
	resp, err = call(2)
	require.NoError(t, err)
	require.GreaterOrEqual(t, millis(resp.VersionAgeMs), freshVersion/2)
	g.mu.Lock()
	g.confirmedAt -= freshVersion
	g.mu.Unlock()
	_, err = call(3)
	require.Equal(t, pb.Status_UNAVAILABLE, transport.Code(err))
}

// Guards against entries that get no answer because they reach only daemons that do not
// lead, and against calls that are passed on for ever.
func TestCallsArePassedOnOnce(t *testing.T) {
	leader, _, _, _ := startLeader(t)
	follower, _, _ := startDaemon(t, &fakeStore{leader: leader, term: 1})
	c := startClient(t, &fakeCore{members: []string{follower}}, ClientOptions{})
	eventually(t, confirmed(c, 1))
	lost, _, _ := startDaemon(t, &fakeStore{leader: follower, term: 1})
	client := transport.NewClient(lost, transportOptions())
	defer client.Close()
	err := client.Call(context.Background(), transport.MethodTenantUsage, &pb.TenantUsageRequest{EntryId: "e"}, &pb.TenantUsageResponse{})
	require.Equal(t, pb.Status_NOT_LEADER, transport.Code(err))
}

// Guards against a core of an earlier build, without the call, that stops all requests or
// lets keys be used unconfirmed.
func TestCoreWithoutTheCall(t *testing.T) {
	address, _, _ := startDaemon(t, nil)
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{})
	eventually(t, func() bool {
		charge, err := c.Admit(context.Background(), &testTenants[0], 1)
		if err == nil {
			charge.Settle(true)
		}
		return err == nil
	})
	require.False(t, confirmed(c, 1)())
}

// Guards against a paused grantor that keeps requests waiting.
func TestPausedGrantorDelaysRequestsLittle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := startClient(t, &fakeCore{leader: l.Addr().String()}, ClientOptions{})
	began := time.Now()
	_, _ = c.Admit(context.Background(), &testTenants[0], 1)
	require.Less(t, time.Since(began), maxWait+400*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Admit(ctx, &testTenants[0], 1)
	require.Error(t, err)
}

// Guards against calls of systems without tenants.
func TestNoCallsWithoutTenants(t *testing.T) {
	address, _, g, _ := startLeader(t)
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{})
	eventually(t, confirmed(c, 1))
	c.SetTenants(2, nil)
	time.Sleep(50 * time.Millisecond)
	calls := func() uint64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.calls
	}
	before := calls()
	time.Sleep(3 * renewInterval)
	require.Equal(t, before, calls())
	require.True(t, confirmed(c, 2)())
}

// lockedCore is a feed that passes a configuration on while it holds its own lock.
type lockedCore struct {
	fakeCore
	mu sync.Mutex
}

func (c *lockedCore) Entries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1
}

// Guards against a deadlock between requests and a new configuration from the feed.
func TestFeedMayHoldItsLock(t *testing.T) {
	address, _, _, _ := startLeader(t)
	core := &lockedCore{fakeCore: fakeCore{leader: address}}
	c := startClient(t, core, ClientOptions{})
	eventually(t, confirmed(c, 1))
	core.mu.Lock()
	admitted := make(chan struct{})
	go func() {
		_, _ = c.Admit(context.Background(), &testTenants[0], 1)
		close(admitted)
	}()
	time.Sleep(10 * time.Millisecond)
	configured := make(chan struct{})
	go func() {
		c.SetTenants(2, testTenants)
		close(configured)
	}()
	select {
	case <-configured:
	case <-time.After(3 * time.Second):
		t.Error("the configuration waits for a request that waits for the feed")
	}
	core.mu.Unlock()
	<-admitted
}

// Guards against charges that are lost or counted twice when a request did not run.
func TestChargesOfRequestsThatDidNotRun(t *testing.T) {
	address, _, _, _ := startLeader(t)
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{})
	eventually(t, confirmed(c, 1))
	eventually(t, func() bool {
		charge, err := c.Admit(context.Background(), &testTenants[0], 250)
		if err == nil {
			charge.Settle(false)
			charge.Settle(false)
		}
		return err == nil
	})
	charge, err := c.Admit(context.Background(), &testTenants[0], 250)
	require.NoError(t, err, "what was given back covers it")
	charge.Settle(true)
	charge.Settle(false)
	_, err = c.Admit(context.Background(), &testTenants[0], 250)
	var over *forward.OverLimitError
	require.ErrorAs(t, err, &over)
	require.Positive(t, over.RetryAfter)
	c.mu.Lock()
	defer c.mu.Unlock()
	require.InDelta(t, 250, c.counts.byTenant["a"].used, 1e-6)
}

// Guards against log lines about refusals beside those of the server, keys in the log, and metrics that grow with
// the number of tenants.
func TestLogsAndMetricsAreBounded(t *testing.T) {
	var out lockedBuffer
	address, _, _, _ := startLeader(t)
	c := startClient(t, &fakeCore{leader: address}, ClientOptions{Logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}})
	eventually(t, confirmed(c, 1))
	for range 100 {
		_, _ = c.Admit(context.Background(), &testTenants[0], 90)
	}
	require.NotContains(t, out.String(), "tenant.refused", "internal/forward logs refusals")
	require.Equal(t, 1, strings.Count(out.String(), "usage.grantor_changed"))
	require.NotContains(t, out.String(), "secret-key")
	for i := range 200 {
		c.mu.Lock()
		c.counts.admit(fmt.Sprint("t", i), float64(i))
		c.mu.Unlock()
	}
	var vars struct{ Tenants map[string]tenantVars }
	require.NoError(t, json.Unmarshal([]byte(c.Vars().String()), &vars))
	require.Len(t, vars.Tenants, maxTenantVars+1)
	require.Equal(t, 199.0, vars.Tenants["tenant t199"].Used)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against requests that wait for the feed while it decodes a large configuration with
// its own lock held.
func TestRequestsDoNotWaitForTheFeed(t *testing.T) {
	address, _, _, _ := startLeader(t)
	core := &lockedCore{fakeCore: fakeCore{leader: address}}
	c := startClient(t, core, ClientOptions{})
	eventually(t, confirmed(c, 1))
	core.mu.Lock()
	defer core.mu.Unlock()
	admitted := make(chan struct{})
	go func() {
		for i := range testTenants {
			_, _ = c.Admit(context.Background(), &testTenants[i], 1)
		}
		close(admitted)
	}()
	select {
	case <-admitted:
	case <-time.After(3 * time.Second):
		t.Error("requests wait for the feed")
	}
}
