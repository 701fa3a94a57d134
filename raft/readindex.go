package raft

// ReadIndex starts a linearizable read: it asks a quorum to confirm that this
// member is still the leader. Once confirmed, a ReadState with the given context
// appears in Ready. If the member loses leadership first, none ever does.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Entries of earlier terms may be committed without the leader knowing
	// it, so a read waits at least for the first entry of this term.
	index := max(c.log.committed, c.termStartIndex)
	c.readRound++
	c.reads = append(c.reads, readRequest{context: context, index: index, round: c.readRound})
	c.broadcastHeartbeat()
	c.completeReads()
	return nil
}

func (c *Core) confirmReads(m *Message, p *progress) {
	if m.Context <= p.readAck {
		return
	}
	p.readAck = m.Context
	c.completeReads()
}

// completeReads adds a ReadState for each read whose round a majority has
// confirmed.
func (c *Core) completeReads() {
	voters := c.log.membership().Voters
	completed := 0
	for _, read := range c.reads {
		confirmed := 0
		for _, id := range voters {
			if id == c.config.ID || c.progress[id].readAck >= read.round {
				confirmed++
			}
		}
		if confirmed <= len(voters)/2 {
			break
		}
		c.readStates = append(c.readStates, ReadState{Context: read.context, Index: read.index})
		completed++
	}
	c.reads = c.reads[completed:]
}
