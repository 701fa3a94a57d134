package corestore

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/raft"
)

// changeTimeout bounds one membership change.
const changeTimeout = time.Second

// repairer repairs the membership of the group while this member leads.
type repairer struct {
	store *Store
	term  uint64
	// lastActive is when each member was last known to be active.
	lastActive map[replica.MemberID]time.Time
}

func newRepairer(s *Store) *repairer {
	return &repairer{store: s, lastActive: map[replica.MemberID]time.Time{}}
}

// step plans the next membership change and proposes it, if there is one. It
// reports whether a change was due.
func (r *repairer) step(node *replica.Node, st *raft.Status) bool {
	if st.Role != raft.Leader {
		r.term = 0
		return false
	}
	now := time.Now()
	r.recordActivity(st, now)
	c := plan(r.groupView(st, now))
	if c == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	err := node.ChangeMembers(ctx, documentGroup, *c)
	if errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrLearnerBehind) {
		return true
	}
	r.store.opts.Logger.Info().Str("event", "store.member_change").Str("change", changeName(c.Kind)).
		Uint64("member", uint64(c.Member)).Int("voters", len(st.Membership.Voters)).Err(err).Msg("")
	return true
}

func changeName(k raft.ChangeKind) string {
	switch k {
	case raft.AddLearner:
		return "add"
	case raft.PromoteLearner:
		return "promote"
	}
	return "remove"
}

// recordActivity updates lastActive. A member of which this leader has no record
// yet, as after an election, counts as active.
func (r *repairer) recordActivity(st *raft.Status, now time.Time) {
	if r.term != st.Term {
		r.term = st.Term
		clear(r.lastActive)
	}
	for _, p := range st.Progress {
		if _, known := r.lastActive[p.Member]; p.Active || !known {
			r.lastActive[p.Member] = now
		}
	}
}

func (r *repairer) groupView(st *raft.Status, now time.Time) *groupView {
	v := &groupView{
		self: st.ID, voters: st.Membership.Voters, learners: st.Membership.Learners,
		inactiveFor: map[replica.MemberID]time.Duration{}, requiredVoters: r.store.requiredVoters(),
	}
	for id, at := range r.lastActive {
		v.inactiveFor[id] = now.Sub(at)
	}
	v.joining = r.store.pendingJoins(st, now)
	return v
}

// pendingJoins returns the ids with a pending request to join, lowest first. It
// deletes requests that have expired and those of current and removed members.
func (s *Store) pendingJoins(st *raft.Status, now time.Time) []replica.MemberID {
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	var pending []replica.MemberID
	for id, requestedAt := range s.joinRequests {
		if now.Sub(requestedAt) > joinRequestTTL || st.Membership.Contains(id) || slices.Contains(st.Membership.Removed, id) {
			delete(s.joinRequests, id)
			continue
		}
		pending = append(pending, id)
	}
	slices.Sort(pending)
	return pending
}
