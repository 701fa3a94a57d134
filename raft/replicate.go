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

// sendAppends sends as many entries as the member's progress allows.
func (c *Core) sendAppends(id MemberID) {
	p := c.progress[id]
	for p.next <= c.log.lastIndex() && c.sendAppend(id, p) {
		if p.state != replicating {
			return
		}
	}
}

// sendAppend sends one append or a snapshot and reports whether it did. The
// append is empty if all entries have already been sent.
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
	p.recordSent(previous+uint64(len(entries)), len(entries))
	return true
}

// sendSnapshot sends a snapshot to a member that needs entries which were
// compacted. It skips members that are not active, because snapshots are large.
func (c *Core) sendSnapshot(id MemberID, p *progress) bool {
	if !p.active || c.log.snapshot.Index == 0 {
		return false
	}
	p.becomeInstalling(c.log.snapshot.Index)
	c.send(Message{Type: MsgInstallSnapshot, To: id, Snapshot: &Snapshot{Meta: c.log.snapshot}})
	return true
}

// ReportSnapshotFailure reports that the snapshot for a member could not be sent.
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
			// The member's log may conflict after its match index.
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
		hint, hintTerm := c.log.findConflictByTerm(m.Index, m.LogTerm)
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
			return errors.Errorf("stepping %s from %d: entry %d of term %d can't follow entry %d of term %d",
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
			// Skips the leader's entries whose term is higher than that of
			// the member's entry at Hint, because they can't match.
			hint, _ = c.log.findConflictByTerm(m.Hint, m.LogTerm)
		}
		if p.handleReject(m.Index, hint) {
			c.sendAppends(m.From)
		}
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	advanced := p.handleAck(m.Index)
	switch {
	case p.state == probing && (advanced || m.Index == p.match):
		p.becomeReplicating()
	case p.state == installing && p.match >= p.snapshotIndex:
		p.becomeReplicating()
	}
	if advanced && c.advanceCommit() {
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
		// The last append or its response may be lost. Another append, after
		// the entries already sent, makes the member acknowledge or reject
		// them. If the window is full, its oldest slot is freed for that.
		if p.state == replicating && len(p.inflight) >= c.config.MaxInflight {
			p.inflight = slices.Delete(p.inflight, 0, 1)
		}
		c.sendAppend(m.From, p)
	}
	c.confirmReads(m, p)
}

// advanceCommit commits the entries that a majority holds and reports whether
// the commit index advanced. Only an entry of the current term is committed by
// counting copies, which also commits all entries before it.
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

// broadcastCommit sends the new commit index to the members, so that they apply
// entries without waiting for the next heartbeat.
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
	// A leader that was removed steps down once its removal is committed.
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

// Compact reports that the caller has a durable snapshot up to meta.Index and
// discards the entries that it covers. The last keep entries up to meta.Index
// stay in memory for members that are slightly behind.
func (c *Core) Compact(meta SnapshotMeta, keep uint64) error {
	if meta.Index > c.log.applied {
		return errors.Errorf("compacting to %d: only applied up to %d", meta.Index, c.log.applied)
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

// SnapshotMeta returns the metadata of a snapshot of the state after the entry at
// index, which must be committed and not compacted.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.committed {
		return SnapshotMeta{}, errors.Errorf("snapshot metadata: entry %d is compacted or not committed", index)
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.log.membershipAt(index).Clone()}, nil
}
