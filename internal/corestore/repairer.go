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

// repairer changes the membership while this member leads.
type repairer struct {
	store *Store
	term  uint64
	// answered is when each member was last known to answer.
	answered map[replica.MemberID]time.Time
}

func newRepairer(s *Store) *repairer {
	return &repairer{store: s, answered: map[replica.MemberID]time.Time{}}
}

// step looks at the group once and takes at most one change. It reports whether
// one was due.
func (r *repairer) step(node *replica.Node, st *raft.Status) bool {
	if st.Role != raft.Leader {
		r.term = 0
		return false
	}
	now := time.Now()
	r.note(st, now)
	c := plan(r.view(st, now))
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

// note remembers which members answered. A new leader gives all of them a
// fresh start.
func (r *repairer) note(st *raft.Status, now time.Time) {
	if r.term != st.Term {
		r.term = st.Term
		clear(r.answered)
	}
	for _, p := range st.Progress {
		if _, known := r.answered[p.Member]; p.Active || !known {
			r.answered[p.Member] = now
		}
	}
}

func (r *repairer) view(st *raft.Status, now time.Time) *view {
	v := &view{
		self: st.ID, voters: st.Membership.Voters, learners: st.Membership.Learners,
		quiet: map[replica.MemberID]time.Duration{}, needed: r.store.needed(),
	}
	for id, at := range r.answered {
		v.quiet[id] = now.Sub(at)
	}
	v.joiners = r.store.waitingJoiners(st, now)
	return v
}

// waitingJoiners returns the ids that asked to join lately, oldest id first.
func (s *Store) waitingJoiners(st *raft.Status, now time.Time) []replica.MemberID {
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	var waiting []replica.MemberID
	for id, asked := range s.joiners {
		if now.Sub(asked) > joinerLifetime || st.Membership.Contains(id) || slices.Contains(st.Membership.Removed, id) {
			delete(s.joiners, id)
			continue
		}
		waiting = append(waiting, id)
	}
	slices.Sort(waiting)
	return waiting
}
