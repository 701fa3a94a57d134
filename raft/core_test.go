package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// runUntilIdle processes every Ready and delivers every message until none is
// left.
func (c *simCluster) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids {
			m := c.members[id]
			for m.running && m.core.HasReady() {
				c.process(m, false)
				busy = true
			}
		}
		for len(c.network) > 0 {
			c.deliver()
			busy = true
		}
	}
}

// tickAll ticks all members n times and runs the cluster until idle after each
// tick.
func (c *simCluster) tickAll(n int) {
	for range n {
		for _, id := range c.ids {
			if m := c.members[id]; m.running {
				m.core.Tick()
				c.checkLeader(m)
			}
		}
		c.runUntilIdle()
	}
}

// newClusterWithLeader returns a cluster in which member 1 leads term 1.
func newClusterWithLeader(t *testing.T, size int) *simCluster {
	c := newSimCluster(1, size)
	t.Cleanup(func() { require.Empty(t, c.violation) })
	c.members[1].core.Campaign()
	c.runUntilIdle()
	require.Equal(t, MemberID(1), c.leader().id)
	return c
}

// Guards against committing an entry of an earlier term by counting copies.
// Another leader could still overwrite it (figure 8 of the Raft paper).
func TestOldTermEntryIsNotCommittedByCounting(t *testing.T) {
	core, err := New(Config{ID: 1}, RestoredState{
		HardState: HardState{Term: 2},
		Snapshot:  SnapshotMeta{Membership: Membership{Voters: []MemberID{1, 2, 3}}},
		Entries:   []Entry{{Index: 1, Term: 2}},
	})
	require.NoError(t, err)
	core.campaign(false, true)
	core.Ready()
	core.Advance()
	require.NoError(t, core.Step(Message{Type: MsgVoteResponse, From: 2, To: 1, Term: 3}))
	require.Equal(t, Leader, core.Role())
	core.Ready()
	core.Advance()
	require.NoError(t, core.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 1}))
	require.Zero(t, core.Status().Committed, "a majority holds an entry of term 2")
	require.NoError(t, core.Step(Message{Type: MsgAppendResponse, From: 2, To: 1, Term: 3, Index: 2}))
	require.Equal(t, uint64(2), core.Status().Committed)
}

// Guards against a member that counts its own vote or its own copy of an entry
// before it is durable: a crash could undo it.
func TestOwnVoteAndCopyCountOnlyWhenDurable(t *testing.T) {
	c := newSimCluster(1, 1)
	core := c.members[1].core
	core.Campaign()
	core.Ready()
	require.Equal(t, Candidate, core.Role())
	core.Advance()
	require.Equal(t, Leader, core.Role())
	core.Ready()
	require.Zero(t, core.Status().Committed)
	core.Advance()
	require.Equal(t, uint64(1), core.Status().Committed)
	_, _, err := core.Propose(nil)
	require.NoError(t, err)
	require.Equal(t, uint64(1), core.Status().Committed)
}

// Guards against a member that returns from a partition and deposes a healthy
// leader.
func TestReturningMemberDoesNotDisturbTheLeader(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	c.isolate(3, true, true)
	c.tickAll(100)
	require.Equal(t, uint64(1), c.members[3].core.Term(), "pre-vote keeps the term")
	clear(c.blocked)
	c.tickAll(50)
	require.Equal(t, MemberID(1), c.leader().id)
	require.Equal(t, uint64(1), c.leader().core.Term())
}

// Guards against a member that can send but not receive: its vote requests must
// not depose a leader that the others still receive heartbeats from.
func TestOneDirectionPartitionDoesNotDeposeTheLeader(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	c.isolate(3, true, false)
	c.tickAll(100)
	require.Equal(t, uint64(1), c.leader().core.Term())
	require.Equal(t, MemberID(1), c.leader().id)
	// Even a vote request of a higher term is ignored while the leader is active.
	c.members[3].core.campaign(false, false)
	c.runUntilIdle()
	require.Equal(t, uint64(1), c.members[2].core.Term())
	clear(c.blocked)
	c.tickAll(60)
	require.NotNil(t, c.leader())
	require.Equal(t, c.leader().core.Term(), c.members[3].core.Term(), "the raised term doesn't lock the member out")
}

