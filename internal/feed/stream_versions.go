package feed

import (
	"context"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// mergeStreamVersions applies the versions of streams that an entry or, unless fromEntry
// is set, another hub reported. What is new is stored and, from an entry, passed on to the
// other hubs.
func (h *Hub) mergeStreamVersions(list []*pb.StreamVersion, fromEntry bool) {
	if len(list) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var changed []policy.StreamVersion
	var stored []*pb.StreamVersion
	for _, m := range list {
		v, known := fleet.DecodeStreamVersion(m, now)
		if known && h.streamVersions.Record(v, now) {
			changed, stored = append(changed, v), append(stored, m)
		}
	}
	if len(changed) == 0 {
		return
	}
	if h.opts.StreamLog != nil {
		h.opts.StreamLog.Append(stored)
	}
	if !fromEntry {
		return
	}
	for s := range h.subscriptions {
		if s.allReports {
			s.addStreamVersions(changed)
			h.signalLater(s)
		}
	}
}

// addStreamVersions queues versions for the next message to another hub, which may be out
// of reach for long.
func (s *subscription) addStreamVersions(list []policy.StreamVersion) {
	if len(s.streamVersions)+len(list) > maxPending {
		s.streamVersions, s.allStreamVersions = nil, true
	} else if !s.allStreamVersions {
		s.streamVersions = append(s.streamVersions, list...)
	}
}

// streamVersionsForHub returns the versions that are due on a stream to another hub. The
// caller holds mu.
func (h *Hub) streamVersionsForHub(s *subscription) []*pb.StreamVersion {
	list := s.streamVersions
	if s.allStreamVersions {
		list = h.streamVersions.All(h.now())
	}
	s.streamVersions, s.allStreamVersions = nil, false
	var out []*pb.StreamVersion
	for _, v := range list {
		out = append(out, fleet.EncodeStreamVersion(v, h.now()))
	}
	return out
}

// serveStreamVersion tells an entry at which versions a stream may go on.
func (h *Hub) serveStreamVersion(_ context.Context, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, known := h.streamVersions.Get(req.Id, h.now())
	if !known {
		return &pb.StreamVersionResponse{}, nil
	}
	return &pb.StreamVersionResponse{Stream: fleet.EncodeStreamVersion(v, h.now())}, nil
}

// StreamVersion asks the hubs to which the subscriber is attached at which versions a
// stream may go on, and returns the newest record. The time in the record is the age.
func (s *Subscriber) StreamVersion(ctx context.Context, id string) (newest policy.StreamVersion, known bool) {
	s.mu.Lock()
	clients := make([]*transport.Client, 0, len(s.streams))
	for _, c := range s.streams {
		clients = append(clients, c)
	}
	s.mu.Unlock()
	answers := make(chan *pb.StreamVersion, len(clients))
	for _, c := range clients {
		go func() {
			resp := &pb.StreamVersionResponse{}
			if err := c.Call(ctx, transport.MethodStreamVersion, &pb.StreamVersionRequest{Id: id}, resp); err != nil {
				// A hub out of reach knows no stream.
				resp.Stream = nil
			}
			answers <- resp.Stream
		}()
	}
	for range clients {
		m := <-answers
		if m == nil {
			continue
		}
		if v, complete := fleet.DecodeStreamVersion(m, 0); complete && (!known || v.Attempt > newest.Attempt) {
			newest, known = v, true
		}
	}
	return newest, known
}
