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

// addSoftware adds the software version of a stream to an answer, if all upstreams with it
// go on with the same run. The caller holds mu.
func (h *Hub) addSoftware(resp *pb.StreamVersionResponse, v policy.StreamVersion) {
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
