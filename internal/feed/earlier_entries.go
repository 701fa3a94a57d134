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
	"godwitward.example/godwitward/policy"
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

// adaptUpdate changes an update for an entry of a build before protocol.RunVersions. Until it
// has sent a record, it may be one that compares software versions only. One that does takes
// any prefill engine that it knows, so it is left to schedulers to choose one, and it is not
// told which versions have been in use: streams of which it has no record may have begun at
// another service.
func (h *Hub) adaptUpdate(s *subscription, u *pb.FeedUpdate) {
	if protocol.Of(s.entry).KeepsRunVersions() {
		return
	}
	h.mu.Lock()
	softwareOnly := s.softwareOnly
	h.mu.Unlock()
	if !softwareOnly {
		h.addOtherSoftware(u)
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

// otherSoftware stands for a software version beside those in use at a service whose upstreams
// go on with different runs although their software is the same. Entries of builds before
// protocol.RunVersions, which choose by software alone, then take up no stream of which they
// know only that there is one version. No request names the model, so entries that tell runs
// apart count it for requests without a model only.
var otherSoftware = policy.RunVersions{Software: fleet.OtherSoftware, Model: "\x01none"}

// addOtherSoftware adds to an update what keeps an entry that may tell runs apart by their
// software alone from joining different ones.
func (h *Hub) addOtherSoftware(u *pb.FeedUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, tellsRun := h.now(), h.softwareTellsRun()
	for service := range h.byService {
		if tellsRun(service) {
			continue
		}
		other := otherSoftware
		other.Service = service
		u.ServiceVersions = append(u.ServiceVersions, fleet.EncodeServiceVersion(other, now, now))
	}
}