// Guards against a leader that keeps serving although it receives nothing from a
// majority.
func TestLeaderWithoutResponsesStepsDown(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	c.blocked[[2]MemberID{2, 1}], c.blocked[[2]MemberID{3, 1}] = true, true
	c.tickAll(2*DefaultElectionTicks + 1)
	require.NotEqual(t, Leader, c.members[1].core.Role())
	require.ErrorIs(t, c.members[1].core.ReadIndex(1), ErrNotLeader)
	_, _, err := c.members[1].core.Propose(nil)
	require.ErrorIs(t, err, ErrNotLeader)
}

// Guards against an unbounded number of appends to a member that doesn't
// acknowledge them, and against a member that doesn't catch up afterwards.
func TestAppendsInFlightAreBounded(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	leader := c.members[1]
	c.blocked[[2]MemberID{3, 1}] = true
	sent := 0
	for range 50 {
		c.write(leader)
		for leader.core.HasReady() {
			for _, m := range leader.core.messages {
				if m.To == 3 && m.Type == MsgAppend {
					sent++
				}
			}
			c.process(leader, false)
		}
	}
	require.Equal(t, 4, sent, "MaxInflight of the simulation")
	clear(c.blocked)
	c.tickAll(20)
	require.Equal(t, leader.value, c.members[3].value)
}

// loseSnapshot restarts member 3 of a new group when it needs a snapshot, and loses
// that snapshot.
func loseSnapshot(t *testing.T, snapshotTicks int) (*simCluster, *simMember) {
	c := newClusterWithLeader(t, 3)
	leader := c.members[1]
	if snapshotTicks > 0 {
		leader.core.config.SnapshotTicks = snapshotTicks
	}
	c.crash(c.members[3])
	for range 10 {
		c.write(leader)
		c.runUntilIdle()
	}
	c.tickAll(DefaultElectionTicks)
	c.compact(leader)
	require.NoError(t, leader.core.Compact(leader.disk.snapshot.Meta, 0))
	leader.core.log.compact(leader.applied)
	c.start(c.members[3])
	lost := 0
	c.drop = func(m *Message) bool {
		if m.Type == MsgInstallSnapshot {
			lost++
		}
		return m.Type == MsgInstallSnapshot
	}
	for lost == 0 {
		c.tickAll(1)
	}
	c.drop = nil
	return c, leader
}

// Guards against a member that never catches up because its snapshot was lost.
func TestLostSnapshotIsResent(t *testing.T) {
	for _, reported := range []bool{true, false} {
		c, leader := loseSnapshot(t, 0)
		c.tickAll(DefaultElectionTicks)
		require.Less(t, c.members[3].applied, leader.applied)
		if reported {
			leader.core.ReportSnapshotFailure(3)
			c.tickAll(2 * DefaultElectionTicks)
		} else {
			c.tickAll((defaultSnapshotFactor + 2) * DefaultElectionTicks)
		}
		require.Equal(t, leader.applied, c.members[3].applied, "reported: %t", reported)
	}
}

// Guards against a member that hears the leader but stays behind for ten election
// timeouts because its snapshot was lost.
func TestLostSnapshotIsResentAfterItsTimeout(t *testing.T) {
	const snapshotTicks = DefaultElectionTicks
	c, leader := loseSnapshot(t, snapshotTicks)
	c.tickAll(2 * snapshotTicks)
	require.Equal(t, leader.applied, c.members[3].applied)
}

// Guards against a group that rejects commands forever after a leadership transfer
// to a member that doesn't respond.
func TestTransferToUnreachableMemberTimesOut(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	c.isolate(2, true, true)
	core := c.members[1].core
	require.NoError(t, core.TransferLeadership(2))
	_, _, err := core.Propose(nil)
	require.ErrorIs(t, err, ErrTransferring)
	require.ErrorIs(t, core.TransferLeadership(3), ErrTransferring)
	c.tickAll(DefaultElectionTicks)
	_, _, err = core.Propose(nil)
	require.NoError(t, err)
}

