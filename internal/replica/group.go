package replica

import (
	"sync/atomic"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// outcome is the answer to a call.
type outcome struct {
	result any
	err    error
}

// call is a proposal, a membership change or a read that waits for its answer.
type call struct {
	group GroupID
	kind  callKind
	data  []byte
	// change is set for a membership change.
	change raft.MembershipChange
	term   uint64
	// state guards against abandoning a call that the core has seen.
	state atomic.Int32
	done  chan outcome
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
	callTaken
	callAbandoned
)

func (c *call) answer(result any, err error) { c.done <- outcome{result, err} }

// waitingRead is a confirmed read that waits until index is applied.
type waitingRead struct {
	index uint64
	calls []*call
}

// leadership is what Leader reports without asking the node's goroutine.
type leadership struct {
	leader MemberID
	term   uint64
	role   raft.Role
}

// group is the state of one group. It belongs to the node's goroutine, except
// for published.
type group struct {
	id      GroupID
	core    *raft.Core
	machine StateMachine

	hardState raft.HardState
	// proposals holds the calls in the log by index.
	proposals map[uint64]*call
	// reads holds the calls that wait for a confirmation, by context.
	reads       map[uint64][]*call
	waiting     []waitingRead
	readContext uint64
	applied     uint64

	// unsnapshotted is the size of the entries applied since the snapshot.
	unsnapshotted int
	snapshotIndex uint64
	// snapshotBytes is the size of the newest snapshot.
	snapshotBytes int
	snapshotting  bool

	last      leadership
	published atomic.Pointer[leadership]
}

// newGroup restores a group from the log.
func newGroup(id GroupID, l *wal.Log, who identity, o *Options) (*group, error) {
	g := &group{
		id:        id,
		machine:   o.Groups[id],
		proposals: map[uint64]*call{},
		reads:     map[uint64][]*call{},
	}
	stored := l.Recover(id)
	restored := raft.Restored{
		HardState: raft.HardState{Term: stored.HardState.Term, Vote: MemberID(stored.HardState.Vote), Commit: stored.HardState.Commit},
		Snapshot:  raft.SnapshotMeta{Membership: who.founding},
	}
	for _, e := range stored.Entries {
		restored.Entries = append(restored.Entries, raft.Entry{Index: e.Index, Term: e.Term, Type: raft.EntryType(e.Type), Data: e.Data})
		g.unsnapshotted += len(e.Data)
	}
	if stored.Snapshot.Index > 0 {
		meta, err := g.restoreFrom(l)
		if err != nil {
			return nil, err
		}
		restored.Snapshot = meta
	}
	g.hardState = restored.HardState
	core, err := raft.New(raft.Config{
		ID:             who.id,
		Seed:           o.Seed + uint64(id),
		ElectionTicks:  o.ElectionTicks,
		HeartbeatTicks: o.HeartbeatTicks,
	}, restored)
	if err != nil {
		return nil, err
	}
	g.core = core
	g.published.Store(&leadership{})
	if voters := core.Status().Membership.Voters; len(voters) == 1 && voters[0] == who.id {
		core.Campaign()
	}
	return g, nil
}

func (g *group) restoreFrom(l *wal.Log) (raft.SnapshotMeta, error) {
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
	g.applied = meta.Index
	g.snapshotIndex = meta.Index
	g.snapshotBytes = len(data)
	return meta, nil
}

// store adds what a Ready persists to the batch.
func (g *group) store(batch *wal.Batch, r *raft.Ready) {
	if r.HardState != nil {
		g.hardState = *r.HardState
	}
	// A new commit index alone isn't worth a sync: a restart learns it again
	// from the leader.
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

// snapshotDue reports whether enough was applied for a snapshot. A large state
// waits for more, so that snapshots write at most twice as much as the log.
func (g *group) snapshotDue(minBytes int) bool {
	return g.unsnapshotted >= max(minBytes, g.snapshotBytes/2)
}

func walSnapshot(meta *raft.SnapshotMeta) wal.Snapshot {
	return wal.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raft.AppendSnapshotMeta(nil, meta)}
}

// apply restores and applies what a Ready committed and answers the calls.
func (g *group) apply(r *raft.Ready) error {
	if r.Snapshot != nil {
		if err := g.machine.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "group %d: restoring the state machine", g.id)
		}
		g.applied = r.Snapshot.Meta.Index
		g.snapshotIndex = r.Snapshot.Meta.Index
		g.snapshotBytes = len(r.Snapshot.Data)
		g.unsnapshotted = 0
	}
	for i := range r.CommittedEntries {
		g.applyEntry(&r.CommittedEntries[i])
	}
	for _, state := range r.ReadStates {
		g.waiting = append(g.waiting, waitingRead{state.Index, g.reads[state.Context]})
		delete(g.reads, state.Context)
	}
	g.answerReads()
	return nil
}

