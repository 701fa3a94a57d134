package corestore

import (
	"context"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
)

const (
	// leavePollInterval is the time between two requests of a member that waits for its
	// replacement.
	leavePollInterval = 30 * time.Millisecond
	// leaveRequestTTL is how long the leader remembers that a voter is about to stop.
	// A daemon that has restarted since takes part as before.
	leaveRequestTTL = 500 * time.Millisecond
)

// leave tells the leader that this member is about to stop, until another daemon has
// taken its place or there is none to do so.
func (s *Store) leave(ctx context.Context) error {
	s.leaves.Store(true)
	for {
		reply := &pb.LeaveReply{}
		req := &pb.LeaveRequest{Member: uint64(s.currentNode().ID())}
		err := s.runAtLeader(ctx, func(ctx context.Context, _ *replica.Node) (err error) {
			reply, err = s.handleLeave(ctx, req)
			return err
		}, func(ctx context.Context, leader *transport.Client) error {
			err := leader.Call(ctx, transport.MethodLeave, req, reply)
			if transport.Code(err) == pb.Status_UNIMPLEMENTED {
				// Leaders of earlier builds replace a member after it has fallen silent.
				reply.Pending = false
				return nil
			}
			return err
		})
		if err != nil || !reply.Pending {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePollInterval):
		}
	}
}

// handleLeave answers a member that is about to stop.
func (s *Store) handleLeave(ctx context.Context, req *pb.LeaveRequest) (*pb.LeaveReply, error) {
	node := s.currentNode()
	if _, leads := node.Leads(documentGroup); !leads {
		return nil, transport.Errorf(pb.Status_NOT_LEADER, "this daemon does not lead")
	}
	st, err := node.Status(documentGroup)
	if err != nil {
		return nil, err
	}
	id := replica.MemberID(req.Member)
	if slices.Contains(st.Membership.Removed, id) {
		// It must not end before that is on the disks of a majority: its vote would still
		// be needed if others were lost.
		return &pb.LeaveReply{Pending: !changesCommitted(ctx, node)}, nil
	}
	replaceable := len(st.Membership.Learners) > 0 || len(st.Membership.Voters) > s.requiredVoters()
	if id == node.ID() || !st.Membership.IsVoter(id) || !replaceable {
		return &pb.LeaveReply{}, nil
	}
	s.joinMu.Lock()
	s.leaveRequests[id] = time.Now()
	s.joinMu.Unlock()
	s.wakeMonitor(documentGroup)
	return &pb.LeaveReply{Pending: true}, nil
}

// leavingVoters returns the voters that are about to stop. It deletes requests that have
// expired and those of members that no longer vote.
func (s *Store) leavingVoters(st *raft.Status, now time.Time) map[replica.MemberID]bool {
	s.joinMu.Lock()
	defer s.joinMu.Unlock()
	leaving := map[replica.MemberID]bool{}
	for id, at := range s.leaveRequests {
		if now.Sub(at) > leaveRequestTTL || !slices.Contains(st.Membership.Voters, id) {
			delete(s.leaveRequests, id)
			continue
		}
		leaving[id] = true
	}
	return leaving
}