// Guards against membership changes that allow disjoint majorities, reuse an id
// or leave no voter.
func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	c := newClusterWithLeader(t, 2)
	c.add(3, Membership{})
	core := c.members[1].core
	change := func(kind ChangeKind, id MemberID) error {
		_, _, err := core.ChangeMembership(MembershipChange{kind, id})
		return err
	}
	require.ErrorIs(t, change(AddLearner, 2), ErrInvalidChange)
	require.ErrorIs(t, change(AddLearner, None), ErrInvalidChange)
	require.ErrorIs(t, change(PromoteLearner, 3), ErrInvalidChange, "a new member must be a learner first")
	require.ErrorIs(t, change(RemoveMember, 9), ErrInvalidChange)
	require.ErrorIs(t, change(0, 2), ErrInvalidChange)
	require.NoError(t, change(AddLearner, 3))
	require.ErrorIs(t, change(RemoveMember, 2), ErrChangePending)
	c.isolate(3, true, true)
	c.runUntilIdle()
	require.ErrorIs(t, change(PromoteLearner, 3), ErrLearnerBehind)
	require.NoError(t, change(RemoveMember, 2))
	c.runUntilIdle()
	require.ErrorIs(t, change(AddLearner, 2), ErrInvalidChange, "a removed id")
	require.ErrorIs(t, change(RemoveMember, 1), ErrInvalidChange, "the only voter")
	require.ErrorIs(t, c.members[2].core.TransferLeadership(1), ErrNotLeader)
	require.ErrorIs(t, core.TransferLeadership(3), ErrUnknownMember)
	// A new leader must not change the membership before it has committed an
	// entry of its own term.
	second := newClusterWithLeader(t, 3)
	second.tickAll(DefaultHeartbeatTicks)
	second.drop = func(m *Message) bool { return m.Type == MsgAppend }
	second.members[2].core.campaign(false, true)
	second.runUntilIdle()
	require.Equal(t, MemberID(2), second.leader().id)
	_, _, err := second.members[2].core.ChangeMembership(MembershipChange{RemoveMember, 3})
	require.ErrorIs(t, err, ErrChangePending)
}

// Guards against a start from inconsistent state, in which the member could
// contradict a vote or an acknowledgement that it sent before.
func TestInconsistentRestoredStateIsRejected(t *testing.T) {
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	for name, restored := range map[string]RestoredState{
		"gap":                     {HardState: HardState{Term: 1}, Entries: []Entry{entry(2, 1)}},
		"term goes back":          {HardState: HardState{Term: 2}, Entries: []Entry{entry(1, 2), entry(2, 1)}},
		"term after the member's": {HardState: HardState{Term: 1}, Entries: []Entry{entry(1, 2)}},
		"commit after the end":    {HardState: HardState{Term: 1, Commit: 2}, Entries: []Entry{entry(1, 1)}},
		"snapshot of a later term": {HardState: HardState{Term: 1},
			Snapshot: SnapshotMeta{Index: 1, Term: 2}},
		"membership unreadable": {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 1, Type: EntryMembership, Data: []byte{9}}}},
	} {
		_, err := New(Config{ID: 1}, restored)
		require.Error(t, err, name)
	}
	for _, config := range []Config{{}, {ID: 1, ElectionTicks: 2, HeartbeatTicks: 2}, {ID: 1, MaxInflight: -1}} {
		_, err := New(config, RestoredState{})
		require.Error(t, err)
	}
}

// Guards against acknowledging entries that the leader didn't send and that may
// conflict with its log.
func TestOnlyEntriesKnownToMatchAreAcknowledged(t *testing.T) {
	core, err := New(Config{ID: 2}, RestoredState{
		HardState: HardState{Term: 2},
		Snapshot:  SnapshotMeta{Membership: Membership{Voters: []MemberID{1, 2, 3}}},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 2}},
	})
	require.NoError(t, err)
	require.NoError(t, core.Step(Message{Type: MsgAppend, From: 1, To: 2, Term: 3, Index: 1, LogTerm: 1, Commit: 5}))
	response := core.Ready().Messages[0]
	require.Equal(t, uint64(1), response.Index)
	require.False(t, response.Reject)
	require.Equal(t, uint64(1), core.Status().Committed)
}

// Guards against a read that is confirmed by responses to an earlier heartbeat:
// another leader may have committed writes since then.
func TestReadNeedsAnswersAfterItsCall(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	leader := c.members[1]
	var firstResponse []byte
	c.drop = func(m *Message) bool {
		if m.Type == MsgHeartbeatResponse && firstResponse == nil {
			firstResponse = AppendMessage(nil, m)
		}
		return false
	}
	c.read(leader)
	c.runUntilIdle()
	require.NotZero(t, c.history[0].returnedAt)
	c.isolate(1, true, true)
	c.read(leader)
	c.runUntilIdle()
	duplicate, err := DecodeMessage(firstResponse)
	require.NoError(t, err)
	require.NoError(t, leader.core.Step(duplicate))
	c.runUntilIdle()
	require.Zero(t, c.history[1].returnedAt)
	clear(c.blocked)
	c.tickAll(DefaultHeartbeatTicks)
	require.NotZero(t, c.history[1].returnedAt)
}

