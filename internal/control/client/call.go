package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/bucket"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// attemptTimeout bounds one attempt, so that a silent member is left
	// while the daemon's leases still run.
	attemptTimeout = time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxRedirects is the number of redirects followed without a pause; two
	// members that name each other must not cause a busy loop.
	maxRedirects = 3
	// maxSessions bounds the addresses learned by redirect.
	maxSessions = 16
)

// storeBucket selects the leader of configuration and leases; the buckets of
// ledger keys follow it.
const storeBucket = 0

func keyBucket(organisation, key string) uint32 {
	return 1 + bucket.Of(organisation, key)
}

// caller sends calls to the leader of a bucket.
type caller struct {
	addrs []string
	opts  transport.Options

	mu       sync.Mutex
	sessions map[string]*transport.Client
	// leaders holds the address that last answered for each bucket.
	leaders [bucket.Count + 1]string
	next    int
}

func newCaller(opts Options) *caller {
	c := &caller{
		addrs:    opts.Addrs,
		opts:     transport.Options{Self: opts.Self, TLS: opts.TLS, Clock: opts.Recorder.Clock(), Logger: opts.Logger},
		sessions: map[string]*transport.Client{},
	}
	if len(c.addrs) > 0 {
		// Daemons that start together spread over the members.
		c.next = rand.IntN(len(c.addrs))
	}
	return c
}

// target returns the address to try for a bucket.
func (c *caller) target(b uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.leaders[b]; a != "" {
		return a
	}
	// The members usually lead all groups together.
	if a := c.leaders[storeBucket]; a != "" {
		return a
	}
	if len(c.addrs) == 0 {
		return ""
	}
	return c.addrs[c.next%len(c.addrs)]
}

func (c *caller) session(addr string) *transport.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.sessions[addr]; ok {
		return s
	}
	if len(c.sessions) >= maxSessions {
		for a, s := range c.sessions {
			s.Close()
			delete(c.sessions, a)
		}
	}
	s := transport.NewClient(addr, c.opts)
	c.sessions[addr] = s
	return s
}

// found notes that addr answers for the bucket.
func (c *caller) found(b uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[b] = addr
}

// failed forgets addr as the leader of the bucket and moves to the next member.
func (c *caller) failed(b uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[b] == addr {
		c.leaders[b] = ""
	}
	if c.leaders[storeBucket] == addr {
		c.leaders[storeBucket] = ""
	}
	c.next++
}

// do repeats a call until it is answered, ctx ends, or the answer is an error
// that a repetition cannot change. sent is the time before the answered attempt
// was sent.
func (c *caller) do(ctx context.Context, m transport.Method, b uint32, req, resp proto.Message) (sent time.Time, err error) {
	delay := minBackoff
	redirects := 0
	for {
		addr := c.target(b)
		if addr == "" {
			return sent, errors.New("no control address is configured")
		}
		sent = time.Now()
		err = c.attempt(ctx, addr, m, req, resp)
		if err == nil {
			c.found(b, addr)
			return sent, nil
		}
		if !retryable(err) {
			return sent, err
		}
		if c.follow(b, addr, err) && redirects < maxRedirects {
			redirects++
			continue
		}
		redirects = 0
		if pause(ctx, delay) != nil {
			return sent, errors.Wrap(err, "calling control store")
		}
		delay = min(2*delay, maxBackoff)
	}
}

func (c *caller) attempt(ctx context.Context, addr string, m transport.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	proto.Reset(resp)
	return c.session(addr).Call(ctx, m, req, resp)
}

// follow moves the bucket to another address after an error and reports whether
// the error named it.
func (c *caller) follow(b uint32, addr string, err error) bool {
	var e *transport.Error
	if errors.As(err, &e) && e.Code == pb.Status_NOT_LEADER && e.Redirect != "" && e.Redirect != addr {
		c.found(b, e.Redirect)
		return true
	}
	c.failed(b, addr)
	return false
}

func retryable(err error) bool {
	switch transport.Code(err) {
	case pb.Status_NOT_LEADER, pb.Status_UNAVAILABLE, pb.Status_DEADLINE:
		return true
	}
	return false
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.Close()
	}
}

// pause waits for about d, between half of it and all of it.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
