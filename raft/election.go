package raft

// Campaign starts an election at once, without waiting for the timeout. The
// only voter of a group becomes leader as soon as its vote is durable.
func (c *Core) Campaign() {
	if c.role != Leader {
		c.campaign(true, false)
	}
}

// campaign starts a pre-vote or a vote. transfer marks a campaign that the
// leader asked for.
func (c *Core) campaign(preVote, transfer bool) {
	if !c.canCampaign() {
		return
	}
	term := c.term + 1
	messageType := MsgPreVote
	if preVote {
		// The term and the vote change only in the vote proper, so a
		// partitioned member doesn't disturb the group when it returns.
		c.reset(c.term)
		c.role = PreCandidate
	} else {
		c.reset(term)
		c.role = Candidate
		c.vote = c.config.ID
		messageType = MsgVote
	}
	c.votes = map[MemberID]bool{}
	if preVote {
		c.votes[c.config.ID] = true
	}
	for _, id := range c.log.membership().Voters {
		if id == c.config.ID {
			continue
		}
		c.send(Message{
			Type:     messageType,
			To:       id,
			Term:     term,
			Index:    c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
	c.countVotes()
}

// countOwnVote counts a candidate's vote for itself after the caller made it
// durable. A vote counted earlier could be given again, to another candidate,
// after a crash.
func (c *Core) countOwnVote(saved HardState) {
	if c.role == Candidate && saved.Term == c.term && saved.Vote == c.config.ID {
		c.votes[c.config.ID] = true
		c.countVotes()
	}
}

// countVotes moves the campaign on once a majority granted or refused.
func (c *Core) countVotes() {
	voters := c.log.membership().Voters
	granted, refused := 0, 0
	for _, id := range voters {
		vote, answered := c.votes[id]
		switch {
		case answered && vote:
			granted++
		case answered:
			refused++
		}
	}
	majority := len(voters)/2 + 1
	switch {
	case granted >= majority && c.role == PreCandidate:
		c.campaign(false, false)
	case granted >= majority:
		c.becomeLeader()
	case refused >= majority:
		c.becomeFollower(c.term, None)
	}
}

// hearsLeader reports whether the member believes that a leader is alive. A
// leader that passed its last quorum check believes so of itself.
func (c *Core) hearsLeader() bool {
	return c.leader != None && c.electionElapsed < c.config.ElectionTicks
}

func (c *Core) handleVoteRequest(m *Message) {
	responseType := MsgVoteResponse
	if m.Type == MsgPreVote {
		responseType = MsgPreVoteResponse
	}
	canVote := m.Type == MsgPreVote && m.Term > c.term ||
		m.Type == MsgVote && (c.vote == m.From || c.vote == None && c.leader == None)
	// A member without a membership has just joined and knows nothing that
	// it could protect by its vote.
	granted := canVote && !c.log.membership().Empty() && c.log.upToDate(m.Index, m.LogTerm)
	response := Message{Type: responseType, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		response.Term = c.term
	}
	c.send(response)
	if granted && m.Type == MsgVote {
		c.vote = m.From
		c.electionElapsed = 0
	}
}

func (c *Core) handleVoteResponse(m *Message) {
	expected := MsgVoteResponse
	if c.role == PreCandidate {
		expected = MsgPreVoteResponse
	} else if c.role != Candidate {
		return
	}
	if m.Type != expected {
		return
	}
	if !m.Reject && m.Type == MsgPreVoteResponse && m.Term != c.term+1 {
		return
	}
	if _, answered := c.votes[m.From]; !answered {
		c.votes[m.From] = !m.Reject
	}
	c.countVotes()
}

func (c *Core) handleTimeoutNow() {
	if c.role != Leader {
		c.campaign(false, true)
	}
}
