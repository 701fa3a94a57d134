package control

import (
	"context"
	"crypto/sha256"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/bucket"
	"godwitward.example/godwitward/internal/transport"
)

// shardGroup returns the group of the shard that holds a ledger key.
func (s *Server) shardGroup(organisation, key string) uint32 {
	return 1 + bucket.Of(organisation, key)%uint32(len(s.shards))
}

func (s *Server) claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	if req.Key == "" || req.RequestId == "" || len(req.Digest) != sha256.Size {
		return nil, transport.Errorf(pb.Status_INVALID, "a claim needs a key, a request_id and a digest of %d bytes", sha256.Size)
	}
	res, err := s.proposeLedger(ctx, commandClaim, s.shardGroup(req.Organisation, req.Key), req)
	if err != nil {
		return nil, err
	}
	resp, ok := res.(*pb.ClaimResponse)
	if !ok {
		return nil, transport.Errorf(pb.Status_UNKNOWN, "claim returned %T", res)
	}
	return resp, nil
}

func (s *Server) record(ctx context.Context, req *pb.RecordRequest) (*pb.Empty, error) {
	if req.Key == "" || req.RequestId == "" {
		return nil, transport.Errorf(pb.Status_INVALID, "a record needs a key and a request_id")
	}
	res, err := s.proposeLedger(ctx, commandRecordOutcome, s.shardGroup(req.Organisation, req.Key), req)
	if err != nil {
		return nil, err
	}
	if recorded, ok := res.(bool); !ok || !recorded {
		return nil, transport.Errorf(pb.Status_NOT_FOUND, "request %s holds no claim of this key", req.RequestId)
	}
	return &pb.Empty{}, nil
}

// proposeLedger proposes a ledger command with the time of this member's clock.
// The ledger ignores a time below the highest one it has seen.
func (s *Server) proposeLedger(ctx context.Context, kind commandKind, group uint32, req proto.Message) (any, error) {
	if _, self, _ := s.replicator.Leader(group); !self {
		return nil, s.notLeaderError(group)
	}
	data, err := encodeWithPrefix(kind, uint64(time.Now().UnixMilli()), req)
	if err != nil {
		return nil, err
	}
	return s.propose(ctx, group, data)
}
