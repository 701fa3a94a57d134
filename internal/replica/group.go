package replica

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// callResult is what a call returns to its caller.
type callResult struct {
	value any
	err   error
}

// call is a pending proposal, membership change or linearizable read.
type call struct {
	group GroupID
	kind  callKind
	data  []byte
	// change is set for a membership change.
	change raft.MembershipChange
	// term is the term of the call's log entry.
	term uint64
	// state holds callQueued, callDequeued or callAbandoned. A call can be
	// abandoned without effect only while it is queued.
	state atomic.Int32
	done  chan callResult
}

type callKind uint8

const (
	callPropose callKind = iota
	callChange
	callRead
)

// Values of call.state.
const (
	callQueued int32 = iota
	callDequeued
	callAbandoned
)

func (c *call) complete(result any, err error) { c.done <- callResult{result, err} }

// readBatch holds the confirmed reads of one read context. They complete once
// index is applied.
type readBatch struct {
	index uint64
	calls []*call
}

// leadership is the state behind Node.Leader and Node.Leads, which do not wait
// for the node's goroutine.
type leadership struct {
	leader MemberID
	term   uint64
	role   raft.Role
}

// group is the state of one raft group. Only the node's goroutine accesses it,
// except for publishedLeadership.
type group struct {
	id      GroupID
	core    *raft.Core
	machine StateMachine

	hardState raft.HardState
	// proposals holds the proposals and membership changes that are in the
	// log but not yet applied, by log index.
	proposals map[uint64]*call
	// unconfirmedReads holds the reads whose read index the core has not
	// confirmed, by read context.
	unconfirmedReads map[uint64][]*call
	// confirmedReads is ordered by index.
	confirmedReads  []readBatch
	lastReadContext uint64
	appliedIndex    uint64

	// bytesSinceSnapshot is the size of the entries applied since the newest
	// snapshot.
	bytesSinceSnapshot int
	snapshotIndex      uint64
	// lastSnapshotBytes is the size of the newest snapshot.
	lastSnapshotBytes int
	snapshotting      bool

	lastLeadership      leadership
	publishedLeadership atomic.Pointer[leadership]
}

// newGroup restores a group from its snapshot and log entries.
func newGroup(id GroupID, l *wal.Log, member identity, o *Options) (*group, error) {
	g := &group{
		id:               id,
		machine:          o.Groups[id],
		proposals:        map[uint64]*call{},
		unconfirmedReads: map[uint64][]*call{},
	}
	stored := l.Recover(id)
	restored := raft.RestoredState{
		HardState: raft.HardState{Term: stored.HardState.Term, Vote: MemberID(stored.HardState.Vote), Commit: stored.HardState.Commit},
		Snapshot:  raft.SnapshotMeta{Membership: member.initialMembership},
	}
	for _, e := range stored.Entries {
		restored.Entries = append(restored.Entries, raft.Entry{Index: e.Index, Term: e.Term, Type: raft.EntryType(e.Type), Data: e.Data})
		g.bytesSinceSnapshot += len(e.Data)
	}
	if stored.Snapshot.Index > 0 {
		meta, err := g.restoreSnapshot(l)
		if err != nil {
			return nil, err
		}
		restored.Snapshot = meta
	}
	g.hardState = restored.HardState
	core, err := raft.New(raft.Config{
		ID:             member.id,
		Seed:           o.Seed + uint64(id),
		ElectionTicks:  o.ElectionTicks,
		HeartbeatTicks: o.HeartbeatTicks,
		SnapshotTicks:  o.SnapshotTicks,
	}, restored)
	if err != nil {
		return nil, err
	}
	g.core = core
	g.publishedLeadership.Store(&leadership{})
	if voters := core.Status().Membership.Voters; len(voters) == 1 && voters[0] == member.id {
		core.Campaign()
	}
	return g, nil
}

// restoreSnapshot loads the group's newest snapshot into the state machine.
func (g *group) restoreSnapshot(l *wal.Log) (raft.SnapshotMeta, error) {
	snapshot, data, err := l.ReadSnapshot(g.id)
	if err != nil {
		return raft.SnapshotMeta{}, err
	}
	meta, err := raft.DecodeSnapshotMeta(snapshot.Meta)
	if err != nil {
		return raft.SnapshotMeta{}, err
	}
	if err := g.machine.Restore(data); err != nil {
		return raft.SnapshotMeta{}, errors.Wrap(err, "restoring the state machine")
	}
	g.appliedIndex = meta.Index
	g.snapshotIndex = meta.Index
	g.lastSnapshotBytes = len(data)
	return meta, nil
}

// addToBatch adds the snapshot, entries and hard state of a Ready to the batch.
func (g *group) addToBatch(batch *wal.Batch, r *raft.Ready) {
	if r.HardState != nil {
		g.hardState = *r.HardState
	}
	// A new commit index alone needs no sync: after a restart the member
	// learns it again from the leader.
	if !r.MustSync {
		return
	}
	if r.Snapshot != nil {
		batch.SetSnapshot(g.id, walSnapshot(&r.Snapshot.Meta))
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		batch.Append(g.id, wal.Entry{Index: e.Index, Term: e.Term, Type: uint8(e.Type), Data: e.Data})
	}
	batch.SetHardState(g.id, wal.HardState{Term: g.hardState.Term, Vote: uint64(g.hardState.Vote), Commit: g.hardState.Commit})
}

