package feed

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// recordsFor returns records of streams as a peer is sent them: one that may keep only a part
// of them gets them wrapped too.
func recordsFor(peer *pb.Hello, list []*pb.StreamVersion, tellsRun func(service string) bool) []*pb.StreamVersion {
	if len(list) == 0 || protocol.Of(peer).KeepsRunVersions() {
		return list
	}
	return fleet.WithWrapped(list, tellsRun)
}

// reportFor returns an entry's report as a hub is sent it.
func (s *Subscriber) reportFor(hub *pb.Hello, report *pb.OutcomeReport) *pb.OutcomeReport {
	if len(report.StreamVersions) == 0 || protocol.Of(hub).KeepsRunVersions() {
		return report
	}
	report = proto.CloneOf(report)
	report.StreamVersions = fleet.WithWrapped(report.StreamVersions, s.softwareTellsRun)
	return report
}

func (s *Subscriber) softwareTellsRun(service string) bool {
	return s.opts.SoftwareTellsRun == nil || s.opts.SoftwareTellsRun(service)
}

// callStreamVersion asks one hub about a stream. One that may keep only a part of a record is
// asked for the wrapped one too.
func callStreamVersion(ctx context.Context, client *transport.Client, req *pb.StreamVersionRequest) (*pb.StreamVersionResponse, error) {
	resp := &pb.StreamVersionResponse{}
	err := client.Call(ctx, transport.MethodStreamVersion, req, resp)
	if err != nil || resp.Stream != nil || protocol.Of(client.Peer()).KeepsRunVersions() {
		return resp, err
	}
	wrapped := &pb.StreamVersionResponse{}
	id := fleet.WrappedID(req.Id)
	err = client.Call(ctx, transport.MethodStreamVersion, &pb.StreamVersionRequest{Id: id}, wrapped)
	resp.Stream = fleet.Unwrap(&pb.StreamVersion{Id: id, Version: wrapped.SoftwareVersion})
	return resp, err
}

// otherSoftware stands for a software version beside those in use at a service whose upstreams
// go on with different runs although their software is the same. Entries of builds before
// protocol.RunVersions, which choose by software alone, then take up no stream of which they
// know only that there is one version. No request names the model, so entries that tell runs
// apart don't count it.
var otherSoftware = policy.RunVersions{Software: fleet.OtherSoftware, Model: "\x01none"}

// addForOldEntry adds to an update what keeps an entry that may tell runs apart by their
// software alone from joining different ones.
func (h *Hub) addForOldEntry(u *pb.FeedUpdate) {
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

// addSoftware adds the software version of a stream to an answer, if all upstreams with it
// go on with the same run.
func (h *Hub) addSoftware(resp *pb.StreamVersionResponse, v policy.StreamVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.softwareTellsRun()(v.Versions.Service) {
		resp.SoftwareKnown, resp.SoftwareVersion = true, v.Versions.Software
	}
}

// softwareTellsRun returns a function that reports whether upstreams of a service that are
// chosen by their software alone go on with each other's runs, as far as the hub knows. The
// caller holds mu, also while it uses the function.
func (h *Hub) softwareTellsRun() func(service string) bool {
	now := h.now()
	shared := sync.OnceValue(func() map[string]bool { return h.routes.current.Shared(&h.routes.services, now) })
	return func(service string) bool {
		history := h.byService[service]
		return !shared()[service] && (history == nil || history.SoftwareTellsRun(now))
	}
}
