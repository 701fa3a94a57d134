package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// callScheduler calls the scheduler that holds the lease of a pool.
func (o *operatorService) callScheduler(ctx context.Context, l *pb.PoolLease, m transport.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, schedulerCallTimeout)
	defer cancel()
	return o.connectError(o.schedulers.get(l.Address).Call(ctx, m, req, resp))
}
