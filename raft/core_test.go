package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// settle delivers and processes everything until nothing is left to do.
func (c *simCluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids {
			m := c.members[id]
			for m.up && m.core.HasReady() {
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

// ticks advances all members and settles after each tick.
func (c *simCluster) ticks(n int) {
	for range n {
		for _, id := range c.ids {
			if m := c.members[id]; m.up {
				m.core.Tick()
				c.observe(m)
			}
		}
		c.settle()
	}
}

// elected returns a cluster whose member 1 leads term 1.
func elected(t *testing.T, size int) *simCluster {
	c := newSimCluster(1, size)
	t.Cleanup(func() { require.Empty(t, c.violation) })
	c.members[1].core.Campaign()
	c.settle()
	require.Equal(t, MemberID(1), c.leader().id)
	return c
}

// Guards against a commit of an older term's entry by counting copies, after
// which another leader could still replace it (figure 8 of the Raft paper).
func TestOldTermEntryIsNotCommittedByCounting(t *testing.T) {
	core, err := New(Config{ID: 1}, Restored{
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

// Guards against a vote or a copy of the member itself that counts before it is
// durable and that a crash could take back.
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

// Guards against a returning member that interrupts a healthy leader.
func TestReturningMemberDoesNotDisturbTheLeader(t *testing.T) {
	c := elected(t, 3)
	c.isolate(3, true, true)
	c.ticks(100)
	require.Equal(t, uint64(1), c.members[3].core.Term(), "pre-vote keeps the term")
	clear(c.cut)
	c.ticks(50)
	require.Equal(t, MemberID(1), c.leader().id)
	require.Equal(t, uint64(1), c.leader().core.Term())
}

// Guards against a member that hears nobody but is heard: it must not depose a
// leader that the others hear.
func TestOneDirectionPartitionDoesNotDeposeTheLeader(t *testing.T) {
	c := elected(t, 3)
	c.isolate(3, true, false)
	c.ticks(100)
	require.Equal(t, uint64(1), c.leader().core.Term())
	require.Equal(t, MemberID(1), c.leader().id)
	// Even a vote request of a later term is ignored while the leader lives.
	c.members[3].core.campaign(false, false)
	c.settle()
	require.Equal(t, uint64(1), c.members[2].core.Term())
	clear(c.cut)
	c.ticks(60)
	require.NotNil(t, c.leader())
	require.Equal(t, c.leader().core.Term(), c.members[3].core.Term(), "the raised term doesn't lock the member out")
}

// Guards against a leader that serves although a majority can't answer it.
func TestLeaderWithoutAnswersStepsDown(t *testing.T) {
	c := elected(t, 3)
	c.cut[[2]MemberID{2, 1}], c.cut[[2]MemberID{3, 1}] = true, true
	c.ticks(2*DefaultElectionTicks + 1)
	require.NotEqual(t, Leader, c.members[1].core.Role())
	require.ErrorIs(t, c.members[1].core.ReadIndex(1), ErrNotLeader)
	_, _, err := c.members[1].core.Propose(nil)
	require.ErrorIs(t, err, ErrNotLeader)
}

// Guards against unbounded messages to a member that doesn't acknowledge, and
// against a member that stays behind after them.
func TestAppendsInFlightAreBounded(t *testing.T) {
	c := elected(t, 3)
	leader := c.members[1]
	c.cut[[2]MemberID{3, 1}] = true
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
	clear(c.cut)
	c.ticks(20)
	require.Equal(t, leader.value, c.members[3].value)
}

// Guards against a member that never catches up when its snapshot is lost.
func TestLostSnapshotIsSentAgain(t *testing.T) {
	for _, reported := range []bool{true, false} {
		c := elected(t, 3)
		leader := c.members[1]
		c.crash(c.members[3])
		for range 10 {
			c.write(leader)
			c.settle()
		}
		c.ticks(DefaultElectionTicks)
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
			c.ticks(1)
		}
		c.drop = nil
		c.ticks(DefaultElectionTicks)
		require.Less(t, c.members[3].applied, leader.applied)
		if reported {
			leader.core.ReportSnapshotFailure(3)
			c.ticks(2 * DefaultElectionTicks)
		} else {
			c.ticks((snapshotElectionTimeouts + 2) * DefaultElectionTicks)
		}
		require.Equal(t, leader.applied, c.members[3].applied, "reported: %t", reported)
	}
}

// Guards against a group that refuses commands for ever after a transfer to a
// member that doesn't answer.
func TestTransferToSilentMemberEnds(t *testing.T) {
	c := elected(t, 3)
	c.isolate(2, true, true)
	core := c.members[1].core
	require.NoError(t, core.TransferLeadership(2))
	_, _, err := core.Propose(nil)
	require.ErrorIs(t, err, ErrTransferring)
	require.ErrorIs(t, core.TransferLeadership(3), ErrTransferring)
	c.ticks(DefaultElectionTicks)
	_, _, err = core.Propose(nil)
	require.NoError(t, err)
}

// Guards against membership changes that could make two majorities disjoint,
// reuse an id or leave no voter.
func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	c := elected(t, 2)
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
	c.settle()
	require.ErrorIs(t, change(PromoteLearner, 3), ErrLearnerBehind)
	require.NoError(t, change(RemoveMember, 2))
	c.settle()
	require.ErrorIs(t, change(AddLearner, 2), ErrInvalidChange, "a removed id")
	require.ErrorIs(t, change(RemoveMember, 1), ErrInvalidChange, "the only voter")
	require.ErrorIs(t, c.members[2].core.TransferLeadership(1), ErrNotLeader)
	require.ErrorIs(t, core.TransferLeadership(3), ErrUnknownMember)
	// A new leader may not change the membership before it has committed.
	fresh := elected(t, 3)
	fresh.ticks(DefaultHeartbeatTicks)
	fresh.drop = func(m *Message) bool { return m.Type == MsgAppend }
	fresh.members[2].core.campaign(false, true)
	fresh.settle()
	require.Equal(t, MemberID(2), fresh.leader().id)
	_, _, err := fresh.members[2].core.ChangeMembership(MembershipChange{RemoveMember, 3})
	require.ErrorIs(t, err, ErrChangePending)
}

// Guards against a start from inconsistent state, which could break a promise
// that the member gave before.
func TestInconsistentStateStopsTheStart(t *testing.T) {
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	for name, restored := range map[string]Restored{
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
		_, err := New(config, Restored{})
		require.Error(t, err)
	}
}

// Guards against an acknowledgement of entries that the leader didn't send and
// that differ from its own.
func TestOnlyEntriesKnownToMatchAreAcknowledged(t *testing.T) {
	core, err := New(Config{ID: 2}, Restored{
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

// Guards against a delayed snapshot that takes back what was applied.
func TestDelayedSnapshotIsIgnored(t *testing.T) {
	c := elected(t, 3)
	for range 5 {
		c.write(c.members[1])
		c.settle()
	}
	c.ticks(DefaultHeartbeatTicks)
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

// Guards against messages that would damage the log if they were handled.
func TestMessagesThatBreakTheProtocolAreRefused(t *testing.T) {
	c := elected(t, 3)
	follower := c.members[2].core
	good := Message{Type: MsgAppend, From: 1, To: 2, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}}
	for name, spoil := range map[string]func(*Message){
		"other member":          func(m *Message) { m.To = 3 },
		"from itself":           func(m *Message) { m.From = 2 },
		"no term":               func(m *Message) { m.Term = 0 },
		"gap in entries":        func(m *Message) { m.Entries = []Entry{{Index: 3, Term: 1}} },
		"entry of later term":   func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 2}} },
		"no snapshot":           func(m *Message) { m.Type = MsgInstallSnapshot },
		"unknown type":          func(m *Message) { m.Type = messageTypeEnd },
		"unreadable membership": func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 1, Type: EntryMembership}} },
	} {
		m := good
		spoil(&m)
		require.Error(t, follower.Step(m), name)
	}
	require.Equal(t, uint64(1), follower.Status().LastIndex)
}
