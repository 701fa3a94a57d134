package feed

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
)

// recordsFor returns records of streams as a peer is sent them: one that may keep only a part
// of them gets them wrapped too.
func recordsFor(peer *pb.Hello, list []*pb.StreamVersion) []*pb.StreamVersion {
	if len(list) == 0 || protocol.Of(peer).KeepsRunVersions() {
		return list
	}
	return fleet.WithWrapped(list)
}

// reportFor returns an entry's report as a hub is sent it.
func reportFor(hub *pb.Hello, report *pb.OutcomeReport) *pb.OutcomeReport {
	if len(report.StreamVersions) == 0 || protocol.Of(hub).KeepsRunVersions() {
		return report
	}
	report = proto.CloneOf(report)
	report.StreamVersions = fleet.WithWrapped(report.StreamVersions)
	return report
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
