package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
)

// transferPollInterval is the time between checks of a leadership transfer.
const transferPollInterval = 5 * time.Millisecond

// StepDown transfers the leadership of every group that this member leads, so
// that a planned stop costs no election timeout. It returns when the member
// leads no group except those of which it is the only voter, or with the
// context's error.
func (n *Node) StepDown(ctx context.Context) error {
	ticker := time.NewTicker(transferPollInterval)
	defer ticker.Stop()
	for {
		leadsAny := false
		for _, g := range n.sortedGroups {
			leads, err := n.transferGroup(g.id)
			if err != nil {
				return errors.Wrapf(err, "transferring leadership of group %d", g.id)
			}
			leadsAny = leadsAny || leads
		}
		if !leadsAny {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// transferGroup starts the leadership transfer of one group if none is in
// progress. It reports whether the member leads the group and the group has
// another voter.
func (n *Node) transferGroup(id GroupID) (leads bool, err error) {
	err = n.runOnGroup(id, func(g *group) error {
		status := g.core.Status()
		if status.Role != raft.Leader || len(status.Membership.Voters) == 1 {
			return nil
		}
		leads = true
		to := transferTarget(&status)
		if status.Transferee != raft.None || to == raft.None {
			return nil
		}
		return g.core.TransferLeadership(to)
	})
	return leads, err
}

// transferTarget returns the voter with the highest match index among those that
// were active since the last quorum check, or raft.None.
func transferTarget(s *raft.Status) MemberID {
	var best raft.MemberProgress
	for _, p := range s.Progress {
		if !p.Active || !s.Membership.IsVoter(p.Member) {
			continue
		}
		if best.Member == raft.None || p.Match > best.Match {
			best = p
		}
	}
	return best.Member
}
