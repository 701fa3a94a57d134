package feed

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
)

// Entries of some builds before protocol.RunVersions compare software versions only. They are
// recognised by their records of streams, which name no service, and told run texts in the
// place of software versions, so that what they compare is all that two runs must share.

// comparesSoftwareOnly reports whether records of streams come from such an entry.
func comparesSoftwareOnly(ctx context.Context, records []*pb.StreamVersion) bool {
	if protocol.Of(transport.PeerFromContext(ctx)).KeepsRunVersions() {
		return false
	}
	return slices.ContainsFunc(records, func(m *pb.StreamVersion) bool { return m.Service == "" })
}

// recogniseEntry looks at the records of streams that an entry has sent. One that is
// recognised is sent all upstreams anew, and once more when each of them has reported: it
// takes over newer reports only.
func (h *Hub) recogniseEntry(ctx context.Context, s *subscription, records []*pb.StreamVersion) {
	if !comparesSoftwareOnly(ctx, records) {
		return
	}
	h.mu.Lock()
	known := s.softwareOnly
	s.softwareOnly, s.sendAll = true, s.sendAll || !known
	h.mu.Unlock()
	if known {
		return
	}
	h.opts.Logger.Info().Str("event", "feed.earlier_entry").Str("entry", transport.PeerFromContext(ctx).Vm).Msg("")
	s.signal()
	time.AfterFunc(reportPeriod, func() {
		h.mu.Lock()
		s.sendAll = true
		h.mu.Unlock()
		s.signal()
	})
}

// adaptUpdate changes an update for an entry that compares software versions only. The
// entry takes any prefill engine that it knows, so it is left to schedulers to choose one,
// and it is not told which versions have been in use: streams of which it has no record
// may have begun at another service.
func (h *Hub) adaptUpdate(s *subscription, u *pb.FeedUpdate) {
	h.mu.Lock()
	softwareOnly := s.softwareOnly
	h.mu.Unlock()
	if !softwareOnly {
		return
	}
	u.ObservedMs, u.ServiceVersions = 0, nil
	for i, r := range u.Upstreams {
		adapted := proto.CloneOf(r)
		adapted.SoftwareVersion = fleet.RunText(r)
		if r.Stage == pb.EngineStage_ENGINE_STAGE_PREFILL {
			adapted.Stage = pb.EngineStage_ENGINE_STAGE_NONE
		}
		u.Upstreams[i] = adapted
	}
}
