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

// memberRetry is the time between two attempts at a step that waits for a
// learner to catch up or for another change to be committed.
const memberRetry = 50 * time.Millisecond

// Members lists the members of group 0 as its leader sees them.
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

// Change adds and removes members in all groups, one step at a time. Steps that
// were taken before are skipped, so an interrupted change may be repeated.
func (c *Cluster) Change(ctx context.Context, add *pb.Member, remove uint64) error {
	if add != nil {
		for _, kind := range []raft.ChangeKind{raft.AddLearner, raft.PromoteLearner} {
			if err := c.changeAll(ctx, kind, add.Id); err != nil {
				return err
			}
		}
	}
	if remove == 0 {
		return nil
	}
	if remove == c.opts.ID {
		return c.handOver(ctx)
	}
	return c.changeAll(ctx, raft.RemoveMember, remove)
}

// handOver moves the leadership away from this member, which is to be removed,
// and returns ErrNotLeader, on which the caller repeats the change at the next
// leader.
func (c *Cluster) handOver(ctx context.Context) error {
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
		case <-time.After(memberRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changeAll takes one step in every group. Group 0 comes last, because the
// leadership of the others follows its leader.
func (c *Cluster) changeAll(ctx context.Context, kind raft.ChangeKind, id uint64) error {
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
		if changeDone(st.Membership, change) {
			// The change may not be committed yet; what is proposed after it
			// is committed after it. The state machines ignore no data.
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
		// The learner is behind, another change is pending, or the group's
		// leadership is still being moved here.
		select {
		case <-time.After(memberRetry):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%v", err)
		}
	}
}

func changeDone(m raft.Membership, change raft.MembershipChange) bool {
	switch change.Kind {
	case raft.AddLearner:
		return m.Contains(change.Member)
	case raft.PromoteLearner:
		return m.IsVoter(change.Member)
	}
	return !m.Contains(change.Member)
}
