package corestore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/wal"
)

// repairTimeout is the time in which a VM that restarted with an empty disk must
// be a member again: the platform's catch-up time of 4 s plus a margin for slow
// test machines.
const repairTimeout = 8 * time.Second

// testCluster is a set of stores on loopback addresses, all on the same port.
type testCluster struct {
	t              *testing.T
	port           int
	faultTolerance int
	seeds          []string
	stores         map[int]*Store
	servers        map[int]*transport.Server
	peers          map[int]*Peers
	dirs           map[int]string
	// newDisk returns the empty disk of a member that starts for the first time.
	newDisk func() wal.FS
	disks   map[int]wal.FS
	// listeners are those of members that have not started yet.
	listeners map[int]net.Listener
	// withoutLeave is set while members are of a build that does not know the call Leave.
	withoutLeave bool
}

func newTestCluster(t *testing.T, members, faultTolerance int) *testCluster {
	return newTestClusterOn(t, members, faultTolerance, func() wal.FS { return wal.OS{} })
}

func newTestClusterOn(t *testing.T, members, faultTolerance int, newDisk func() wal.FS) *testCluster {
	c := &testCluster{
		t: t, faultTolerance: faultTolerance, listeners: map[int]net.Listener{}, newDisk: newDisk, disks: map[int]wal.FS{},
		stores: map[int]*Store{}, servers: map[int]*transport.Server{}, peers: map[int]*Peers{}, dirs: map[int]string{},
	}
	c.reservePort(members)
	for i := 1; i <= 3; i++ {
		c.seeds = append(c.seeds, c.address(i))
	}
	for i := 1; i <= members; i++ {
		c.dirs[i] = t.TempDir()
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.stores {
			c.stop(i)
		}
	})
	return c
}

// reservePort listens at a port that is free at the addresses of all members. Another
// process may use a port that is free at one address only. Members that start again need
// the port as well, so it is none that the system gives to outgoing connections.
func (c *testCluster) reservePort(members int) {
	for {
		c.port = 20000 + rand.N(10000)
		var err error
		for i := 1; i <= members && err == nil; i++ {
			var l net.Listener
			if l, err = net.Listen("tcp", c.address(i)); err == nil {
				c.listeners[i] = l
			}
		}
		if err == nil {
			return
		}
		require.ErrorIs(c.t, err, syscall.EADDRINUSE)
		for i, l := range c.listeners {
			_ = l.Close()
			delete(c.listeners, i)
		}
	}
}

func (c *testCluster) address(i int) string { return fmt.Sprintf("127.0.0.%d:%d", i, c.port) }

func (c *testCluster) start(i int, bootstrap bool) {
	c.t.Helper()
	l := c.listeners[i]
	delete(c.listeners, i)
	if l == nil {
		var err error
		l, err = net.Listen("tcp", c.address(i))
		require.NoError(c.t, err)
	}
	if c.disks[i] == nil {
		c.disks[i] = c.newDisk()
	}
	c.servers[i] = transport.NewServer(transport.Options{})
	c.peers[i] = NewPeers(c.address(i), uint16(c.port), transport.Options{})
	store, err := Start(Options{
		Dir: c.dirs[i] + "/store", FS: c.disks[i], Address: c.address(i), Seeds: func() []string { return c.seeds }, Bootstrap: bootstrap,
		FaultTolerance: c.faultTolerance, Peers: c.peers[i], Logger: testLogger(i),
		OnDocument: func(Document) {}, OnFatal: func(err error) { c.t.Errorf("member %d: %v", i, err) },
	}, c.servers[i])
	require.NoError(c.t, err)
	c.stores[i] = store
	server := c.servers[i]
	if c.withoutLeave {
		server.Handle(transport.MethodLeave, func(context.Context, *transport.Stream) error {
			return transport.Errorf(pb.Status_UNIMPLEMENTED, "method %d is not served here", transport.MethodLeave)
		})
	}
	go func() { _ = server.Serve(l) }()
}

func (c *testCluster) stop(i int) {
	c.peers[i].Close()
	c.servers[i].Close()
	_ = c.stores[i].Stop()
	delete(c.stores, i)
}

// voters returns the number of voters, or 0 while there is no leader or a
// running member is not a voter.
func (c *testCluster) voters() int {
	for _, s := range c.stores {
		st := s.status.Load()
		if !s.HasQuorum() || st.Leader != st.ID {
			continue
		}
		for _, other := range c.stores {
			if !st.Membership.IsVoter(other.currentNode().ID()) {
				return 0
			}
		}
		return len(st.Membership.Voters)
	}
	return 0
}

func (c *testCluster) waitVoters(n int) {
	c.t.Helper()
	c.requireSoon(fmt.Sprintf("%d voters", n), func() bool { return c.voters() == n })
}

func (c *testCluster) put(i int, version uint64, body string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.stores[i].Put(ctx, Document{Version: version, Body: []byte(body)})
}

func (c *testCluster) get(i int) (Document, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.stores[i].Get(ctx)
}

