package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
)

// handOverPoll is the time between looks at a running transfer.
const handOverPoll = 5 * time.Millisecond

// StepDown transfers the leadership of every group that this member leads, so
// that a planned stop costs no election timeout. It returns when the member
// leads nothing that another voter could lead, or with the context's error.
func (n *Node) StepDown(ctx context.Context) error {
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for {
		leading := false
		for _, g := range n.order {
			busy, err := n.handOverGroup(g.id)
			if err != nil {
				return errors.Wrapf(err, "handing over group %d", g.id)
			}
			leading = leading || busy
		}
		if !leading {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// handOverGroup starts the transfer of one group and reports whether the member
// still leads it.
func (n *Node) handOverGroup(id GroupID) (leading bool, err error) {
	err = n.inspect(id, func(g *group) error {
		status := g.core.Status()
		if status.Role != raft.Leader || len(status.Membership.Voters) == 1 {
			return nil
		}
		leading = true
		to := successor(&status)
		if status.Transferee != raft.None || to == raft.None {
			return nil
		}
		return g.core.TransferLeadership(to)
	})
	return leading, err
}

// successor returns the answering voter with the most entries.
func successor(s *raft.Status) MemberID {
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
