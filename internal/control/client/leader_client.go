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
	// attemptTimeout bounds one attempt. It is shorter than the lease TTL, so
	// that the daemon's leases are still valid when the client gives up on a
	// member that does not respond.
	attemptTimeout = time.Second
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxRedirects is the number of redirects followed without a pause. It
	// prevents a busy loop between two members that redirect to each other.
	maxRedirects = 3
	// maxSessions bounds the open sessions, because redirects can add addresses
	// beyond the configured ones.
	maxSessions = 16
)

// storeBucket selects the leader of the group of configuration and leases. The
// buckets of ledger keys start after it.
const storeBucket = 0

func keyBucket(organisation, key string) uint32 {
	return 1 + bucket.Of(organisation, key)
}

// leaderClient sends each call to the leader of its bucket and retries it on
// other members.
type leaderClient struct {
	addrs []string
	opts  transport.Options

	mu       sync.Mutex
	sessions map[string]*transport.Client
	// leaders holds the address believed to lead each bucket, empty when
	// unknown.
	leaders  [bucket.Count + 1]string
	nextAddr int
}

func newLeaderClient(opts Options) *leaderClient {
	c := &leaderClient{
		addrs:    opts.Addrs,
		opts:     transport.Options{Self: opts.Self, TLS: opts.TLS, Clock: opts.Recorder.Clock(), Logger: opts.Logger},
		sessions: map[string]*transport.Client{},
	}
	if len(c.addrs) > 0 {
		// A random start distributes daemons that start together over the
		// members.
		c.nextAddr = rand.IntN(len(c.addrs))
	}
	return c
}

// addressFor returns the address to try for a bucket.
func (c *leaderClient) addressFor(b uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.leaders[b]; a != "" {
		return a
	}
	// One member usually leads all groups.
	if a := c.leaders[storeBucket]; a != "" {
		return a
	}
	if len(c.addrs) == 0 {
		return ""
	}
	return c.addrs[c.nextAddr%len(c.addrs)]
}

func (c *leaderClient) session(addr string) *transport.Client {
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

// setLeader records addr as the leader of the bucket.
func (c *leaderClient) setLeader(b uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[b] = addr
}

// forgetLeader clears addr as the leader of the bucket and of storeBucket, and
// selects the next configured address.
func (c *leaderClient) forgetLeader(b uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[b] == addr {
		c.leaders[b] = ""
	}
	if c.leaders[storeBucket] == addr {
		c.leaders[storeBucket] = ""
	}
	c.nextAddr++
}

// do retries a call until it succeeds, ctx ends, or it fails with an error that
// is not retryable. sent is the time just before the last attempt was sent.
func (c *leaderClient) do(ctx context.Context, m transport.Method, b uint32, req, resp proto.Message) (sent time.Time, err error) {
	delay := minBackoff
	redirects := 0
	for {
		addr := c.addressFor(b)
		if addr == "" {
			return sent, errors.New("no control address is configured")
		}
		sent = time.Now()
		err = c.callOnce(ctx, addr, m, req, resp)
		if err == nil {
			c.setLeader(b, addr)
			return sent, nil
		}
		if !retryable(err) {
			return sent, err
		}
		if c.followRedirect(b, addr, err) && redirects < maxRedirects {
			redirects++
			continue
		}
		redirects = 0
		if sleepJittered(ctx, delay) != nil {
			return sent, errors.Wrap(err, "calling control store")
		}
		delay = min(2*delay, maxBackoff)
	}
}

func (c *leaderClient) callOnce(ctx context.Context, addr string, m transport.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	proto.Reset(resp)
	return c.session(addr).Call(ctx, m, req, resp)
}

// followRedirect switches the bucket to another address after an error and
// reports whether the error was a redirect to that address.
func (c *leaderClient) followRedirect(b uint32, addr string, err error) bool {
	var e *transport.Error
	if errors.As(err, &e) && e.Code == pb.Status_NOT_LEADER && e.Redirect != "" && e.Redirect != addr {
		c.setLeader(b, e.Redirect)
		return true
	}
	c.forgetLeader(b, addr)
	return false
}

func retryable(err error) bool {
	switch transport.Code(err) {
	case pb.Status_NOT_LEADER, pb.Status_UNAVAILABLE, pb.Status_DEADLINE:
		return true
	}
	return false
}

func (c *leaderClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.Close()
	}
}

// sleepJittered waits for a random time between d/2 and d.
func sleepJittered(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
