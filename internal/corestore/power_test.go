package corestore

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/wal"
)

// memoryDisk is a disk whose power may fail: only synced bytes and synced directory
// entries are left then.
type memoryDisk struct {
	mu sync.Mutex
	// visible holds the files that processes see, durable the directory entries that
	// survive.
	visible, durable map[string]*memoryFile
	// slow is set while a sync takes long.
	slow atomic.Bool
}

type memoryFile struct {
	disk *memoryDisk
	data []byte
	// synced is the length of the part that survives.
	synced int
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{visible: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// afterPowerLoss returns the disk with what survives a loss of power now.
func (d *memoryDisk) afterPowerLoss() *memoryDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := newMemoryDisk()
	for name, f := range d.durable {
		after.visible[name] = &memoryFile{disk: after, data: slices.Clone(f.data[:f.synced]), synced: f.synced}
	}
	maps.Copy(after.durable, after.visible)
	return after
}

func (d *memoryDisk) MkdirAll(string) error { return nil }

func (d *memoryDisk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.visible[name] = &memoryFile{disk: d}
	return d.visible[name], nil
}

func (d *memoryDisk) OpenAppend(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.visible[name] == nil {
		return nil, fs.ErrNotExist
	}
	return d.visible[name], nil
}

func (d *memoryDisk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.visible[name] == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(d.visible[name].data), nil
}

func (d *memoryDisk) ReadDir(dir string) (names []string, _ error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(d.visible)) {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.visible[to] = d.visible[from]
	delete(d.visible, from)
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.visible, name)
	return nil
}

func (d *memoryDisk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.durable, func(name string, _ *memoryFile) bool { return filepath.Dir(name) == dir })
	for name, f := range d.visible {
		if filepath.Dir(name) == dir {
			d.durable[name] = f
		}
	}
	return nil
}

func (f *memoryFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.data = append(f.data, p...)
	return len(p), nil
}

// slowSync is how long a sync of a slow disk takes.
const slowSync = 100 * time.Millisecond

// Sync takes as long as that of a disk, so that the power often fails before its end.
func (f *memoryFile) Sync() error {
	f.disk.mu.Lock()
	length := len(f.data)
	f.disk.mu.Unlock()
	if f.disk.slow.Load() {
		time.Sleep(slowSync)
	}
	time.Sleep(time.Duration(1+rand.N(5)) * time.Millisecond)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.synced = min(length, len(f.data))
	return nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.data = slices.Clone(f.data[:size])
	f.synced = min(f.synced, len(f.data))
	return nil
}

func (f *memoryFile) Close() error { return nil }

// newPowerCluster returns a group of five on disks whose power may fail, at a time when a
// daemon that joins no longer takes part in the forming of the group.
func newPowerCluster(t *testing.T) *testCluster {
	c := newTestClusterOn(t, 5, 2, func() wal.FS { return newMemoryDisk() })
	c.waitVoters(5)
	time.Sleep(formationTimeout)
	return c
}

// losePower ends all members at one moment. Those in lost come back with empty disks, those
// in gone not at all, all others with what they had synced.
func (c *testCluster) losePower(lost, gone []int) {
	members := slices.Sorted(maps.Keys(c.stores))
	for _, i := range members {
		c.disks[i] = c.disks[i].(*memoryDisk).afterPowerLoss()
	}
	for _, i := range members {
		c.stop(i)
	}
	for _, i := range lost {
		c.disks[i] = newMemoryDisk()
	}
	for _, i := range members {
		if !slices.Contains(gone, i) {
			c.start(i, false)
		}
	}
}

// putUntil stores documents one after the other, at another member after an error, until
// stop is called, which returns the version that was acknowledged last.
func (c *testCluster) putUntil(body []byte) (stop func() uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var acknowledged atomic.Uint64
	stores := slices.Collect(maps.Values(c.stores))
	go func() {
		for version := uint64(1); ctx.Err() == nil; version++ {
			callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
			got, err := stores[0].Put(callCtx, Document{Version: version, Body: body})
			cancelCall()
			if err != nil {
				stores = append(stores[1:], stores[0])
			} else if got == version {
				acknowledged.Store(version)
			}
		}
	}()
	require.Eventually(c.t, func() bool { return acknowledged.Load() > 0 }, repairTimeout, tick)
	return func() uint64 {
		defer cancel()
		return acknowledged.Load()
	}
}

