package feed

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// endedLimitTTL is how long the end of a limit is told, so that a late response
	// does not bring the limit back.
	endedLimitTTL = 30 * time.Second
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

// statedLimits holds the limits that upstreams state and, for the hub that leads, when
// they may be sent requests. The hub's mu guards it.
type statedLimits struct {
	stated    map[processKey]*hubLimit
	schedules map[processKey]*sendSchedule
}

// hubLimit is a limit that an upstream states. fromEntry is set if an entry reported it
// to this hub: only then is it told to other hubs, because its age grows less exact with
// each daemon that it passes.
type hubLimit struct {
	policy.StatedLimit
	fromEntry bool
}

// sendSchedule holds when an upstream may be sent requests, and when daemons that were
// refused a permit should ask again: one after the other, as permits become free.
type sendSchedule struct {
	policy.SendSchedule
	returns policy.SendSchedule
	usedAt  time.Duration
}

func newStatedLimits() statedLimits {
	return statedLimits{stated: map[processKey]*hubLimit{}, schedules: map[processKey]*sendSchedule{}}
}

// mergeLimits applies limits that an entry or, unless fromEntry is set, another hub
// reported. If one has changed it wakes the streams to entries and, with fromEntry,
// those to the other hubs.
func (h *Hub) mergeLimits(limits []*pb.StatedLimit, fromEntry bool) {
	if len(limits) == 0 {
		return
	}
	h.mu.Lock()
	var changed []*pb.StatedLimit
	for _, l := range limits {
		if r := h.table.Get(l.Id); r == nil || r.BornMs != l.BornMs {
			continue
		}
		key := processKey{l.Id, l.BornMs}
		known := h.limits.stated[key]
		if known == nil {
			if l.PerSecond == 0 {
				continue
			}
			known = &hubLimit{}
			h.limits.stated[key] = known
		}
		sentAt := known.SentAt
		if known.Update(h.decodeLimit(l)) {
			changed = append(changed, l)
		}
		if known.SentAt != sentAt {
			known.fromEntry = fromEntry
		}
	}
	if len(changed) > 0 {
		for s := range h.subscriptions {
			s.limitsDue = s.limitsDue || s.allReports && fromEntry
			if !s.allReports || fromEntry {
				s.signal()
			}
		}
	}
	h.mu.Unlock()
	for _, l := range changed {
		h.opts.Logger.Info().Str("event", "upstream.limit").Str("upstream", l.Id).Int64("born_ms", l.BornMs).Float64("per_second", l.PerSecond).Msg("")
		if h.opts.OnLimit != nil {
			h.opts.OnLimit(l)
		}
	}
}

func (h *Hub) decodeLimit(l *pb.StatedLimit) policy.StatedLimit {
	return policy.StatedLimit{PerSecond: l.PerSecond, SentAt: h.now() - milliseconds(l.AgeMs)}
}

// encodeLimits returns the limits with their current ages, all or only those that
// entries reported to this hub. The caller holds mu.
func (h *Hub) encodeLimits(all bool) []*pb.StatedLimit {
	var list []*pb.StatedLimit
	for key, l := range h.limits.stated {
		if !all && !l.fromEntry {
			continue
		}
		list = append(list, &pb.StatedLimit{Id: key.id, BornMs: key.bornMs, PerSecond: l.PerSecond, AgeMs: remainingMs(h.now(), l.SentAt)})
	}
	return list
}

// Limits returns the limits that upstreams state.
func (h *Hub) Limits() []*pb.StatedLimit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encodeLimits(true)
}

// limitsForHub returns the limits that are due on a stream to another hub. The caller
// holds mu.
func (h *Hub) limitsForHub(s *subscription) []*pb.StatedLimit {
	if !s.limitsDue {
		return nil
	}
	s.limitsDue = false
	return h.encodeLimits(false)
}

// pruneLimits drops what belongs to processes that have ended, and what is no longer
// needed.
func (h *Hub) pruneLimits() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for key, l := range h.limits.stated {
		r := h.table.Get(key.id)
		gone := r == nil || r.BornMs != key.bornMs || r.Phase == pb.UpstreamPhase_UPSTREAM_GONE
		if gone || l.PerSecond == 0 && now-l.SentAt > endedLimitTTL {
			delete(h.limits.stated, key)
		}
	}
	for key, s := range h.limits.schedules {
		if now-s.usedAt > scheduleTTL {
			delete(h.limits.schedules, key)
		}
	}
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
		stated := h.decodeLimit(l)
		key := processKey{l.Id, l.BornMs}
		if known := h.limits.stated[key]; known != nil && known.SentAt > stated.SentAt {
			stated = known.StatedLimit
		}
		if stated.PerSecond <= 0 {
			return &pb.SendPermitResponse{Id: l.Id}, nil
		}
		s := h.limits.schedules[key]
		if s == nil {
			s = &sendSchedule{}
			h.limits.schedules[key] = s
		}
		s.usedAt = now
		if wait := s.Wait(stated.PerSecond, now); best == nil || wait < bestWait {
			best, bestID, bestLimit, bestWait = s, l.Id, stated.PerSecond, wait
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
