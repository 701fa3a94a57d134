package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// faultFS injects failures into the file system of the operating system.
type faultFS struct {
	wal.OS
	failSync, diskFull, crashed atomic.Bool
	syncs                       atomic.Int64

	mu    sync.Mutex
	files map[string]*faultFile
}

// faultFile counts the written bytes and those covered by a sync.
type faultFile struct {
	wal.File
	fs              *faultFS
	written, synced int64
}

func (f *faultFS) wrap(name string, file wal.File, size int64) wal.File {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files == nil {
		f.files = map[string]*faultFile{}
	}
	wrapped := &faultFile{File: file, fs: f, written: size, synced: size}
	f.files[name] = wrapped
	return wrapped
}

func (f *faultFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return f.wrap(name, file, 0), err
}

func (f *faultFS) OpenAppend(name string) (wal.File, error) {
	content, _ := f.ReadFile(name)
	file, err := f.OS.OpenAppend(name)
	return f.wrap(name, file, int64(len(content))), err
}

func (f *faultFS) Rename(from, to string) error {
	if f.crashed.Load() {
		return syscall.EIO
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[to] = f.files[from]
	delete(f.files, from)
	return f.OS.Rename(from, to)
}

func (f *faultFS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return f.OS.Remove(name)
}

// recoverFromCrash truncates each file to its synced part and half of the bytes
// written after it, and makes the file system usable again.
func (f *faultFS) recoverFromCrash(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, file := range f.files {
		require.NoError(t, os.Truncate(name, file.synced+(file.written-file.synced)/2))
	}
	f.files = nil
	f.crashed.Store(false)
}

func (f *faultFile) Write(p []byte) (int, error) {
	if f.fs.crashed.Load() {
		return 0, syscall.EIO
	}
	if f.fs.diskFull.Load() {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	n, err := f.File.Write(p)
	f.written += int64(n)
	return n, err
}

func (f *faultFile) Truncate(size int64) error {
	f.written, f.synced = size, min(f.synced, size)
	return f.File.Truncate(size)
}

func (f *faultFile) Sync() error {
	f.fs.syncs.Add(1)
	if f.fs.failSync.Load() || f.fs.crashed.Load() {
		return syscall.EIO
	}
	f.synced = f.written
	return f.File.Sync()
}

func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against an isolated leader that reports a definite result for a command
// whose outcome it cannot know, or that serves reads.
func TestIsolatedLeaderReportsUnknownOutcomeAndRejectsReads(t *testing.T) {
	c := newTestCluster(t, 3).bootstrap()
	c.propose("before")
	oldLeader := c.leader()
	c.network.SetIsolated(oldLeader.ID(), true)
	read := make(chan error, 1)
	go func() { read <- oldLeader.ReadIndex(timeoutContext(t, 10*time.Second), 1) }()
	_, err := oldLeader.Propose(timeoutContext(t, 10*time.Second), 1, []byte("lost"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.ErrorIs(t, <-read, ErrNotLeader)
	require.Eventually(t, func() bool { return c.leader().ID() != oldLeader.ID() }, 5*time.Second, testTick)
	_, err = oldLeader.Propose(t.Context(), 1, []byte("refused"))
	require.ErrorIs(t, err, ErrNotLeader)
	c.network.SetIsolated(oldLeader.ID(), false)
	c.propose("after")
	for _, id := range c.voters {
		c.requireCommands(id, []string{"before", "after"})
	}
	_, err = oldLeader.Propose(t.Context(), 1, []byte("refused"))
	var notLeader *NotLeaderError
	require.ErrorAs(t, err, &notLeader)
	require.Equal(t, c.leader().ID(), notLeader.Leader)
}

// Guards against a leader that steps down without ready work and still reports
// that it leads.
func TestLostLeadershipIsPublishedWithoutReadyWork(t *testing.T) {
	c := newTestCluster(t, 3).bootstrap()
	c.propose("before")
	oldLeader := c.leader()
	c.network.SetIsolated(oldLeader.ID(), true)
	// Each tick runs in an iteration of its own, so that the tick that ends the
	// leadership leaves no message to send.
	for role := raft.Leader; role == raft.Leader; {
		require.NoError(t, oldLeader.runOnGroup(1, func(g *group) error {
			g.core.Tick()
			role = g.core.Role()
			return nil
		}))
	}
	require.NoError(t, oldLeader.runOnGroup(1, func(*group) error { return nil }))
	_, leads := oldLeader.Leads(1)
	require.False(t, leads)
}

// Guards against a leader that was paused, with its clock or without, and acts on a
// leadership that may have passed to another member: no tick has told it so.
func TestInterruptedLeaderStepsDownBeforeItActs(t *testing.T) {
	c := newTestCluster(t, 3)
	clocks := map[MemberID]*atomic.Int64{}
	c.adjust = func(o *Options) {
		clock := &atomic.Int64{}
		clocks[o.ID] = clock
		o.BootTime = func() time.Duration { return time.Duration(clock.Load()) }
	}
	c.bootstrap()
	c.propose("before")
	leader := c.leader()
	clocks[leader.ID()].Add(int64(raft.DefaultElectionTicks*testTick) - 1)
	require.NoError(t, leader.runOnGroup(1, func(*group) error { return nil }))
	_, leads := leader.Leads(1)
	require.True(t, leads, "no other member can have been elected")
	clocks[leader.ID()].Add(int64(raft.DefaultElectionTicks * testTick))
	require.NoError(t, leader.runOnGroup(1, func(g *group) error {
		require.Equal(t, raft.Follower, g.core.Role(), "a call after the pause")
		return nil
	}))
	c.propose("after")
}

// Guards against a node that keeps running after a failed sync, or acknowledges
// a command that the failed sync covered.
func TestFailedSyncStopsNode(t *testing.T) {
	c := newTestCluster(t, 1)
	files := &faultFS{}
	fatal := make(chan error, 1)
	c.adjust = func(o *Options) { o.FS = files; o.OnFatal = func(err error) { fatal <- err } }
	n := c.start(1, StartBootstrap)
	c.propose("kept")
	files.failSync.Store(true)
	_, err := n.Propose(t.Context(), 1, []byte("unsynced"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.ErrorIs(t, <-fatal, wal.ErrFailed)
	require.ErrorIs(t, n.Err(), wal.ErrFailed)
	_, err = n.Propose(t.Context(), 1, []byte("late"))
	require.ErrorIs(t, err, ErrStopped)
	require.Zero(t, n.Leader(1))
}

// Guards against a node that acknowledges commands while the disk is full, stops
// because of it, or does not continue once space is freed.
func TestFullDiskRejectsCommandsUntilSpaceIsFreed(t *testing.T) {
	c := newTestCluster(t, 1)
	files := &faultFS{}
	c.adjust = func(o *Options) { o.FS = files }
	n := c.start(1, StartBootstrap)
	c.propose("kept")
	files.diskFull.Store(true)
	first := make(chan error, 1)
	go func() {
		_, err := n.Propose(t.Context(), 1, []byte("waits"))
		first <- err
	}()
	require.Eventually(t, func() bool { return n.diskFull.Load() }, 5*time.Second, time.Millisecond)
	_, err := n.Propose(t.Context(), 1, []byte("refused"))
	require.ErrorIs(t, err, ErrDiskFull)
	require.ErrorIs(t, n.ReadIndex(t.Context(), 1), ErrDiskFull)
	require.Empty(t, first)
	files.diskFull.Store(false)
	require.NoError(t, <-first)
	c.propose("after")
	c.stop(1)
	c.start(1, StartExisting)
	c.requireCommands(1, []string{"kept", "waits", "after"})
}

// Guards against a member that votes again under its old id after it lost its
// disk.
func TestLostDiskRequiresNewMemberID(t *testing.T) {
	c := newTestCluster(t, 1)
	c.start(1, StartBootstrap)
	c.stop(1)
	options := Options{ID: 1, Voters: c.voters, Groups: map[GroupID]StateMachine{1: &commandLog{}}, Sender: c.network.Sender(1), Dir: t.TempDir()}
	for _, test := range []struct {
		name   string
		change func(*Options)
		want   error
	}{
		{"existing member on an empty disk", func(*Options) {}, ErrNoState},
		{"bootstrap on a used disk", func(o *Options) { o.Dir, o.Start = c.dirs[1], StartBootstrap }, ErrStateExists},
		{"join on a used disk", func(o *Options) { o.Dir, o.Start = c.dirs[1], StartJoin }, ErrStateExists},
		{"disk of another member", func(o *Options) { o.Dir, o.ID = c.dirs[1], 2 }, ErrIdentityMismatch},
		{"other groups", func(o *Options) { o.Dir = c.dirs[1]; o.Groups = map[GroupID]StateMachine{2: &commandLog{}} }, ErrIdentityMismatch},
		{"bootstrap of a member outside the voters", func(o *Options) { o.ID, o.Start = 5, StartBootstrap }, ErrIdentityMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := options
			test.change(&o)
			_, err := Start(o)
			require.ErrorIs(t, err, test.want)
		})
	}
}

// Guards against the loss of commands when a second member fails right after a
// new member replaced one with a lost disk.
func TestReplacementMemberToleratesSecondFailure(t *testing.T) {
	c := newTestCluster(t, 3)
	c.adjust = func(o *Options) { o.SnapshotBytes, o.KeepEntries, o.SegmentBytes = 400, 4, 4096 }
	c.bootstrap()
	var want []string
	write := func(count int) {
		for range count {
			want = append(want, fmt.Sprintf("command %d", len(want)))
			c.propose(want[len(want)-1])
		}
	}
	write(100)
	lostMember := c.leader().ID()
	c.stop(lostMember)
	replacement := c.start(0, StartJoin)
	c.nodes[replacement.ID()], c.machines[replacement.ID()], c.dirs[replacement.ID()] = replacement, c.machines[0], c.dirs[0]
	delete(c.nodes, 0)
	change := func(kind raft.ChangeKind, id MemberID) {
		require.Eventually(t, func() bool {
			return c.leader().ChangeMembers(timeoutContext(t, 5*time.Second), 1, raft.MembershipChange{Kind: kind, Member: id}) == nil
		}, 10*time.Second, testTick)
	}
	change(raft.AddLearner, replacement.ID())
	change(raft.PromoteLearner, replacement.ID())
	change(raft.RemoveMember, lostMember)
	write(1)
	secondFailed := c.leader().ID()
	c.stop(secondFailed)
	write(10)
	for id := range c.nodes {
		c.requireCommands(id, want)
	}
	err := c.leader().ChangeMembers(t.Context(), 1, raft.MembershipChange{Kind: raft.AddLearner, Member: lostMember})
	require.ErrorIs(t, err, raft.ErrInvalidChange)
	c.start(secondFailed, StartExisting)
	c.requireCommands(secondFailed, want)
	c.stop(replacement.ID())
	c.start(replacement.ID(), StartExisting)
	c.requireCommands(replacement.ID(), want)
	segments, err := filepath.Glob(filepath.Join(c.dirs[secondFailed], "*.wal"))
	require.NoError(t, err)
	require.LessOrEqual(t, len(segments), maxSegments+1)
}

// Guards against a leadership transfer that loses commands or does not complete.
func TestTransferLeadership(t *testing.T) {
	c := newTestCluster(t, 3).bootstrap()
	c.propose("before")
	from := c.leader()
	to := from.ID()%3 + 1
	require.NoError(t, from.TransferLeadership(1, to))
	require.Eventually(t, func() bool { return c.leader().ID() == to }, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, from.TransferLeadership(1, to), ErrNotLeader)
	c.propose("after")
	c.requireCommands(from.ID(), []string{"before", "after"})
}

// Guards against a planned stop that costs an election timeout or waits for a
// stopped member.
func TestStepDownTransfersLeadershipWithoutElectionTimeout(t *testing.T) {
	c := newTestCluster(t, 3)
	c.adjust = func(o *Options) { o.Tick = 100 * time.Millisecond }
	c.bootstrap()
	c.propose("before")
	from := c.leader()
	stopped := from.ID()%3 + 1
	c.stop(stopped)
	require.Eventually(t, func() bool {
		s, err := from.Status(1)
		return err == nil && transferTarget(&s) != stopped
	}, 10*time.Second, testTick)
	start := time.Now()
	require.NoError(t, from.StepDown(timeoutContext(t, 5*time.Second)))
	c.propose("after")
	require.Less(t, time.Since(start), raft.DefaultElectionTicks*100*time.Millisecond)
	require.NotEqual(t, from.ID(), c.leader().ID())
	require.NoError(t, from.StepDown(timeoutContext(t, time.Second)), "StepDown of a follower")
}

// Guards against a separate sync for each group or command.
func TestGroupsAndCommandsShareSyncs(t *testing.T) {
	files := &faultFS{}
	groups := map[GroupID]StateMachine{}
	for id := range GroupID(16) {
		groups[id] = &commandLog{}
	}
	n, err := Start(Options{ID: 1, Start: StartBootstrap, Voters: []MemberID{1}, Groups: groups, Sender: NewNetwork().Sender(1), Dir: t.TempDir(), FS: files})
	require.NoError(t, err)
	defer func() { require.NoError(t, n.Stop()) }()
	require.NoError(t, n.ReadIndex(t.Context(), 0))
	before := files.syncs.Load()
	var wg sync.WaitGroup
	for id := range groups {
		for range 20 {
			wg.Go(func() {
				_, err := n.Propose(t.Context(), id, []byte("x"))
				require.NoError(t, err)
			})
		}
	}
	wg.Wait()
	require.Less(t, files.syncs.Load()-before, int64(len(groups)))
}

// Guards against a command that is applied although its caller was told that it
// had no effect.
func TestAbandonedCallErrorDependsOnWhetherItWasDequeued(t *testing.T) {
	c := newTestCluster(t, 1)
	files := &faultFS{}
	c.adjust = func(o *Options) { o.FS = files }
	n := c.start(1, StartBootstrap)
	c.propose("before")
	files.diskFull.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := n.Propose(ctx, 1, []byte("taken"))
		result <- err
	}()
	require.Eventually(t, func() bool { return n.diskFull.Load() }, 5*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-result, ErrOutcomeUnknown)
	abandoned := &call{group: 1, done: make(chan callResult, 1)}
	require.ErrorIs(t, n.abandon(abandoned, context.Canceled), context.Canceled)
	n.dispatchCalls([]*call{abandoned})
	require.Empty(t, abandoned.done)
	_, err := n.Propose(t.Context(), 9, nil)
	require.ErrorIs(t, err, ErrDiskFull)
	files.diskFull.Store(false)
	require.Eventually(t, func() bool { return !n.diskFull.Load() }, 5*time.Second, time.Millisecond)
	_, err = n.Propose(t.Context(), 9, nil)
	require.ErrorIs(t, err, ErrUnknownGroup)
}

// Guards against a confirmed read that completes before its read index is
// applied.
func TestConfirmedReadWaitsUntilApplied(t *testing.T) {
	read := &call{kind: callRead, done: make(chan callResult, 1)}
	g := &group{appliedIndex: 4, machine: &commandLog{}, unconfirmedReads: map[uint64][]*call{7: {read}}}
	require.NoError(t, g.apply(&raft.Ready{ReadStates: []raft.ReadState{{Context: 7, Index: 5}}}))
	require.Empty(t, read.done)
	require.NoError(t, g.apply(&raft.Ready{CommittedEntries: []raft.Entry{{Index: 5, Term: 1}}}))
	require.Equal(t, callResult{}, <-read.done)
}

// Guards against a large state that is written again after every few log
// entries.
func TestLargeStateTakesFewerSnapshots(t *testing.T) {
	g := &group{bytesSinceSnapshot: 100}
	require.True(t, g.snapshotDue(100))
	g.lastSnapshotBytes = 1000
	require.False(t, g.snapshotDue(100))
	g.bytesSinceSnapshot = 500
	require.True(t, g.snapshotDue(100))
}

// Guards against stale reads and lost or duplicated commands while leaders are
// isolated and members crash and lose unsynced writes.
func TestClientHistoryIsLinearizable(t *testing.T) {
	c := newTestCluster(t, 3)
	files := map[MemberID]*faultFS{1: {}, 2: {}, 3: {}}
	c.adjust = func(o *Options) { o.SnapshotBytes, o.KeepEntries, o.FS = 200, 2, files[o.ID] }
	c.bootstrap()
	c.propose("0")
	var mu sync.Mutex
	var history []porcupine.Operation
	nodes := func() []*Node {
		mu.Lock()
		defer mu.Unlock()
		return []*Node{c.nodes[1], c.nodes[2], c.nodes[3]}
	}
	start := time.Now()
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Go(func() {
			for i := 0; time.Since(start) < 1500*time.Millisecond; i++ {
				n := nodes()[(client+i)%3]
				time.Sleep(2 * time.Millisecond)
				if n == nil {
					continue
				}
				operation := porcupine.Operation{ClientId: client, Call: time.Since(start).Nanoseconds()}
				ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
				var err error
				if i%2 == 0 {
					operation.Input = fmt.Sprint(client, "/", i)
					_, err = n.Propose(ctx, 1, []byte(operation.Input.(string)))
				} else if err = n.ReadIndex(ctx, 1); err == nil {
					err = n.runOnGroup(1, func(g *group) error {
						commands := g.machine.(*commandLog).Commands
						operation.Output = commands[len(commands)-1]
						return nil
					})
				}
				cancel()
				operation.Return = time.Since(start).Nanoseconds()
				unknown := operation.Input != nil && errors.Is(err, ErrOutcomeUnknown)
				if err != nil && !unknown {
					continue
				}
				if unknown {
					operation.Return = time.Hour.Nanoseconds()
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
			}
		})
	}
	for round := range 6 {
		time.Sleep(200 * time.Millisecond)
		id := MemberID(round%3 + 1)
		if round%2 == 0 {
			id = c.leader().ID()
			c.network.SetIsolated(id, true)
			time.Sleep(50 * time.Millisecond)
			c.network.SetIsolated(id, false)
			continue
		}
		mu.Lock()
		files[id].crashed.Store(true)
		c.network.Detach(id)
		_ = c.nodes[id].Stop()
		files[id].recoverFromCrash(t)
		c.start(id, StartExisting)
		mu.Unlock()
	}
	wg.Wait()
	require.Greater(t, len(history), 100)
	result := porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return "0" },
		Step: func(state, input, output any) (bool, any) {
			if input != nil {
				return true, input
			}
			return output == state, state
		},
	}, history, 20*time.Second)
	require.NotEqual(t, porcupine.Illegal, result)
}
