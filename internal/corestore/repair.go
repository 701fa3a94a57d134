package corestore

import (
	"time"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/raft"
)

const (
	// replaceAfter is the time of inactivity after which a joining daemon may
	// replace a voter, a learner is removed, and a voter no longer counts towards
	// the majority that a removal must leave.
	replaceAfter = 2 * time.Second
	// removeSurplusAfter is the time of inactivity after which a voter is removed
	// if there are more voters than required. A restart takes less time.
	removeSurplusAfter = 4 * time.Second
)

// groupView is the state of the group from which the leader plans a change.
type groupView struct {
	self     replica.MemberID
	voters   []replica.MemberID
	learners []replica.MemberID
	// inactiveFor is the time since each member was last active.
	inactiveFor map[replica.MemberID]time.Duration
	// joining lists ids that have asked to join and are not members.
	joining []replica.MemberID
	// requiredVoters is the number of voters that the fault tolerance needs.
	requiredVoters int
}

// plan returns the next membership change, or nil when none is due.
func plan(v *groupView) *raft.MembershipChange {
	for _, id := range v.learners {
		if v.inactiveFor[id] >= replaceAfter {
			return change(raft.RemoveMember, id)
		}
	}
	for _, id := range v.joining {
		if old := v.memberOnSameVM(id); old != raft.None {
			return v.safeRemoval(old)
		}
	}
	if len(v.learners) > 0 {
		return v.admitLearner(v.learners[0])
	}
	if len(v.joining) > 0 {
		if inactive := v.longestInactive(replaceAfter); inactive != raft.None && len(v.voters) >= v.requiredVoters {
			return v.safeRemoval(inactive)
		}
		return change(raft.AddLearner, v.joining[0])
	}
	if len(v.voters) > v.requiredVoters {
		if inactive := v.longestInactive(removeSurplusAfter); inactive != raft.None {
			return v.safeRemoval(inactive)
		}
	}
	return nil
}

// admitLearner promotes a learner. If the learner can replace an inactive voter,
// that voter is removed first, unless too few of the remaining voters are active.
func (v *groupView) admitLearner(id replica.MemberID) *raft.MembershipChange {
	if inactive := v.longestInactive(replaceAfter); inactive != raft.None && len(v.voters) >= v.requiredVoters {
		if c := v.safeRemoval(inactive); c != nil {
			return c
		}
	}
	return change(raft.PromoteLearner, id)
}

// memberOnSameVM returns an earlier member on the VM of a joining one, or
// raft.None. The disk of such a member is lost.
func (v *groupView) memberOnSameVM(joining replica.MemberID) replica.MemberID {
	for _, list := range [][]replica.MemberID{v.voters, v.learners} {
		for _, id := range list {
			if id != joining && id != v.self && memberIP(id) == memberIP(joining) {
				return id
			}
		}
	}
	return raft.None
}

// longestInactive returns the voter, other than the leader, that has been
// inactive longest, or raft.None if none has been for at least limit.
func (v *groupView) longestInactive(limit time.Duration) replica.MemberID {
	longest := raft.None
	for _, id := range v.voters {
		if id != v.self && v.inactiveFor[id] >= limit && (longest == raft.None || v.inactiveFor[id] > v.inactiveFor[longest]) {
			longest = id
		}
	}
	return longest
}

// safeRemoval returns the removal of a member, or nil if fewer than a majority
// of the remaining voters are active.
func (v *groupView) safeRemoval(id replica.MemberID) *raft.MembershipChange {
	active, remaining := 0, 0
	for _, voter := range v.voters {
		if voter == id {
			continue
		}
		remaining++
		if v.inactiveFor[voter] < replaceAfter {
			active++
		}
	}
	if remaining == 0 || active <= remaining/2 {
		return nil
	}
	return change(raft.RemoveMember, id)
}

func change(kind raft.ChangeKind, id replica.MemberID) *raft.MembershipChange {
	return &raft.MembershipChange{Kind: kind, Member: id}
}
