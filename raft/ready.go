package raft

// pendingReady records what Advance must mark as done.
type pendingReady struct {
	// outstanding means that Ready was called and Advance was not.
	outstanding bool
	// lastIndex and lastTerm are those of the last entry, or of the snapshot,
	// that becomes stable.
	lastIndex uint64
	lastTerm  uint64
	snapshot  *Snapshot
	// applied is the index up to which the caller applies.
	applied   uint64
	hardState HardState
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.snapshotToSave != nil ||
		c.log.stable < c.log.lastIndex() ||
		c.hardState() != c.savedHardState ||
		len(c.messages) > 0 ||
		c.log.applied < c.log.committed ||
		len(c.readStates) > 0
}

// Ready returns the work to do. The caller must call Advance after that work is
// done and before it calls Ready again.
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
	r.CommittedEntries = c.log.slice(c.log.applied+1, c.log.committed, c.config.MaxApplyBytes)
	c.pending = pendingReady{
		outstanding: true,
		lastIndex:   c.log.lastIndex(),
		lastTerm:    c.log.lastTerm(),
		snapshot:    c.snapshotToSave,
		applied:     c.log.applied + uint64(len(r.CommittedEntries)),
		hardState:   hardState,
	}
	c.messages = nil
	c.readStates = nil
	return r
}

// Advance reports that the caller has done the work of the last Ready.
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
	c.log.applied = max(c.log.applied, p.applied)
	if c.log.matches(p.lastIndex, p.lastTerm) {
		c.log.stable = max(c.log.stable, p.lastIndex)
	}
	c.countOwnVote(p.hardState)
	c.countOwnEntries()
}

// countOwnEntries counts the leader's own durable entries towards the commit
// index.
func (c *Core) countOwnEntries() {
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