// Guards against the loss of an acknowledged document when the tolerated number
// of disks is lost right after the acknowledgement.
func TestTwoOfFiveDisksLostRightAfterAcknowledgement(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	_, err := c.put(4, 7, "seven")
	require.NoError(t, err)
	for _, i := range []int{1, 2} {
		c.stop(i)
		require.NoError(t, os.RemoveAll(c.dirs[i]+"/store"))
	}
	for _, i := range []int{1, 2} {
		c.start(i, false)
	}
	c.waitVoters(5)
	for i := 1; i <= 5; i++ {
		d, err := c.get(i)
		require.NoError(t, err)
		require.Equal(t, "seven", string(d.Body))
	}
}

// Guards against a simultaneous restart of all members that loses documents or
// bootstraps the group again.
func TestAllMembersRestartAtOnce(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	_, err := c.put(1, 3, "three")
	require.NoError(t, err)
	for i := 1; i <= 5; i++ {
		c.stop(i)
	}
	for i := 1; i <= 5; i++ {
		c.start(i, false)
	}
	d, err := c.get(5)
	require.NoError(t, err)
	require.Equal(t, uint64(3), d.Version)
}

// Guards against a daemon with an empty disk that bootstraps a second group
// because no other daemon answers.
func TestEmptyDaemonWithoutBootstrapFormsNoGroup(t *testing.T) {
	c := newTestCluster(t, 0, 2)
	c.dirs[1] = t.TempDir()
	c.start(1, false)
	time.Sleep(time.Second)
	require.False(t, c.stores[1].HasQuorum())
	_, err := c.put(1, 1, "x")
	require.ErrorIs(t, err, ErrUnavailable)
}

// Guards against a lost member that stays a voter after a daemon at another
// address has replaced it.
func TestMemberIsReplacedAtAnotherAddress(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	c.stop(2)
	c.dirs[6] = t.TempDir()
	c.start(6, false)
	require.Eventually(t, func() bool {
		st := c.stores[6].status.Load()
		return st.Membership.IsVoter(c.stores[6].currentNode().ID()) && len(st.Membership.Voters) == 5
	}, repairTimeout, 20*time.Millisecond)
}

// Guards against a document that is replaced by an older version or by other
// content of the same version. Such a Put changes nothing and is acknowledged.
func TestHighestVersionStays(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	for _, step := range []struct {
		version uint64
		body    string
		want    uint64
	}{{5, "five", 5}, {5, "other", 5}, {4, "four", 5}, {9, "nine", 9}} {
		got, err := c.put(int(step.version)%3+1, step.version, step.body)
		require.NoError(t, err)
		require.Equal(t, step.want, got)
	}
	d, err := c.get(2)
	require.NoError(t, err)
	require.Equal(t, "nine", string(d.Body))
}

// Guards against stale reads and lost writes: a member without a majority must
// not answer a read from its own copy, and must not acknowledge a write.
func TestMinorityRejectsReadsAndWrites(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	_, err := c.put(1, 2, "two")
	require.NoError(t, err)
	c.stop(2)
	c.stop(3)
	_, err = c.get(1)
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = c.put(1, 3, "three")
	require.ErrorIs(t, err, ErrUnavailable)
}

// Guards against a leader without a majority that states its version as the one in force:
// a newer one may have been acknowledged elsewhere.
func TestMinorityStatesNoCommittedVersion(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	_, err := c.put(1, 2, "two")
	require.NoError(t, err)
	leader := 0
	require.Eventually(t, func() bool {
		for i, s := range c.stores {
			version, err := s.CommittedVersion(context.Background())
			if _, _, self := s.Leader(); self && err == nil && version == 2 {
				leader = i
			}
		}
		return leader != 0
	}, repairTimeout, 10*time.Millisecond)
	for i := range c.stores {
		if i != leader {
			c.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = c.stores[leader].CommittedVersion(ctx)
	require.Error(t, err)
}

func testLogger(i int) *log.Logger {
	l := &log.Logger{Level: log.PanicLevel}
	if os.Getenv("GODWITWARD_TEST_LOG") != "" {
		l = &log.Logger{Level: log.DebugLevel, TimeFormat: "05.000", Context: log.NewContext(nil).Int("store", i).Value(), Writer: &log.IOWriter{Writer: os.Stdout}}
	}
	return l
}

// Guards against members that report a new leader only when they next look at the
// status: entries would restate their holds to it after it has begun to grant.
func TestNewLeaderIsReportedAtOnce(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	for range 5 {
		var old *Store
		require.Eventually(t, func() bool {
			for _, s := range c.stores {
				if _, _, self := s.Leader(); self {
					old = s
				}
			}
			return old != nil
		}, repairTimeout, time.Millisecond)
		_, oldTerm, _ := old.Leader()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		require.NoError(t, old.StepDown(ctx))
		cancel()
		var elected, reported time.Time
		require.Eventually(t, func() bool {
			known := 0
			for _, s := range c.stores {
				_, term, self := s.Leader()
				if term <= oldTerm {
					continue
				}
				known++
				if self && elected.IsZero() {
					elected = time.Now()
				}
			}
			reported = time.Now()
			return known == len(c.stores) && !elected.IsZero()
		}, repairTimeout, time.Millisecond)
		require.Less(t, reported.Sub(elected), statusPollInterval/2)
	}
}
