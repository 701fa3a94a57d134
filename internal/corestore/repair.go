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
	// swapAfter is the time of inactivity after which a learner that has caught up
	// takes the place of a voter. A voter that was only paused rejoins as a learner.
	swapAfter = time.Second
	// removeSurplusAfter is the time of inactivity after which a voter is removed
	// if there are more voters than required.
	removeSurplusAfter = 2 * time.Second
	// standbyPeriod is how long a learner that is not needed waits for a voter to
	// leave. A planned replacement starts the new daemon before it stops the old one;
	// if both voted, the death of the old one would leave a larger group with the
	// majority of the larger one.
	standbyPeriod = 20 * time.Second
)

// groupView is the state of the group from which the leader plans a change.
type groupView struct {
	self     replica.MemberID
	voters   []replica.MemberID
	learners []replica.MemberID
	// inactiveFor is the time since each member was last active.
	inactiveFor map[replica.MemberID]time.Duration
	// caughtUp holds the learners that can be promoted at once, learnerFor how long this
	// leader has known each learner.
	caughtUp   map[replica.MemberID]bool
	learnerFor map[replica.MemberID]time.Duration
	// leaving holds the voters that are about to stop.
	leaving map[replica.MemberID]bool
	// forming is set while the system starts for the first time.
	forming bool
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
	if len(v.voters) > v.requiredVoters {
		if c := v.removeSurplus(); c != nil {
			return c
		}
	}
	if standby := v.standby(); standby != raft.None {
		if c := v.admitLearner(standby); c != nil {
			return c
		}
	}
	if len(v.joining) > 0 {
		if inactive := v.longestInactive(replaceAfter); inactive != raft.None && len(v.voters) >= v.requiredVoters {
			return v.safeRemoval(inactive)
		}
		return change(raft.AddLearner, v.joining[0])
	}
	return nil
}

// removeSurplus removes a voter that leaves or is gone, of more than are required.
func (v *groupView) removeSurplus() *raft.MembershipChange {
	for _, id := range v.voters {
		if v.leaving[id] && id != v.self {
			return v.safeRemoval(id)
		}
	}
	if inactive := v.longestInactive(removeSurplusAfter); inactive != raft.None {
		return v.safeRemoval(inactive)
	}
	return nil
}

// standby returns an active learner, if possible one that has caught up, or raft.None.
func (v *groupView) standby() replica.MemberID {
	best := raft.None
	for _, id := range v.learners {
		if v.inactiveFor[id] < swapAfter && (best == raft.None || v.caughtUp[id] && !v.caughtUp[best]) {
			best = id
		}
	}
	return best
}

// admitLearner promotes a learner that is needed. While there are enough voters it stays
// a learner until one of them leaves or is gone, so that the death of a daemon that is
// being replaced does not raise the number of votes that a majority needs. A voter that
// leaves is still there, so the learner votes first and the voter is removed then. One
// that is gone is removed first, unless too few of the remaining voters are active.
func (v *groupView) admitLearner(id replica.MemberID) *raft.MembershipChange {
	switch {
	case len(v.voters) < v.requiredVoters || v.forming || len(v.leaving) > 0:
		return change(raft.PromoteLearner, id)
	case !v.caughtUp[id]:
		return nil
	}
	if inactive := v.longestInactive(swapAfter); inactive != raft.None {
		return v.safeRemoval(inactive)
	}
	if v.learnerFor[id] >= standbyPeriod {
		return change(raft.PromoteLearner, id)
	}
	return nil
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
