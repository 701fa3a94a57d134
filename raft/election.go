package raft

// Campaign starts an election at once, without waiting for the timeout. The
// only voter of a group becomes the leader as soon as its vote is durable.
func (c *Core) Campaign() {
	if c.role != Leader {
		c.campaign(true, false)
	}
}

// campaign starts a pre-vote or a vote. transfer marks a vote that results from
// a leadership transfer.
func (c *Core) campaign(preVote, transfer bool) {
	if !c.canCampaign() {
		return
	}
	term := c.term + 1
	messageType := MsgPreVote
	if preVote {
		// A pre-vote changes neither the term nor the vote, so a member that
		// returns from a partition doesn't interrupt the leader.
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

// countOwnVote counts a candidate's vote for itself once the caller has made it
// durable. If it counted earlier, the member could crash, forget the vote and
// vote for another candidate in the same term.
func (c *Core) countOwnVote(saved HardState) {
	if c.role == Candidate && saved.Term == c.term && saved.Vote == c.config.ID {
		c.votes[c.config.ID] = true
		c.countVotes()
	}
}

// countVotes ends the pre-vote or vote once a majority granted or rejected it.
func (c *Core) countVotes() {
	voters := c.log.membership().Voters
	granted, rejected := 0, 0
	for _, id := range voters {
		vote, responded := c.votes[id]
		switch {
		case responded && vote:
			granted++
		case responded:
			rejected++
		}
	}
	majority := len(voters)/2 + 1
	switch {
	case granted >= majority && c.role == PreCandidate:
		c.campaign(false, false)
	case granted >= majority:
		c.becomeLeader()
	case rejected >= majority:
		c.becomeFollower(c.term, None)
	}
}

// hasActiveLeader reports whether the member knows a leader and received a
// message from it within the minimum election timeout. A leader always counts
// itself as active, since each quorum check resets electionElapsed.
func (c *Core) hasActiveLeader() bool {
	return c.leader != None && c.electionElapsed < c.config.ElectionTicks
}

func (c *Core) handleVoteRequest(m *Message) {
	responseType := MsgVoteResponse
	if m.Type == MsgPreVote {
		responseType = MsgPreVoteResponse
	}
	canVote := m.Type == MsgPreVote && m.Term > c.term ||
		m.Type == MsgVote && (c.vote == m.From || c.vote == None && c.leader == None)
	// A member without a membership has just joined. Its log is empty, so
	// its up-to-date check would reject no candidate.
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
	if _, responded := c.votes[m.From]; !responded {
		c.votes[m.From] = !m.Reject
	}
	c.countVotes()
}

func (c *Core) handleTimeoutNow() {
	if c.role != Leader {
		c.campaign(false, true)
	}
}
