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
	// acquireRetryInterval is the longest pause before an acquisition is retried,
	// usually because another client holds the lease.
	acquireRetryInterval = 500 * time.Millisecond
	// renewTimeout bounds one renewal with its retries.
	renewTimeout = lease.DefaultTTL / 3
	// releaseTimeout bounds the release of a lease. If it fails, the lease
	// expires.
	releaseTimeout = time.Second
)

// HoldLease acquires and renews a pool lease until ctx ends, and acquires it
// again after a loss. onAcquire is called with the fencing token of each new
// lease. onLose is called when that lease is lost, before another client can hold
// it, or when ctx ends. The callbacks alternate and run on the goroutine of
// HoldLease, so they must return quickly. Work that must not outlive the lease
// must also check HoldsLease.
func (c *Client) HoldLease(ctx context.Context, name string, preference uint32, onAcquire func(token uint64), onLose func()) error {
	for ctx.Err() == nil {
		token, ok := c.acquire(ctx, name, preference)
		if !ok {
			_ = sleepJittered(ctx, acquireRetryInterval)
			continue
		}
		c.leaseEvent("lease.acquired", name, token)
		onAcquire(token)
		c.renewUntilLost(ctx, name, token)
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
	return c.HoldsLease(name)
}

// renewUntilLost renews the lease until it is lost or ctx ends.
func (c *Client) renewUntilLost(ctx context.Context, name string, token uint64) {
	for {
		until, interval := c.leaseTimes(name, token)
		if !time.Now().Before(until) {
			return
		}
		// The renewal runs on its own goroutine, so that a blocked one cannot
		// delay the detection of the expiry.
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

// leaseTimes returns the expiry of the lease and the time between renewals, or
// zero values when the lease is not held under the token.
func (c *Client) leaseTimes(name string, token uint64) (until time.Time, interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[name]
	if a == nil {
		return time.Time{}, 0
	}
	if held, ok := a.Held(time.Now()); !ok || held != token {
		return time.Time{}, 0
	}
	return a.Expiry(), a.RenewalInterval()
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

// jitter returns a random duration within 10% of d, so that hundreds of daemons
// do not call at the same time.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}

func leaseLabel(name string, token uint64) string {
	return fmt.Sprintf("%s#%d", name, token)
}
