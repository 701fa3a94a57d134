package raft

// ReadIndex asks for a confirmation that this member is still the leader. The
// answer is a ReadState with the given context; it never comes when the
// leadership is lost meanwhile.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// The entries before the leader's first own one may be committed without
	// the leader knowing, so a read waits at least for that one.
	index := max(c.log.committed, c.termStart)
	c.readRound++
	c.reads = append(c.reads, readRequest{context: context, index: index, round: c.readRound})
	c.broadcastHeartbeat()
	c.releaseReads()
	return nil
}

func (c *Core) confirmReads(m *Message, p *progress) {
	if m.Context <= p.readAck {
		return
	}
	p.readAck = m.Context
	c.releaseReads()
}

// releaseReads answers the reads whose round a majority confirmed.
func (c *Core) releaseReads() {
	voters := c.log.membership().Voters
	released := 0
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
		released++
	}
	c.reads = c.reads[released:]
}
