package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
)

// memberChangeRetryInterval is the time between two attempts at a step of a
// membership change. A step fails while a learner is behind or another change is
// not committed.
const memberChangeRetryInterval = 50 * time.Millisecond

// Members lists the members of group 0 with their replication progress, which
// only the leader of the group knows.
func (c *Cluster) Members(context.Context) ([]*pb.Member, error) {
	st, err := c.node.Status(replica.GroupID(storeGroup))
	if err != nil {
		return nil, err
	}
	match := map[raft.MemberID]uint64{}
	for _, p := range st.Progress {
		match[p.Member] = p.Match
	}
	var out []*pb.Member
	add := func(ids []raft.MemberID, learner bool) {
		for _, id := range ids {
			out = append(out, &pb.Member{
				Id: uint64(id), Address: c.address(uint64(id)), Learner: learner, Leader: id == st.Leader, Match: match[id],
			})
		}
	}
	add(st.Membership.Voters, false)
	add(st.Membership.Learners, true)
	return out, nil
}

func (c *Cluster) address(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[id]
}

// ChangeMembers adds and removes members in all groups, one step at a time.
// Completed steps are skipped, so an interrupted change can be retried.
func (c *Cluster) ChangeMembers(ctx context.Context, add *pb.Member, remove uint64) error {
	if add != nil {
		for _, kind := range []raft.ChangeKind{raft.AddLearner, raft.PromoteLearner} {
			if err := c.changeAllGroups(ctx, kind, add.Id); err != nil {
				return err
			}
		}
	}
	if remove == 0 {
		return nil
	}
	if remove == c.opts.ID {
		return c.stepDown(ctx)
	}
	return c.changeAllGroups(ctx, raft.RemoveMember, remove)
}

// stepDown transfers the leadership of group 0 to the most up-to-date other
// voter. It returns ErrNotLeader once this member no longer leads, so that a
// removal of this member is retried on the new leader.
func (c *Cluster) stepDown(ctx context.Context) error {
	for {
		st, err := c.node.Status(replica.GroupID(storeGroup))
		if err != nil {
			return err
		}
		if st.Role != raft.Leader {
			return ErrNotLeader
		}
		var to raft.MemberID
		var match uint64
		for _, p := range st.Progress {
			if st.Membership.IsVoter(p.Member) && p.Member != st.ID && p.Match > match {
				to, match = p.Member, p.Match
			}
		}
		if to == raft.None {
			return transport.Errorf(pb.Status_INVALID, "no other voter can lead")
		}
		_ = c.node.TransferLeadership(replica.GroupID(storeGroup), to)
		select {
		case <-time.After(memberChangeRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changeAllGroups applies one membership step to every group. Group 0 comes
// last, because the leadership of the other groups follows its leader.
func (c *Cluster) changeAllGroups(ctx context.Context, kind raft.ChangeKind, id uint64) error {
	for g := c.groups - 1; g >= 0; g-- {
		if err := c.changeGroup(ctx, replica.GroupID(g), raft.MembershipChange{Kind: kind, Member: raft.MemberID(id)}); err != nil {
			return errors.Wrapf(err, "group %d", g)
		}
	}
	return nil
}

func (c *Cluster) changeGroup(ctx context.Context, g replica.GroupID, change raft.MembershipChange) error {
	for {
		st, err := c.node.Status(g)
		if err != nil {
			return err
		}
		if changeApplied(st.Membership, change) {
			// The change may not be committed yet. An empty command proposed
			// now is committed after it and leaves the state machines as they
			// are.
			_, err = c.node.Propose(ctx, g, nil)
			return clusterError(err)
		}
		err = c.node.ChangeMembers(ctx, g, change)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, raft.ErrInvalidChange):
			return transport.Errorf(pb.Status_INVALID, "%v", err)
		case errors.Is(err, replica.ErrNotLeader) && g == replica.GroupID(storeGroup):
			return ErrNotLeader
		}
		// The learner is behind, another change is pending, or the leadership
		// of the group is still being transferred to this member.
		select {
		case <-time.After(memberChangeRetryInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%v", err)
		}
	}
}

func changeApplied(m raft.Membership, change raft.MembershipChange) bool {
	switch change.Kind {
	case raft.AddLearner:
		return m.Contains(change.Member)
	case raft.PromoteLearner:
		return m.IsVoter(change.Member)
	}
	return !m.Contains(change.Member)
}
