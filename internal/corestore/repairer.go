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
	// learnerSince is when this leader first knew each learner.
	learnerSince map[replica.MemberID]time.Time
}

func newRepairer(s *Store) *repairer {
	return &repairer{store: s, learnerSince: map[replica.MemberID]time.Time{}}
}

// step plans the next membership change and proposes it, if there is one. It
// reports whether a change was due.
func (r *repairer) step(node *replica.Node, st *raft.Status) bool {
	if st.Role != raft.Leader {
		r.term = 0
		return false
	}
	now := time.Now()
	r.recordLearners(st, now)
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

// recordLearners updates learnerSince, which begins anew with each term.
func (r *repairer) recordLearners(st *raft.Status, now time.Time) {
	if r.term != st.Term {
		r.term = st.Term
		clear(r.learnerSince)
	}
	for _, id := range st.Membership.Learners {
		if r.learnerSince[id].IsZero() {
			r.learnerSince[id] = now
		}
	}
}

func (r *repairer) groupView(st *raft.Status, now time.Time) *groupView {
	v := &groupView{
		self: st.ID, voters: st.Membership.Voters, learners: st.Membership.Learners, requiredVoters: r.store.requiredVoters(),
		inactiveFor: map[replica.MemberID]time.Duration{}, caughtUp: map[replica.MemberID]bool{}, learnerFor: map[replica.MemberID]time.Duration{},
		forming: r.store.firstStart && now.Sub(r.store.started) < formationTimeout,
	}
	for _, p := range st.Progress {
		v.inactiveFor[p.Member] = time.Duration(p.SilentTicks) * tick
		v.caughtUp[p.Member] = p.CaughtUp
	}
	for id, since := range r.learnerSince {
		v.learnerFor[id] = now.Sub(since)
	}
	v.joining = r.store.pendingJoins(st, now)
	v.leaving = r.store.leavingVoters(st, now)
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