// Guards against the loss of an acknowledged document, and of the majority, when two disks
// are lost and at the same moment all other daemons keep only what they had synced, those
// included that wait to replace one or that are being replaced.
func TestTwoDisksLostWhileAllOthersLosePower(t *testing.T) {
	stepDown := func(c *testCluster, i int) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		require.NoError(c.t, c.stores[i].StepDown(ctx))
	}
	random := func(max time.Duration) { time.Sleep(rand.N(max)) }
	for name, prepare := range map[string]func(c *testCluster) (lost, gone []int){
		"at rest": func(c *testCluster) (lost, gone []int) {
			random(time.Second)
			return []int{1, 2}, nil
		},
		"the leader among them": func(c *testCluster) (lost, gone []int) {
			random(time.Second)
			leader := c.leader()
			return []int{leader, leader%5 + 1}, nil
		},
		"while a daemon joins": func(c *testCluster) (lost, gone []int) {
			c.add(6)
			random(time.Second)
			return []int{3, 4}, nil
		},
		"while one waits to replace another": func(c *testCluster) (lost, gone []int) {
			c.add(6)
			time.Sleep(catchUpTime)
			return []int{4, 6}, nil
		},
		"as soon as one was replaced by plan": func(c *testCluster) (lost, gone []int) {
			c.add(6)
			time.Sleep(catchUpTime)
			stepDown(c, 5)
			return []int{2, 4}, []int{5}
		},
		"after the leader was replaced": func(c *testCluster) (lost, gone []int) {
			leader := c.leader()
			c.stop(leader)
			random(time.Second)
			c.add(6)
			time.Sleep(catchUpTime)
			alive := slices.Sorted(maps.Keys(c.stores))
			return []int{alive[1], alive[4]}, nil
		},
		"while a silent voter is replaced and comes back": func(c *testCluster) (lost, gone []int) {
			c.add(6)
			time.Sleep(catchUpTime)
			c.stop(5)
			time.Sleep(800*time.Millisecond + rand.N(800*time.Millisecond))
			c.disks[5] = newMemoryDisk()
			c.start(5, false)
			return []int{2, 5}, nil
		},
		"while a removed voter rejoins": func(c *testCluster) (lost, gone []int) {
			c.add(6)
			time.Sleep(catchUpTime)
			c.stop(5)
			time.Sleep(1500 * time.Millisecond)
			c.start(5, false)
			random(time.Second)
			return []int{2, 3}, nil
		},
		"after another disk was lost": func(c *testCluster) (lost, gone []int) {
			c.stop(4)
			c.disks[4] = newMemoryDisk()
			random(time.Second)
			c.start(4, false)
			time.Sleep(catchUpTime)
			return []int{1, 2}, nil
		},
		"after the leader's disk was lost": func(c *testCluster) (lost, gone []int) {
			leader := c.leader()
			c.stop(leader)
			c.disks[leader] = newMemoryDisk()
			random(time.Second)
			c.start(leader, false)
			time.Sleep(catchUpTime)
			return []int{leader%5 + 1, (leader+1)%5 + 1}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newPowerCluster(t)
			stop := c.putUntil([]byte("value"))
			lost, gone := prepare(c)
			acknowledged := stop()
			c.losePower(lost, gone)
			c.requireRecovered(acknowledged)
		})
	}
}

// Guards against a daemon that is told to stop, and ends before the disks of a majority hold
// that it no longer votes: two lost disks then end the majority.
func TestReplacedDaemonEndsOnceItsRemovalIsSynced(t *testing.T) {
	c := newPowerCluster(t)
	c.add(6)
	time.Sleep(2 * time.Second)
	leader := c.leader()
	leaving, lost := leader%5+1, (leader+1)%5+1
	for i, disk := range c.disks {
		disk.(*memoryDisk).slow.Store(i != leader)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, c.stores[leaving].StepDown(ctx))
	c.losePower([]int{leader, lost}, []int{leaving})
	c.requireRecovered(0)
}

// holds reports whether text would be on the disk after a loss of power now.
func (d *memoryDisk) holds(text string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.durable {
		if bytes.Contains(f.data[:f.synced], []byte(text)) {
			return true
		}
	}
	return false
}

// Guards against an acknowledgement that counts a daemon which has not synced the document,
// or one that does not vote.
func TestAcknowledgedDocumentIsOnTheDisksOfAMajority(t *testing.T) {
	c := newPowerCluster(t)
	c.add(6)
	require.Eventually(t, func() bool { return c.stores[6].HasQuorum() }, repairTimeout, tick)
	for version := range uint64(100) {
		body := fmt.Sprintf("<%d>", version+1)
		_, err := c.put(c.leader(), version+1, body)
		require.NoError(t, err)
		copies := 0
		for i := 1; i <= 5; i++ {
			if c.disks[i].(*memoryDisk).holds(body) {
				copies++
			}
		}
		require.GreaterOrEqual(t, copies, 3, "version %d", version+1)
	}
}

// Guards against a snapshot that counts before it is synced, at a daemon that joins or in
// place of the log.
func TestTwoDisksLostWhileSnapshotsAreInstalled(t *testing.T) {
	for range 3 {
		c := newTestClusterOn(t, 5, 2, func() wal.FS { return newMemoryDisk() })
		c.waitVoters(5)
		stop := c.putUntil(make([]byte, 512<<10))
		require.Eventually(t, func() bool { return c.stores[1].Current().Version > 2*keepEntries }, 30*time.Second, tick)
		c.add(6)
		time.Sleep(rand.N(time.Second))
		acknowledged := stop()
		c.losePower([]int{2, 4}, nil)
		c.requireRecovered(acknowledged)
	}
}

// requireRecovered checks that what was acknowledged is still there and that the group
// has all its votes again.
func (c *testCluster) requireRecovered(acknowledged uint64) {
	c.requireSoon("a leader", func() bool { return c.leader() != 0 })
	d, err := c.get(c.leader())
	require.NoError(c.t, err)
	require.GreaterOrEqual(c.t, d.Version, acknowledged)
	c.requireSoon("all votes", c.allVotersRun)
}

// requireSoon fails the test, with the members' views of the group, if a condition is not
// met in time.
func (c *testCluster) requireSoon(what string, met func() bool) {
	for end := time.Now().Add(repairTimeout); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().Before(end) {
			continue
		}
		for i, s := range c.stores {
			c.t.Logf("member %d: %+v", i, s.status.Load().Status)
		}
		require.FailNow(c.t, "not in time: "+what)
	}
}

// add starts another daemon with an empty disk.
func (c *testCluster) add(i int) {
	c.dirs[i] = "/member"
	c.start(i, false)
}

// allVotersRun reports whether at least five members vote and all of them run.
func (c *testCluster) allVotersRun() bool {
	leader := c.leader()
	if leader == 0 {
		return false
	}
	voters, running := c.stores[leader].status.Load().Membership.Voters, 0
	for _, s := range c.stores {
		if slices.Contains(voters, s.currentNode().ID()) {
			running++
		}
	}
	return len(voters) >= 5 && running == len(voters)
}
