package forward

import (
	"context"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// target is one upstream process as this entry sees it. id and address do not
// change; mu guards the other fields. The content of a record is immutable.
type target struct {
	id      string
	address string
	born    int64
	// outcomes counts the calls for the core.
	outcomes *outcomeLog

	mu     sync.Mutex
	record *pb.UpstreamRecord
	// silentSince is when the record was marked silent.
	silentSince time.Time
	// misdirected is set when the address answered for another process.
	misdirected bool
	health      policy.Health
	load        policy.EngineLoad
	idle        []*conn
	// othersErrors is the share of failed calls at all entries until othersUntil.
	othersErrors float64
	othersUntil  time.Duration
}

// use counts a request that begins at the target.
func (t *target) use(w policy.Work) {
	t.mu.Lock()
	t.load.Begin(w)
	t.mu.Unlock()
}

func (t *target) unuse(w policy.Work) {
	t.mu.Lock()
	t.load.End(w)
	t.mu.Unlock()
}

// report takes a load that the upstream stated.
func (t *target) report(l *Load, now time.Duration) {
	if l == nil {
		return
	}
	t.mu.Lock()
	t.load.Reported(l.Running, l.Waiting, now)
	t.mu.Unlock()
}

func (t *target) succeeded(now time.Duration) {
	t.mu.Lock()
	t.health.Succeeded(now)
	t.mu.Unlock()
	t.outcomes.add(t, false)
}

func (t *target) failed(now time.Duration, fault policy.Fault) {
	t.mu.Lock()
	t.health.Failed(now, fault)
	t.mu.Unlock()
	// An upstream that this entry cannot reach may serve the others.
	if fault == policy.FaultError {
		t.outcomes.add(t, true)
	}
}

// resting reports whether the target is left alone while others can serve.
func (t *target) resting(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.InBackoff(now)
}

// take returns an idle connection that works, nil when there is none.
func (t *target) take(now time.Time) *conn {
	for {
		c := t.pop()
		if c == nil || c.alive(now) {
			return c
		}
		_ = c.Close()
	}
}

func (t *target) pop() *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.idle)
	if n == 0 {
		return nil
	}
	c := t.idle[n-1]
	t.idle = t.idle[:n-1]
	return c
}

// maxIdle bounds the idle connections to one upstream.
const maxIdle = 4

// give keeps a connection for the next request.
func (t *target) give(c *conn) {
	t.mu.Lock()
	keep := len(t.idle) < maxIdle && t.record.Phase != pb.UpstreamPhase_UPSTREAM_GONE
	if keep {
		t.idle = append(t.idle, c)
	}
	t.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// closeIdle closes connections that have expired, or all of them.
func (t *target) closeIdle(now time.Time, all bool) {
	t.mu.Lock()
	var closing []*conn
	kept := t.idle[:0]
	for _, c := range t.idle {
		if all || now.After(c.expires) {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	t.idle = kept
	t.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// connect returns an idle connection or a new one.
func (t *target) connect(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if c := t.take(time.Now()); c != nil {
			return c, nil
		}
	}
	return dial(ctx, t.address)
}
