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
	// joinInterval is the time between looks at whether this member belongs
	// to the group.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one call to another daemon.
	joinTimeout = 500 * time.Millisecond
	// joinerLifetime is how long a request to join is remembered. A joiner
	// repeats it.
	joinerLifetime = 3 * time.Second
)

// stayMember asks to join while this member hears no leader, and starts anew
// when it was removed. It ends with Stop.
func (s *Store) stayMember() {
	defer s.done.Done()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	learned := []string{}
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		st := s.status.Load()
		if st.Leader != raft.None {
			continue
		}
		candidates := slices.Concat(s.opts.Seeds(), s.Members(), learned)
		slices.Sort(candidates)
		candidates = slices.Compact(candidates)
		reply := s.askToJoin(candidates)
		learned = reply.Core
		if reply.Removed {
			s.rejoin()
		}
	}
}

// askToJoin asks the daemons in turn until the leader has answered. A daemon
// that knows no leader, such as another joiner, may still know further daemons.
func (s *Store) askToJoin(candidates []string) *pb.JoinReply {
	var known []string
	for _, address := range candidates {
		reply := s.callJoin(address)
		if reply == nil {
			continue
		}
		known = append(known, reply.Core...)
		if reply.Leader == address {
			return reply
		}
		if reply.Leader == "" {
			continue
		}
		if fromLeader := s.callJoin(reply.Leader); fromLeader != nil {
			return fromLeader
		}
	}
	return &pb.JoinReply{Core: known}
}

func (s *Store) callJoin(address string) *pb.JoinReply {
	client := s.opts.Peers.Client(address)
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	reply := &pb.JoinReply{}
	if err := client.Call(ctx, transport.MethodJoin, &pb.JoinRequest{Member: uint64(s.currentNode().ID())}, reply); err != nil {
		s.opts.Logger.Debug().Str("event", "store.join_failed").Str("peer", address).Err(err).Msg("")
		return nil
	}
	return reply
}

// handleJoin answers a daemon that hears no leader. Only the leader notes the
// wish to join and tells about removals.
func (s *Store) handleJoin(ctx context.Context, req *pb.JoinRequest) (*pb.JoinReply, error) {
	node := s.currentNode()
	reply := &pb.JoinReply{Core: s.Members()}
	if leader := node.Leader(documentGroup); leader != raft.None {
		reply.Leader = memberAddress(leader, s.self.Port())
	}
	if _, leads := node.Leads(documentGroup); !leads {
		return reply, nil
	}
	id := replica.MemberID(req.Member)
	st := s.status.Load()
	if slices.Contains(st.Membership.Removed, id) {
		// An empty command that commits proves that the removal, which
		// precedes it in the log, is committed.
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		_, err := node.Propose(ctx, documentGroup, nil)
		reply.Removed = err == nil
		return reply, nil
	}
	if !st.Membership.Contains(id) {
		s.joinMu.Lock()
		s.joiners[id] = time.Now()
		s.joinMu.Unlock()
	}
	return reply, nil
}

// rejoin clears the disk of a removed member and joins under a new id.
func (s *Store) rejoin() {
	node := s.currentNode()
	s.opts.Logger.Warn().Str("event", "store.removed").Uint64("member", uint64(node.ID())).
		Str("action", "clearing the disk and joining again").Msg("")
	if err := node.Stop(); err != nil {
		s.opts.Logger.Error().Str("event", "store.stop_failed").Err(err).Msg("")
	}
	if err := s.clearDisk(); err != nil {
		s.opts.OnFatal(err)
		return
	}
	if err := s.startNode(false); err != nil {
		s.opts.OnFatal(err)
	}
	s.status.Store(&observed{})
}
