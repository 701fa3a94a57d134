package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

var errSessionEnded = errors.New("the session to the scheduler ended")

// submit submits to the pool's scheduler, and again when that fails or the pool
// gets another scheduler, until ctx ends.
func (q *pool) submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	err := errors.New("no scheduler holds pool " + q.name)
	for ctx.Err() == nil {
		s := q.current()
		if s == nil {
			sleep(ctx, leasePollInterval)
			continue
		}
		var resp *pb.SubmitResponse
		resp, err = q.submitTo(ctx, s, req)
		if err == nil && resp.GetRefusal().GetCode() != pb.Refusal_NOT_HOLDER {
			return resp, nil
		}
		sleep(ctx, leasePollInterval)
	}
	return nil, errors.Wrap(err, "submitting")
}

// TrySubmit submits once to the pool's scheduler. It fails at once when there is no
// session, and when no message arrives within heartbeatTimeout.
func (sc *SchedulerClients) TrySubmit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	q := sc.pool(req.Pool)
	s := q.current()
	if s == nil {
		return nil, errSessionEnded
	}
	return q.submitTo(ctx, s, req)
}

// heartbeatTimeout is the longest wait for a message about a submission. It is more
// than two and a half of the 150 ms intervals at which the scheduler sends Queued as
// a heartbeat, so that it expires after two missed heartbeats.
const heartbeatTimeout = 400 * time.Millisecond

// errHeartbeatTimeout means that the scheduler sent nothing for heartbeatTimeout.
var errHeartbeatTimeout = errors.New("the scheduler shows no sign of life")

type submitReply struct {
	resp *pb.SubmitResponse
	err  error
}

// submitTo submits once. When it gives up, it closes the sending side of the
// stream, which tells the scheduler that the submission is withdrawn, and
// releases a grant that the scheduler made before it received that.
func (q *pool) submitTo(ctx context.Context, s *session, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	stream, err := s.client.Open(ctx, transport.MethodSubmit)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(req); err != nil {
		_ = stream.Close()
		return nil, err
	}
	reply := make(chan submitReply, 1)
	heartbeatTimer := time.NewTimer(heartbeatTimeout)
	defer heartbeatTimer.Stop()
	go func() {
		for {
			resp := &pb.SubmitResponse{}
			err := stream.Recv(resp)
			if err == nil && resp.GetQueued() != nil {
				heartbeatTimer.Reset(heartbeatTimeout)
				continue
			}
			reply <- submitReply{resp, err}
			return
		}
	}()
	select {
	case <-heartbeatTimer.C:
		err = errHeartbeatTimeout
	case r := <-reply:
		_ = stream.Close()
		if r.err != nil {
			return nil, r.err
		}
		if !q.trackHold(s, req, r.resp.GetGrant()) {
			q.releaseGrant(r)
			return nil, errSessionEnded
		}
		return r.resp, nil
	case <-s.ended:
		err = errSessionEnded
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = stream.Close()
	q.awaitLateGrant(reply)
	return nil, err
}

// trackHold adds a granted hold to the holds of the pool. It returns false when s
// is no longer in use: the next session may have restated the holds without it.
func (q *pool) trackHold(s *session, req *pb.SubmitRequest, g *pb.Grant) bool {
	if g == nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.session != s {
		return false
	}
	q.budgetUse.add(s.lease.FencingToken, req, time.Now())
	q.holds[g.HoldId] = &pb.Hold{
		HoldId: g.HoldId, RequestId: req.RequestId, Attempt: req.Attempt,
		PrefillId: g.Prefill.GetId(), DecodeId: g.Decode.GetId(), Pieces: g.Pieces,
		RequestClass: req.RequestClass, PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens, Model: req.Model,
	}
	return true
}

// awaitLateGrant waits in the background for the reply to a withdrawn submission
// and releases its grant. Pending counts the wait, so that a drain includes it.
func (q *pool) awaitLateGrant(reply <-chan submitReply) {
	q.owner.pendingReleases.Add(1)
	go func() {
		defer q.owner.pendingReleases.Add(-1)
		ctx, cancel := context.WithTimeout(q.owner.ctx, lateGrantTimeout)
		defer cancel()
		select {
		case r := <-reply:
			q.releaseGrant(r)
		case <-ctx.Done():
		}
	}()
}

// releaseGrant releases the grant in a reply that is not used, if there is one.
func (q *pool) releaseGrant(r submitReply) {
	if g := r.resp.GetGrant(); r.err == nil && g != nil {
		q.queueRelease(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_NOT_STARTED})
	}
}
