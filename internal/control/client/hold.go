package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/lease"
)

const (
	// askInterval is the time between two attempts to acquire a lease that
	// another client holds.
	askInterval = 500 * time.Millisecond
	// renewTimeout bounds one renewal with its retries.
	renewTimeout = lease.DefaultTTL / 3
	// releaseTimeout bounds the release at the end; the lease lapses anyway.
	releaseTimeout = time.Second
)

// HoldLease acquires and keeps a pool lease until ctx ends, and acquires it
// again after a loss. onAcquire is called with the fencing token of each new
// lease; onLose is called when the lease is lost, before another client can
// hold it, and at the end. The two alternate and run on the goroutine of
// HoldLease, so they must return quickly. Work that must not outlive the lease
// also asks Holding.
func (c *Client) HoldLease(ctx context.Context, name string, preference uint32, onAcquire func(token uint64), onLose func()) error {
	for ctx.Err() == nil {
		token, ok := c.acquire(ctx, name, preference)
		if !ok {
			_ = pause(ctx, askInterval)
			continue
		}
		c.leaseEvent("lease.acquired", name, token)
		onAcquire(token)
		c.keep(ctx, name, token)
		onLose()
		c.leaseEvent("lease.lost", name, token)
		c.release(name, token)
	}
	return ctx.Err()
}

func (c *Client) acquire(ctx context.Context, name string, preference uint32) (token uint64, ok bool) {
	callCtx, cancel := context.WithTimeout(ctx, lease.DefaultTTL)
	defer cancel()
	if _, err := c.AcquireLease(callCtx, name, preference); err != nil || ctx.Err() != nil {
		return 0, false
	}
	return c.Holding(name)
}

// keep renews until the lease ends or ctx does.
func (c *Client) keep(ctx context.Context, name string, token uint64) {
	for {
		until, interval := c.holdTimes(name, token)
		if !time.Now().Before(until) {
			return
		}
		// Renewals run beside the wait, so that one that hangs cannot delay
		// the end of the lease.
		done := make(chan struct{})
		renewCtx, cancel := context.WithDeadline(ctx, until)
		go func() {
			defer close(done)
			c.renewAfter(renewCtx, jitter(interval), name, token)
		}()
		expiry := time.NewTimer(time.Until(until))
		select {
		case <-done:
		case <-expiry.C:
		case <-ctx.Done():
		}
		expiry.Stop()
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

func (c *Client) renewAfter(ctx context.Context, wait time.Duration, name string, token uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	_, _ = c.RenewLease(ctx, name, token)
}

// holdTimes returns the end of the lease, the zero time when it is not held
// under the token, and the time between renewals.
func (c *Client) holdTimes(name string, token uint64) (until time.Time, interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[name]
	if h == nil {
		return time.Time{}, 0
	}
	if held, ok := h.Held(time.Now()); !ok || held != token {
		return time.Time{}, 0
	}
	return h.Until(), h.RenewalInterval()
}

func (c *Client) release(name string, token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.ReleaseLease(ctx, name, token); err != nil {
		c.opts.Logger.Warn().Str("event", "lease.release_failed").Str("lease", name).Err(err).Msg("")
	}
}

func (c *Client) leaseEvent(kind, name string, token uint64) {
	c.opts.Recorder.Record(&pb.Event{Kind: kind, Lease: leaseLabel(name, token)})
}

// jitter returns d changed by up to a tenth, so that hundreds of daemons do
// not call at the same moment.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}

func leaseLabel(name string, token uint64) string {
	return fmt.Sprintf("%s#%d", name, token)
}
