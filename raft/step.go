package raft

import (
	"github.com/pkg/errors"
)

// Step handles a message from another member. An error means that the message
// violates the protocol and was not handled.
func (c *Core) Step(m Message) error {
	if m.To != c.config.ID || m.From == c.config.ID || m.From == None || m.Term == 0 {
		return errors.Errorf("stepping %s: from %d to %d term %d is not for member %d", m.Type, m.From, m.To, m.Term, c.config.ID)
	}
	switch {
	case m.Term > c.term:
		if !c.acceptHigherTerm(&m) {
			return nil
		}
	case m.Term < c.term:
		c.rejectLowerTerm(&m)
		return nil
	}
	return c.dispatch(&m)
}

// acceptHigherTerm handles the term of a message whose term is higher than the
// member's. It moves to that term, except for pre-vote requests and granted
// pre-votes. It reports false if the message must be ignored.
func (c *Core) acceptHigherTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if !m.Transfer && c.hasActiveLeader() {
			return false
		}
		if m.Type == MsgPreVote {
			return true
		}
		c.becomeFollower(m.Term, None)
	case MsgPreVoteResponse:
		// A granted pre-vote carries the term of the vote that may follow and
		// doesn't raise the member's term.
		if m.Reject {
			c.becomeFollower(m.Term, None)
		}
	case MsgAppend, MsgHeartbeat, MsgInstallSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, None)
	}
	return true
}

// rejectLowerTerm tells the sender of a message with a lower term about the
// current term. Otherwise a member that raised its term alone could never rejoin:
// it ignores the leader's messages, and the others ignore its vote requests while
// they have an active leader.
func (c *Core) rejectLowerTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgInstallSnapshot:
		c.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(m *Message) error {
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.handleVoteRequest(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		c.handleVoteResponse(m)
	case MsgAppend, MsgHeartbeat, MsgInstallSnapshot:
		return c.dispatchFromLeader(m)
	case MsgAppendResponse, MsgHeartbeatResponse:
		c.dispatchToLeader(m)
	case MsgTimeoutNow:
		c.handleTimeoutNow()
	default:
		return errors.Errorf("stepping message of unknown type %d", m.Type)
	}
	return nil
}

func (c *Core) dispatchFromLeader(m *Message) error {
	if c.role == Leader {
		return errors.Errorf("stepping %s: member %d claims to lead term %d, which this member leads", m.Type, m.From, m.Term)
	}
	if c.role != Follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		return c.handleAppend(m)
	case MsgHeartbeat:
		c.commitTo(min(m.Commit, c.log.lastIndex()))
		c.send(Message{Type: MsgHeartbeatResponse, To: m.From, Context: m.Context})
		return nil
	default:
		return c.handleInstallSnapshot(m)
	}
}

func (c *Core) dispatchToLeader(m *Message) {
	if c.role != Leader {
		return
	}
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.active, p.silentTicks = true, 0
	if m.Type == MsgHeartbeatResponse {
		c.handleHeartbeatResponse(m, p)
		return
	}
	c.handleAppendResponse(m, p)
}
