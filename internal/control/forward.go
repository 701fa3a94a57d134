package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// forward calls the holder of a pool's lease.
func (o *operators) forward(ctx context.Context, l *pb.PoolLease, m transport.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return o.connectError(o.peers.get(l.Address).Call(ctx, m, req, resp))
}