// snapshotDue reports whether enough bytes were applied for a new snapshot. The
// threshold grows with the size of the state, so that snapshots of a state of
// constant size write at most twice as many bytes as the log.
func (g *group) snapshotDue(minBytes int) bool {
	return g.bytesSinceSnapshot >= max(minBytes, g.lastSnapshotBytes/2)
}

func walSnapshot(meta *raft.SnapshotMeta) wal.Snapshot {
	return wal.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raft.AppendSnapshotMeta(nil, meta)}
}

// apply applies the snapshot and committed entries of a Ready to the state
// machine and completes the calls and reads that they cover.
func (g *group) apply(r *raft.Ready) error {
	if r.Snapshot != nil {
		if err := g.machine.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "group %d: restoring the state machine", g.id)
		}
		g.appliedIndex = r.Snapshot.Meta.Index
		g.snapshotIndex = r.Snapshot.Meta.Index
		g.lastSnapshotBytes = len(r.Snapshot.Data)
		g.bytesSinceSnapshot = 0
	}
	for i := range r.CommittedEntries {
		g.applyEntry(&r.CommittedEntries[i])
	}
	for _, state := range r.ReadStates {
		g.confirmedReads = append(g.confirmedReads, readBatch{state.Index, g.unconfirmedReads[state.Context]})
		delete(g.unconfirmedReads, state.Context)
	}
	g.completeReads()
	return nil
}

func (g *group) applyEntry(e *raft.Entry) {
	var result any
	if e.Type == raft.EntryNormal {
		result = g.machine.Apply(e.Index, e.Data)
	}
	g.appliedIndex = e.Index
	g.bytesSinceSnapshot += len(e.Data)
	c := g.proposals[e.Index]
	if c == nil {
		return
	}
	delete(g.proposals, e.Index)
	if c.term != e.Term {
		c.complete(nil, errors.Wrapf(ErrOutcomeUnknown, "group %d: entry %d was replaced", g.id, e.Index))
		return
	}
	c.complete(result, nil)
}

// completeReads completes the confirmed reads whose index is applied.
func (g *group) completeReads() {
	completed := 0
	for _, batch := range g.confirmedReads {
		if batch.index > g.appliedIndex {
			break
		}
		for _, c := range batch.calls {
			c.complete(nil, nil)
		}
		completed++
	}
	g.confirmedReads = g.confirmedReads[completed:]
}

// propose appends the commands of the calls to the log.
func (g *group) propose(calls []*call) {
	commands := make([][]byte, len(calls))
	for i, c := range calls {
		commands[i] = c.data
	}
	index, term, err := g.core.Propose(commands...)
	if err != nil {
		g.rejectCalls(calls, err)
		return
	}
	for i, c := range calls {
		c.term = term
		g.proposals[index+uint64(i)] = c
	}
}

func (g *group) changeMembers(c *call) {
	index, term, err := g.core.ChangeMembership(c.change)
	if err != nil {
		g.rejectCalls([]*call{c}, err)
		return
	}
	c.term = term
	g.proposals[index] = c
}

// readIndex starts the confirmation of reads, which share one read context.
func (g *group) readIndex(calls []*call) {
	g.lastReadContext++
	if err := g.core.ReadIndex(g.lastReadContext); err != nil {
		g.rejectCalls(calls, err)
		return
	}
	g.unconfirmedReads[g.lastReadContext] = calls
}

// rejectCalls completes calls with the error that the core returned for them.
func (g *group) rejectCalls(calls []*call, err error) {
	if errors.Is(err, raft.ErrNotLeader) {
		err = &NotLeaderError{Group: g.id, Leader: g.core.Leader()}
	}
	for _, c := range calls {
		c.complete(nil, err)
	}
}

// updateLeadership publishes leader, term and role, and reports whether the
// member became leader, lost leadership or leads in a new term. It fails all
// pending calls when the member no longer leads in the previous term.
func (g *group) updateLeadership() (changed bool) {
	current := leadership{leader: g.core.Leader(), term: g.core.Term(), role: g.core.Role()}
	if current == g.lastLeadership {
		return false
	}
	previous := g.lastLeadership
	g.lastLeadership = current
	g.publishedLeadership.Store(&current)
	wasLeader := previous.role == raft.Leader
	isLeader := current.role == raft.Leader
	if wasLeader && (!isLeader || current.term != previous.term) {
		g.failPendingCalls(&NotLeaderError{Group: g.id, Leader: current.leader})
	}
	return wasLeader != isLeader || isLeader && current.term != previous.term
}

// failPendingCalls fails the proposals with ErrOutcomeUnknown and the reads with
// readErr.
func (g *group) failPendingCalls(readErr error) {
	for index, c := range g.proposals {
		delete(g.proposals, index)
		c.complete(nil, errors.Wrapf(ErrOutcomeUnknown, "group %d: %v before commit", g.id, readErr))
	}
	for context, calls := range g.unconfirmedReads {
		delete(g.unconfirmedReads, context)
		for _, c := range calls {
			c.complete(nil, readErr)
		}
	}
	for _, batch := range g.confirmedReads {
		for _, c := range batch.calls {
			c.complete(nil, readErr)
		}
	}
	g.confirmedReads = nil
}
