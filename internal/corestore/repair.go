package corestore

import (
	"time"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/raft"
)

const (
	// replaceAfter is the silence after which a joiner takes a member's place.
	replaceAfter = 2 * time.Second
	// shrinkAfter is the silence after which a member beyond the needed number
	// is removed. A restart takes less.
	shrinkAfter = 4 * time.Second
)

// view is what the leader knows of the group when it plans a change.
type view struct {
	self     replica.MemberID
	voters   []replica.MemberID
	learners []replica.MemberID
	// quiet is how long a member has not answered.
	quiet map[replica.MemberID]time.Duration
	// joiners lists ids that asked to join and are not members.
	joiners []replica.MemberID
	// needed is the number of voters that the fault tolerance asks for.
	needed int
}

// plan returns the next membership change, or nil when none is due.
func plan(v *view) *raft.MembershipChange {
	for _, id := range v.learners {
		if v.quiet[id] >= replaceAfter {
			return change(raft.RemoveMember, id)
		}
	}
	for _, id := range v.joiners {
		if old := v.sameVM(id); old != raft.None {
			return v.remove(old)
		}
	}
	if len(v.learners) > 0 {
		return v.admitLearner(v.learners[0])
	}
	if len(v.joiners) > 0 {
		if dead := v.quietest(replaceAfter); dead != raft.None && len(v.voters) >= v.needed {
			return v.remove(dead)
		}
		return change(raft.AddLearner, v.joiners[0])
	}
	if len(v.voters) > v.needed {
		if dead := v.quietest(shrinkAfter); dead != raft.None {
			return v.remove(dead)
		}
	}
	return nil
}

// admitLearner promotes a learner, after the member whose place it takes was
// removed.
func (v *view) admitLearner(id replica.MemberID) *raft.MembershipChange {
	if dead := v.quietest(replaceAfter); dead != raft.None && len(v.voters) >= v.needed {
		if c := v.remove(dead); c != nil {
			return c
		}
	}
	return change(raft.PromoteLearner, id)
}

// sameVM returns another member on a joiner's VM, whose disk is lost.
func (v *view) sameVM(joiner replica.MemberID) replica.MemberID {
	for _, list := range [][]replica.MemberID{v.voters, v.learners} {
		for _, id := range list {
			if id != joiner && id != v.self && memberIP(id) == memberIP(joiner) {
				return id
			}
		}
	}
	return raft.None
}

// quietest returns the voter with the longest silence of at least limit.
func (v *view) quietest(limit time.Duration) replica.MemberID {
	worst := raft.None
	for _, id := range v.voters {
		if id != v.self && v.quiet[id] >= limit && (worst == raft.None || v.quiet[id] > v.quiet[worst]) {
			worst = id
		}
	}
	return worst
}

// remove removes a member if the answering voters are a majority of the rest.
func (v *view) remove(id replica.MemberID) *raft.MembershipChange {
	answering, rest := 0, 0
	for _, voter := range v.voters {
		if voter == id {
			continue
		}
		rest++
		if v.quiet[voter] < replaceAfter {
			answering++
		}
	}
	if rest == 0 || answering <= rest/2 {
		return nil
	}
	return change(raft.RemoveMember, id)
}

func change(kind raft.ChangeKind, id replica.MemberID) *raft.MembershipChange {
	return &raft.MembershipChange{Kind: kind, Member: id}
}