func (g *group) applyEntry(e *raft.Entry) {
	var result any
	if e.Type == raft.EntryNormal {
		result = g.machine.Apply(e.Index, e.Data)
	}
	g.applied = e.Index
	g.unsnapshotted += len(e.Data)
	c := g.proposals[e.Index]
	if c == nil {
		return
	}
	delete(g.proposals, e.Index)
	if c.term != e.Term {
		c.answer(nil, errors.Wrapf(ErrOutcomeUnknown, "group %d: entry %d was replaced", g.id, e.Index))
		return
	}
	c.answer(result, nil)
}

// answerReads answers the reads whose index is applied. They are in the order
// of their index.
func (g *group) answerReads() {
	answered := 0
	for _, w := range g.waiting {
		if w.index > g.applied {
			break
		}
		for _, c := range w.calls {
			c.answer(nil, nil)
		}
		answered++
	}
	g.waiting = g.waiting[answered:]
}

// propose hands commands to the core.
func (g *group) propose(calls []*call) {
	commands := make([][]byte, len(calls))
	for i, c := range calls {
		commands[i] = c.data
	}
	index, term, err := g.core.Propose(commands...)
	if err != nil {
		g.refuse(calls, err)
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
		g.refuse([]*call{c}, err)
		return
	}
	c.term = term
	g.proposals[index] = c
}

func (g *group) read(calls []*call) {
	g.readContext++
	if err := g.core.ReadIndex(g.readContext); err != nil {
		g.refuse(calls, err)
		return
	}
	g.reads[g.readContext] = calls
}

// refuse answers calls that the core didn't accept.
func (g *group) refuse(calls []*call, err error) {
	if errors.Is(err, raft.ErrNotLeader) {
		err = &NotLeaderError{Group: g.id, Leader: g.core.Leader()}
	}
	for _, c := range calls {
		c.answer(nil, err)
	}
}

// leadershipChanged publishes the leader and reports whether the member began
// or ceased to lead. Calls of a lost leadership are answered.
func (g *group) leadershipChanged() (changed bool) {
	now := leadership{leader: g.core.Leader(), term: g.core.Term(), role: g.core.Role()}
	if now == g.last {
		return false
	}
	before := g.last
	g.last = now
	g.published.Store(&now)
	wasLeading := before.role == raft.Leader
	leads := now.role == raft.Leader
	if wasLeading && (!leads || now.term != before.term) {
		g.dropCalls(&NotLeaderError{Group: g.id, Leader: now.leader})
	}
	return wasLeading != leads || leads && now.term != before.term
}

// dropCalls answers all calls that wait for a commit or a confirmation.
func (g *group) dropCalls(readErr error) {
	for index, c := range g.proposals {
		delete(g.proposals, index)
		c.answer(nil, errors.Wrapf(ErrOutcomeUnknown, "group %d: %v before commit", g.id, readErr))
	}
	for context, calls := range g.reads {
		delete(g.reads, context)
		for _, c := range calls {
			c.answer(nil, readErr)
		}
	}
	for _, w := range g.waiting {
		for _, c := range w.calls {
			c.answer(nil, readErr)
		}
	}
	g.waiting = nil
}
