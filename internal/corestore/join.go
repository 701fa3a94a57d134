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
	// joinCheckInterval is the time between checks whether this member knows a
	// leader. While it knows none, it asks to join at each check.
	joinCheckInterval = 300 * time.Millisecond
	// joinTimeout bounds one Join call to another daemon, and the commit with
	// which the leader confirms a removal.
	joinTimeout = 500 * time.Millisecond
	// joinRequestTTL is how long the leader keeps a request to join. A joining
	// daemon repeats its request.
	joinRequestTTL = 3 * time.Second
)

// remainMember asks to join while this member knows no leader, and rejoins under
// a new id if it was removed. It ends with Stop.
func (s *Store) remainMember() {
	defer s.done.Done()
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	discovered := []string{}
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		st := s.status.Load()
		if st.Leader != raft.None || s.leaves.Load() {
			continue
		}
		addresses := slices.Concat(s.opts.Seeds(), s.Members(), discovered)
		if sender := s.sender.Load(); sender != nil {
			addresses = append(addresses, *sender)
		}
		slices.Sort(addresses)
		addresses = slices.Compact(addresses)
		reply := s.requestJoin(addresses)
		discovered = reply.Core
		if reply.Removed {
			s.rejoin()
		}
	}
}

// learnSender remembers who sends to this daemon while it knows no leader: the group still
// sends to a member that lost its disk, at its old id, and none of its seeds may be left.
func (s *Store) learnSender(message []byte) {
	if s.status.Load().Leader != raft.None {
		return
	}
	if m, err := raft.DecodeMessage(message); err == nil {
		address := memberAddress(m.From, s.self.Port())
		s.sender.Store(&address)
	}
}

// requestJoin asks the daemons in turn until the leader has answered. A daemon
// that knows no leader, such as one that is joining itself, may still name
// further daemons.
func (s *Store) requestJoin(addresses []string) *pb.JoinReply {
	var known []string
	for _, address := range addresses {
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

// handleJoin answers a daemon that knows no leader. Only the leader records the
// request and reports whether the member was removed.
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
		reply.Removed = changesCommitted(ctx, node)
		return reply, nil
	}
	if !st.Membership.Contains(id) {
		s.joinMu.Lock()
		s.joinRequests[id] = time.Now()
		s.joinMu.Unlock()
	}
	return reply, nil
}

// changesCommitted reports whether all changes that this leader knows of are committed.
// Committing an empty command, which they precede in the log, proves that.
func changesCommitted(ctx context.Context, node *replica.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := node.Propose(ctx, documentGroup, nil)
	return err == nil
}

// rejoin clears the store directory of a removed member and joins under a new
// id.
func (s *Store) rejoin() {
	node := s.currentNode()
	s.opts.Logger.Warn().Str("event", "store.removed").Uint64("member", uint64(node.ID())).
		Str("action", "clearing the store directory and rejoining").Msg("")
	if err := node.Stop(); err != nil {
		s.opts.Logger.Error().Str("event", "store.stop_failed").Err(err).Msg("")
	}
	if err := s.clearDir(); err != nil {
		s.opts.OnFatal(err)
		return
	}
	if err := s.startNode(false); err != nil {
		s.opts.OnFatal(err)
	}
	s.status.Store(&timedStatus{})
}
