package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// ChangeMembership appends an entry with the changed membership, which takes
// effect at once. It returns the entry's index and term, which have the same
// meaning as those returned by Propose.
func (c *Core) ChangeMembership(change MembershipChange) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != None {
		return 0, 0, ErrTransferring
	}
	// The leader must also have committed an entry of its own term. Otherwise
	// an earlier leader's uncommitted change could exist elsewhere, and the
	// two memberships could have disjoint majorities.
	if c.log.membershipIndex() > c.log.committed || c.log.committed < c.termStartIndex {
		return 0, 0, ErrChangePending
	}
	next, err := c.membershipAfter(change)
	if err != nil {
		return 0, 0, err
	}
	index = c.appendLocal(Entry{Type: EntryMembership, Data: AppendMembership(nil, &next)})
	c.syncProgress()
	c.broadcastAppend()
	c.completeReads()
	return index, c.term, nil
}

func (c *Core) membershipAfter(change MembershipChange) (Membership, error) {
	next := c.log.membership().Clone()
	id := change.Member
	switch change.Kind {
	case AddLearner:
		if id == None || next.Contains(id) {
			return next, errors.Wrapf(ErrInvalidChange, "adding learner %d: already a member", id)
		}
		if slices.Contains(next.Removed, id) {
			return next, errors.Wrapf(ErrInvalidChange, "adding learner %d: the id was removed and can't be used again", id)
		}
		next.Learners = append(next.Learners, id)
	case PromoteLearner:
		if !next.IsLearner(id) {
			return next, errors.Wrapf(ErrInvalidChange, "promoting %d: not a learner", id)
		}
		if !c.caughtUp(id) {
			return next, errors.Wrapf(ErrLearnerBehind, "promoting %d", id)
		}
		next.Learners = removeID(next.Learners, id)
		next.Voters = append(next.Voters, id)
		slices.Sort(next.Voters)
	case RemoveMember:
		if !next.Contains(id) {
			return next, errors.Wrapf(ErrInvalidChange, "removing %d: not a member", id)
		}
		if len(next.Voters) == 1 && next.Voters[0] == id {
			return next, errors.Wrapf(ErrInvalidChange, "removing %d: the only voter", id)
		}
		next.Voters = removeID(next.Voters, id)
		next.Learners = removeID(next.Learners, id)
		next.Removed = append(next.Removed, id)
	default:
		return next, errors.Wrapf(ErrInvalidChange, "kind %d", change.Kind)
	}
	return next, nil
}

func (c *Core) caughtUp(id MemberID) bool {
	p := c.progress[id]
	return p.state == replicating && p.match+c.config.MaxPromoteLag >= c.log.committed
}

func removeID(ids []MemberID, id MemberID) []MemberID {
	return slices.DeleteFunc(ids, func(other MemberID) bool { return other == id })
}

// TransferLeadership starts the transfer of leadership to a voter. Until it has
// taken over or an election timeout has passed, proposals fail with
// ErrTransferring.
func (c *Core) TransferLeadership(to MemberID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if !c.log.membership().IsVoter(to) {
		return errors.Wrapf(ErrUnknownMember, "transferring leadership to %d", to)
	}
	if to == c.config.ID {
		return nil
	}
	if c.transferee != None {
		return ErrTransferring
	}
	c.transferee = to
	c.transferElapsed = 0
	p := c.progress[to]
	if p.match == c.log.lastIndex() {
		c.send(Message{Type: MsgTimeoutNow, To: to})
		return nil
	}
	c.sendAppends(to)
	return nil
}

// MemberProgress is the replication progress of one member, as seen by the
// leader.
type MemberProgress struct {
	Member MemberID
	Match  uint64
	Next   uint64
	State  string
	Active bool
	// CaughtUp is set for a member that may be promoted.
	CaughtUp bool
	// SilentTicks is the number of ticks since the member last responded, or since the
	// leader was elected.
	SilentTicks int
}

// Status is a snapshot of a member's Raft state.
type Status struct {
	ID         MemberID
	Role       Role
	Term       uint64
	Vote       MemberID
	Leader     MemberID
	Committed  uint64
	Applied    uint64
	FirstIndex uint64
	LastIndex  uint64
	Membership Membership
	Transferee MemberID
	// Progress lists the other members. It is empty unless the member leads.
	Progress []MemberProgress
}

// Status returns the member's current state.
func (c *Core) Status() Status {
	s := Status{
		ID:         c.config.ID,
		Role:       c.role,
		Term:       c.term,
		Vote:       c.vote,
		Leader:     c.leader,
		Committed:  c.log.committed,
		Applied:    c.log.applied,
		FirstIndex: c.log.baseIndex + 1,
		LastIndex:  c.log.lastIndex(),
		Membership: c.log.membership().Clone(),
		Transferee: c.transferee,
	}
	for _, id := range c.peers() {
		p := c.progress[id]
		s.Progress = append(s.Progress, MemberProgress{Member: id, Match: p.match, Next: p.next, State: p.state.String(), Active: p.active, CaughtUp: c.caughtUp(id), SilentTicks: p.silentTicks})
	}
	return s
}
