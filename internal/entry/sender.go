package entry

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// sendersPerPool is the maximum number of concurrent progress and release calls.
	// With a round trip of 1 ms, each sender delivers 1,000 messages per second.
	sendersPerPool = 8
	// maxQueuedProgress is the queue length from which a sender drops progress
	// reports.
	maxQueuedProgress = 256
	minReleaseBackoff = 50 * time.Millisecond
	maxReleaseBackoff = time.Second
)

var holdHashSeed = maphash.MakeSeed()

// message is a progress report or a release, addressed to the session that was in
// use when it was queued.
type message struct {
	method    transport.Method
	body      proto.Message
	session   *session
	isRelease bool
}

// sender delivers messages in order. Each hold belongs to one sender.
type sender struct {
	pool *pool
	wake chan struct{}

	mu    sync.Mutex
	queue []message
}

func newSender(q *pool) *sender {
	return &sender{pool: q, wake: make(chan struct{}, 1)}
}

func (q *pool) senderFor(holdID string) *sender {
	return q.senders[maphash.String(holdHashSeed, holdID)%sendersPerPool]
}

func (q *pool) queueProgress(req *pb.ProgressRequest) {
	q.mu.Lock()
	if h, ok := q.holds[req.HoldId]; ok {
		// Replaced, not modified, because restate may be encoding the old value.
		h = proto.Clone(h).(*pb.Hold)
		h.Stage = req.Stage
		q.holds[req.HoldId] = h
	}
	s := q.session
	q.mu.Unlock()
	if s == nil || !q.senderFor(req.HoldId).enqueue(message{method: transport.MethodProgress, body: req, session: s}) {
		q.owner.droppedProgress.Add(1)
	}
}

// queueRelease removes the hold and queues the release. Without a session it
// queues nothing, because the next session restates only the remaining holds.
func (q *pool) queueRelease(req *pb.ReleaseRequest) {
	q.mu.Lock()
	delete(q.holds, req.HoldId)
	s := q.session
	q.mu.Unlock()
	if s == nil {
		return
	}
	q.owner.pendingReleases.Add(1)
	q.senderFor(req.HoldId).enqueue(message{method: transport.MethodRelease, body: req, session: s, isRelease: true})
}

// enqueue reports whether the message was queued. Releases are never dropped.
func (s *sender) enqueue(m message) bool {
	s.mu.Lock()
	if !m.isRelease && len(s.queue) >= maxQueuedProgress {
		s.mu.Unlock()
		return false
	}
	s.queue = append(s.queue, m)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func (s *sender) run() {
	ctx := s.pool.owner.ctx
	for {
		s.mu.Lock()
		batch := s.queue
		s.queue = nil
		s.mu.Unlock()
		for _, m := range batch {
			s.deliver(ctx, m)
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
	}
}

// delivered reports whether a call needs no retry: the scheduler accepted it or
// found it invalid, does not know the hold, or no longer holds the pool's lease.
func delivered(err error) bool {
	switch transport.Code(err) {
	case pb.Status_OK, pb.Status_NOT_FOUND, pb.Status_NOT_HOLDER, pb.Status_INVALID:
		return true
	}
	return false
}

// deliver sends a message. A release is retried until it is delivered or the
// session ends; the next session restates only the remaining holds.
func (s *sender) deliver(ctx context.Context, m message) {
	if m.isRelease {
		defer s.pool.owner.pendingReleases.Add(-1)
	}
	for backoff := minReleaseBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxReleaseBackoff) {
		select {
		case <-m.session.ended:
			return
		default:
		}
		callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
		err := m.session.client.Call(callCtx, m.method, m.body, &pb.Empty{})
		cancel()
		if delivered(err) {
			return
		}
		if !m.isRelease {
			s.pool.owner.droppedProgress.Add(1)
			return
		}
		sleep(ctx, backoff)
	}
}
