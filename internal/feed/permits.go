package feed

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// scheduleTTL is how long the schedule of an upstream is kept without a request
	// for a permit.
	scheduleTTL = time.Minute
	// maxPermitWait limits how far ahead permits are given. An upstream may get as
	// many requests more after a change of the leader.
	maxPermitWait = 500 * time.Millisecond
	// maxReturnWait is the longest time after which a daemon that was refused a permit
	// is told to ask again.
	maxReturnWait = 4 * time.Second
)

// sendSchedule holds when an upstream may be sent requests, and when daemons that were
// refused a permit should ask again: one after the other, as permits become free.
type sendSchedule struct {
	policy.SendSchedule
	returns policy.SendSchedule
	usedAt  time.Duration
}

// serveSendPermit gives a permit to send one request to the upstream that may get the
// next one soonest. Only the leader does, so that one daemon counts the requests of all
// entries.
func (h *Hub) serveSendPermit(_ context.Context, req *pb.SendPermitRequest) (*pb.SendPermitResponse, error) {
	if _, _, self := h.opts.Store.Leader(); !self {
		return nil, transport.Errorf(pb.Status_NOT_LEADER, "this daemon does not lead and gives no permits to send")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	maxWait := min(milliseconds(req.MaxWaitMs), maxPermitWait)
	var best *sendSchedule
	var bestID string
	var bestLimit float64
	var bestWait time.Duration
	for _, l := range req.Upstreams {
		stated := h.decodeStatement(l)
		key := processKey{l.Id, l.BornMs}
		if r := h.table.Get(l.Id); r.GetBornMs() > l.BornMs {
			// The request reaches the process that has started since.
			key.bornMs = r.BornMs
		}
		if known := h.statements[key]; known != nil && known.SentAt > stated.SentAt {
			stated = known.UpstreamStatement
		}
		if stated.Limit <= 0 {
			return &pb.SendPermitResponse{Id: l.Id}, nil
		}
		s := h.schedules[key]
		if s == nil {
			s = &sendSchedule{}
			h.schedules[key] = s
		}
		s.usedAt = now
		if wait := s.Wait(stated.Limit, now); best == nil || wait < bestWait {
			best, bestID, bestLimit, bestWait = s, l.Id, stated.Limit, wait
		}
	}
	if best == nil {
		return nil, transport.Errorf(pb.Status_INVALID, "the request for a permit to send names no upstream")
	}
	if _, ok := best.Reserve(bestLimit, maxWait, now); !ok {
		bestID = ""
		if wait, ok := best.returns.Reserve(bestLimit, maxReturnWait, now); ok {
			bestWait = max(bestWait, wait)
		} else {
			bestWait = maxReturnWait
		}
	}
	return &pb.SendPermitResponse{Id: bestID, WaitMs: uint32(bestWait.Milliseconds())}, nil
}

// AcquireSendPermit asks the leader of the core for a permit to send one request to one
// of several upstreams that state a limit.
func (s *Subscriber) AcquireSendPermit(ctx context.Context, req *pb.SendPermitRequest) (*pb.SendPermitResponse, error) {
	client, err := s.leaderClient()
	if err != nil {
		return nil, err
	}
	resp := &pb.SendPermitResponse{}
	return resp, client.Call(ctx, transport.MethodSendPermit, req, resp)
}

// leaderClient returns a client of the leader of the core.
func (s *Subscriber) leaderClient() (*transport.Client, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == "" || s.stopped {
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "the leader of the core is not known")
	}
	if s.permitClient == nil || s.permitClient.Addr() != s.leader {
		if s.permitClient != nil {
			go s.permitClient.Close()
		}
		s.permitClient = transport.NewClient(s.leader, s.opts.Transport)
	}
	return s.permitClient, nil
}

// closeLeaderClient ends the session to the leader.
func (s *Subscriber) closeLeaderClient() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.permitClient != nil {
		s.permitClient.Close()
	}
}
