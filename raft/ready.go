package raft

// pendingReady remembers what the outstanding Ready contained.
type pendingReady struct {
	outstanding bool
	// lastIndex and lastTerm name the last entry or snapshot to become stable.
	lastIndex uint64
	lastTerm  uint64
	snapshot  *Snapshot
	applied   uint64
	hardState HardState
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	return c.snapshotToSave != nil ||
		c.log.stable < c.log.lastIndex() ||
		c.hardState() != c.savedHardState ||
		len(c.messages) > 0 ||
		c.log.handedOut < c.log.committed ||
		len(c.readStates) > 0
}

// Ready returns the work to do. The caller calls Advance when it is done and
// before it calls Ready again.
func (c *Core) Ready() Ready {
	if c.pending.outstanding {
		panic("raft: Ready called before Advance")
	}
	hardState := c.hardState()
	r := Ready{
		Snapshot:   c.snapshotToSave,
		Entries:    c.log.slice(c.log.stable+1, c.log.lastIndex(), ^uint64(0)),
		Messages:   c.messages,
		ReadStates: c.readStates,
	}
	if hardState != c.savedHardState {
		r.HardState = &hardState
		r.VoteChanged = hardState.Term != c.savedHardState.Term || hardState.Vote != c.savedHardState.Vote
	}
	r.MustSync = r.VoteChanged || r.Snapshot != nil || len(r.Entries) > 0
	r.CommittedEntries = c.log.slice(c.log.handedOut+1, c.log.committed, c.config.MaxApplyBytes)
	c.pending = pendingReady{
		outstanding: true,
		lastIndex:   c.log.lastIndex(),
		lastTerm:    c.log.lastTerm(),
		snapshot:    c.snapshotToSave,
		applied:     c.log.handedOut + uint64(len(r.CommittedEntries)),
		hardState:   hardState,
	}
	c.messages = nil
	c.readStates = nil
	return r
}

// Advance tells that the work of the last Ready is done.
func (c *Core) Advance() {
	p := c.pending
	if !p.outstanding {
		panic("raft: Advance called without Ready")
	}
	c.pending = pendingReady{}
	c.savedHardState = p.hardState
	if c.snapshotToSave == p.snapshot {
		c.snapshotToSave = nil
	}
	c.log.handedOut = max(c.log.handedOut, p.applied)
	if c.log.matches(p.lastIndex, p.lastTerm) {
		c.log.stable = max(c.log.stable, p.lastIndex)
	}
	c.countOwnVote(p.hardState)
	c.countOwnCopy()
}

// countOwnCopy counts the leader's durable entries towards the commit index.
func (c *Core) countOwnCopy() {
	if c.role != Leader {
		return
	}
	own := c.progress[c.config.ID]
	if own != nil {
		own.match = c.log.stable
		own.next = c.log.lastIndex() + 1
	}
	if c.advanceCommit() {
		c.broadcastCommit()
	}
}
