package raft

import (
	"slices"

	"github.com/pkg/errors"
)

func (c *Core) broadcastAppend() {
	for _, id := range c.peers() {
		c.sendAppends(id)
	}
}

// sendAppends sends all that the member's progress allows.
func (c *Core) sendAppends(id MemberID) {
	p := c.progress[id]
	for p.next <= c.log.lastIndex() && c.sendAppend(id, p) {
		if p.state != replicating {
			return
		}
	}
}

// sendAppend sends one append or a snapshot and reports whether it did. The
// append is empty when the member has been sent everything.
func (c *Core) sendAppend(id MemberID, p *progress) bool {
	if p.paused(c.config.MaxInflight) {
		return false
	}
	previous := p.next - 1
	previousTerm, ok := c.log.term(previous)
	if !ok {
		return c.sendSnapshot(id, p)
	}
	entries := c.log.slice(p.next, c.log.lastIndex(), c.config.MaxAppendBytes)
	c.send(Message{
		Type:    MsgAppend,
		To:      id,
		Index:   previous,
		LogTerm: previousTerm,
		Commit:  c.log.committed,
		Entries: entries,
	})
	p.sent(previous+uint64(len(entries)), len(entries))
	return true
}

// sendSnapshot replaces the log of a member that needs compacted entries. A
// member that doesn't answer gets none, because a snapshot is large.
func (c *Core) sendSnapshot(id MemberID, p *progress) bool {
	if !p.active || c.log.snapshot.Index == 0 {
		return false
	}
	p.becomeInstalling(c.log.snapshot.Index)
	c.send(Message{Type: MsgInstallSnapshot, To: id, Snapshot: &Snapshot{Meta: c.log.snapshot}})
	return true
}

// ReportSnapshotFailure tells the leader that a snapshot could not be sent.
func (c *Core) ReportSnapshotFailure(id MemberID) {
	p := c.progress[id]
	if c.role != Leader || p == nil || p.state != installing {
		return
	}
	p.snapshotIndex = 0
	p.becomeProbing()
	p.probeSent = true
}

func (c *Core) broadcastHeartbeat() {
	for _, id := range c.peers() {
		c.send(Message{
			Type: MsgHeartbeat,
			To:   id,
			// The member's log may differ after its match index.
			Commit:  min(c.progress[id].match, c.log.committed),
			Context: c.readRound,
		})
	}
}

func (c *Core) handleAppend(m *Message) error {
	if err := checkContiguous(m); err != nil {
		return err
	}
	if m.Index < c.log.committed {
		c.send(Message{Type: MsgAppendResponse, To: m.From, Index: c.log.committed})
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, hintTerm := c.log.lastNotAfterTerm(m.Index, m.LogTerm)
		c.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: hintTerm})
		return nil
	}
	if err := c.log.merge(m.Entries); err != nil {
		return errors.Wrapf(err, "stepping %s from %d", m.Type, m.From)
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendResponse, To: m.From, Index: last})
	return nil
}

func checkContiguous(m *Message) error {
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return errors.Errorf("stepping %s from %d: entry %d of term %d doesn't follow entry %d of term %d",
				m.Type, m.From, e.Index, e.Term, m.Index+uint64(i), term)
		}
		term = e.Term
	}
	return nil
}

func (c *Core) handleAppendResponse(m *Message, p *progress) {
	if m.Reject {
		hint := m.Hint
		if m.LogTerm != 0 {
			// Skips the leader's entries of terms that the member's log
			// can't have at that place.
			hint, _ = c.log.lastNotAfterTerm(m.Hint, m.LogTerm)
		}
		if p.rejected(m.Index, hint) {
			c.sendAppends(m.From)
		}
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	news := p.acknowledged(m.Index)
	switch {
	case p.state == probing && (news || m.Index == p.match):
		p.becomeReplicating()
	case p.state == installing && p.match >= p.snapshotIndex:
		p.becomeReplicating()
	}
	if news && c.advanceCommit() {
		c.broadcastCommit()
	}
	if c.role != Leader {
		return
	}
	c.sendAppends(m.From)
	if c.transferee == m.From && p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: m.From})
	}
}

func (c *Core) handleHeartbeatResponse(m *Message, p *progress) {
	p.probeSent = false
	if p.match < c.log.lastIndex() {
		// The last append or its answer may be lost. An append after the
		// newest one sent finds that out; one slot is freed for it.
		if p.state == replicating && len(p.inflight) >= c.config.MaxInflight {
			p.inflight = slices.Delete(p.inflight, 0, 1)
		}
		c.sendAppend(m.From, p)
	}
	c.confirmReads(m, p)
}

// advanceCommit commits what a majority holds and reports whether the commit
// index moved. Only an entry of the current term is committed by counting; it
// commits the ones before it.
func (c *Core) advanceCommit() bool {
	if c.role != Leader {
		return false
	}
	voters := c.log.membership().Voters
	if len(voters) == 0 {
		return false
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, c.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= c.log.committed {
		return false
	}
	if term, _ := c.log.term(index); term != c.term {
		return false
	}
	c.commitTo(index)
	return true
}

// broadcastCommit tells the members a new commit index, so that they apply
// without waiting for the next heartbeat.
func (c *Core) broadcastCommit() {
	membership := c.log.membership()
	for _, id := range c.peers() {
		p := c.progress[id]
		if p.state != replicating {
			continue
		}
		if p.next > c.log.lastIndex() {
			c.sendAppend(id, p)
			continue
		}
		c.sendAppends(id)
	}
	// A leader that is no longer a member leads only until its removal is
	// committed.
	if !membership.IsVoter(c.config.ID) && c.log.membershipIndex() <= c.log.committed {
		c.becomeFollower(c.term, None)
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, index)
}

func (c *Core) handleInstallSnapshot(m *Message) error {
	if m.Snapshot == nil {
		return errors.Errorf("stepping %s from %d: no snapshot", m.Type, m.From)
	}
	meta := m.Snapshot.Meta
	if meta.Index <= c.log.committed {
		c.send(Message{Type: MsgAppendResponse, To: m.From, Index: c.log.committed})
		return nil
	}
	if c.log.matches(meta.Index, meta.Term) {
		c.commitTo(meta.Index)
		c.send(Message{Type: MsgAppendResponse, To: m.From, Index: meta.Index})
		return nil
	}
	c.log.restore(meta)
	c.snapshotToSave = m.Snapshot
	c.send(Message{Type: MsgAppendResponse, To: m.From, Index: meta.Index})
	return nil
}

// Compact tells that the caller has a durable snapshot up to meta.Index. The
// last keep entries before it stay in memory for members slightly behind.
func (c *Core) Compact(meta SnapshotMeta, keep uint64) error {
	if meta.Index > c.log.handedOut {
		return errors.Errorf("compacting to %d: only applied up to %d", meta.Index, c.log.handedOut)
	}
	if meta.Index <= c.log.snapshot.Index {
		return nil
	}
	c.log.snapshot = meta
	if meta.Index > keep {
		c.log.compact(min(meta.Index-keep, c.log.stable))
	}
	return nil
}

// SnapshotMeta describes a snapshot of the state after the entry at index,
// which must have been committed and not compacted.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.committed {
		return SnapshotMeta{}, errors.Errorf("describing a snapshot: entry %d is not in the committed log", index)
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.log.membershipBefore(index).Clone()}, nil
}
