package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/forward"
)

// permits implements forward.SendPermits with the leader of the core.
type permits struct {
	subscriber *feed.Subscriber
	logger     *log.Logger
	// backoffUntil is the end of the backoff after a failed call, in Unix nanoseconds.
	backoffUntil atomic.Int64
}

// Acquire implements forward.SendPermits.
func (p *permits) Acquire(ctx context.Context, upstreams []forward.LimitedUpstream, maxWait time.Duration) (forward.SendPermit, error) {
	if time.Now().UnixNano() < p.backoffUntil.Load() {
		return forward.SendPermit{}, forward.ErrNoScheduler
	}
	req := &pb.SendPermitRequest{MaxWaitMs: millis(maxWait)}
	for _, u := range upstreams {
		req.Upstreams = append(req.Upstreams, &pb.UpstreamStatement{Id: u.ID, BornMs: u.BornMs, Limit: u.PerSecond, AgeMs: millis(u.Age)})
	}
	resp, err := p.subscriber.AcquireSendPermit(ctx, req)
	if err != nil {
		p.backoffUntil.Store(time.Now().Add(unresponsiveBackoff).UnixNano())
		p.logger.Warn().Str("event", "permit.unanswered").Err(err).Msg("")
		return forward.SendPermit{}, err
	}
	wait := time.Duration(resp.WaitMs) * time.Millisecond
	if resp.Id == "" {
		return forward.SendPermit{}, &forward.NoPermitError{RetryAfter: wait}
	}
	return forward.SendPermit{ID: resp.Id, Wait: wait}, nil
}