// Guards against a membership that stays in effect after its entry was
// overwritten.
func TestReplacedMembershipEntryIsRolledBack(t *testing.T) {
	initial := Membership{Voters: []MemberID{1, 2, 3}}
	changed := Membership{Voters: []MemberID{2, 3}, Removed: []MemberID{1}}
	core, err := New(Config{ID: 2}, RestoredState{
		HardState: HardState{Term: 1},
		Snapshot:  SnapshotMeta{Membership: initial},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Type: EntryMembership, Data: AppendMembership(nil, &changed)}},
	})
	require.NoError(t, err)
	require.Equal(t, changed, core.Status().Membership)
	require.NoError(t, core.Step(Message{Type: MsgAppend, From: 3, To: 2, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}}))
	require.Equal(t, initial, core.Status().Membership)
	r := core.Ready()
	require.Equal(t, []Entry{{Index: 2, Term: 2}}, r.Entries, "the replacement is stored")
	// Only messages that don't depend on the sender's durable state may be
	// sent before the sync.
	require.True(t, r.VoteChanged)
	for kind := MsgPreVote; kind < messageTypeEnd; kind++ {
		m := Message{Type: kind}
		require.Equal(t, kind == MsgAppend || kind == MsgHeartbeat, m.SendableBeforeSync(), kind.String())
	}
}

// Guards against a delayed snapshot that rolls back applied entries.
func TestDelayedSnapshotIsIgnored(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	for range 5 {
		c.write(c.members[1])
		c.runUntilIdle()
	}
	c.tickAll(DefaultHeartbeatTicks)
	follower := c.members[2]
	meta, err := follower.core.SnapshotMeta(follower.applied)
	require.NoError(t, err)
	require.NoError(t, follower.core.Compact(meta, 0))
	old := Snapshot{Meta: SnapshotMeta{Index: 2, Term: 1, Membership: meta.Membership}}
	require.NoError(t, follower.core.Step(Message{Type: MsgInstallSnapshot, From: 1, To: 2, Term: 1, Snapshot: &old}))
	r := follower.core.Ready()
	require.Nil(t, r.Snapshot)
	require.Equal(t, meta.Index, r.Messages[0].Index)
	require.Equal(t, meta.Index, follower.core.Status().Applied)
}

// Guards against invalid messages that would corrupt the log if they were handled.
func TestInvalidMessagesAreRejected(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	follower := c.members[2].core
	valid := Message{Type: MsgAppend, From: 1, To: 2, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}}
	for name, corrupt := range map[string]func(*Message){
		"other member":          func(m *Message) { m.To = 3 },
		"from itself":           func(m *Message) { m.From = 2 },
		"no term":               func(m *Message) { m.Term = 0 },
		"gap in entries":        func(m *Message) { m.Entries = []Entry{{Index: 3, Term: 1}} },
		"entry of later term":   func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 2}} },
		"no snapshot":           func(m *Message) { m.Type = MsgInstallSnapshot },
		"unknown type":          func(m *Message) { m.Type = messageTypeEnd },
		"unreadable membership": func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 1, Type: EntryMembership}} },
	} {
		m := valid
		corrupt(&m)
		require.Error(t, follower.Step(m), name)
	}
	require.Equal(t, uint64(1), follower.Status().LastIndex)
}

// Guards against a leader that was paused for an election timeout and serves before
// a tick shows it that nobody answers any more.
func TestInterruptedLeaderStepsDown(t *testing.T) {
	c := newClusterWithLeader(t, 3)
	term := c.members[1].core.Term()
	c.members[2].core.Interrupted()
	require.Equal(t, Follower, c.members[2].core.Role())
	c.members[1].core.Interrupted()
	require.Equal(t, Follower, c.members[1].core.Role())
	require.Equal(t, term, c.members[1].core.Term())
	require.ErrorIs(t, c.members[1].core.ReadIndex(1), ErrNotLeader)
	c.tickAll(4 * DefaultElectionTicks)
	require.NotNil(t, c.leader(), "a new election follows")
}
