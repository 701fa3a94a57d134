package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/lease"
)

// Options configure a Client.
type Options struct {
	// Addrs are the internal addresses of control members.
	Addrs []string
	// Self identifies this daemon; DaemonId must be unique among daemons.
	Self *pb.Hello
	// Address is the address of this daemon's internal listener, published in
	// the leases that it holds.
	Address string
	TLS     *tls.Config
	// Recorder and Logger may be nil.
	Recorder *timeline.Recorder
	Logger   *log.Logger
	// InFlight returns the requests in flight by route and service; may be nil.
	InFlight func() []*pb.InFlight
	// RenewInterval is the time between renewals of the serving lease; 0
	// means 1 s.
	RenewInterval time.Duration
}

const (
	defaultRenewInterval = time.Second
	// holderSuffixBytes is the length of the random part of holder names, which
	// makes them unique to one start of a process.
	holderSuffixBytes = 6
)

// leaseAttempt is one attempt to acquire and hold a lease, from the first request
// to the release or loss.
type leaseAttempt struct {
	lease.Holder
	// holderName identifies this attempt to the store and is never reused.
	holderName string
}

// Client is one daemon's connection to the control store. It is safe for
// concurrent use.
type Client struct {
	opts Options
	// holderPrefix is the common prefix of the holder names of this process.
	holderPrefix string
	leader       *leaderClient
	// renewNow triggers a renewal of the serving lease after a new version.
	renewNow chan struct{}
	// restartWatch ends the current watch, so that watchLoop opens a new one.
	restartWatch chan struct{}

	mu           sync.Mutex
	config       *pb.Config
	serving      lease.Holder
	leases       map[string]*pb.PoolLease
	attempts     map[string]*leaseAttempt
	attemptCount uint64
	// requiredVersion is a version that the store has required since
	// requiredSince and the watch has not delivered, 0 when there is none.
	requiredVersion uint64
	requiredSince   time.Time

	// callbackMu serialises the callbacks, so that they see versions in order.
	callbackMu sync.Mutex
	onConfig   []func(*pb.Config)
	onLeases   []func()
}

// New returns a client that connects on its first call or when Run is called.
func New(opts Options) *Client {
	if opts.RenewInterval == 0 {
		opts.RenewInterval = defaultRenewInterval
	}
	if opts.Self == nil {
		opts.Self = &pb.Hello{}
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Level: log.PanicLevel}
	}
	suffix := make([]byte, holderSuffixBytes)
	_, _ = rand.Read(suffix)
	return &Client{
		opts:         opts,
		holderPrefix: opts.Self.DaemonId + "#" + hex.EncodeToString(suffix),
		leader:       newLeaderClient(opts),
		renewNow:     make(chan struct{}, 1),
		restartWatch: make(chan struct{}, 1),
		leases:       map[string]*pb.PoolLease{},
		attempts:     map[string]*leaseAttempt{},
	}
}

// Run keeps the configuration and the serving lease up to date until ctx ends.
// It must be called once. Calls to the store work until it returns.
func (c *Client) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		c.watchLoop(ctx)
	}()
	go func() {
		defer wg.Done()
		c.renewLoop(ctx)
	}()
	wg.Wait()
	c.leader.close()
	return ctx.Err()
}

// Config returns the newest configuration received, nil before the first one. It
// must not be modified.
func (c *Client) Config() *pb.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// OnConfig registers a function that is called with each new configuration
// before its version is acknowledged to the store, and at once if a
// configuration has already been received. Calls are made in the order of
// versions and never concurrently; f must not call OnConfig or OnLeases.
func (c *Client) OnConfig(f func(*pb.Config)) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	c.onConfig = append(c.onConfig, f)
	if cfg := c.Config(); cfg != nil {
		f(cfg)
	}
}

// OnLeases registers a function that is called after each change of the pool
// leases; f must not call OnConfig or OnLeases.
func (c *Client) OnLeases(f func()) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	c.onLeases = append(c.onLeases, f)
}

// Serving reports whether this daemon holds a serving lease.
func (c *Client) Serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.serving.Held(time.Now())
	return ok
}

// Lease returns the pool lease of the given name as last received from the
// store.
func (c *Client) Lease(name string) (*pb.PoolLease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leases[name]
	return l, ok
}

// Leases returns all pool leases as last received from the store.
func (c *Client) Leases() []*pb.PoolLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*pb.PoolLease, 0, len(c.leases))
	for _, l := range c.leases {
		out = append(out, l)
	}
	return out
}

func (c *Client) version() uint64 {
	return c.Config().GetVersion()
}

// Claim claims the single run of a non-repeatable call. The claim is retried
// under the same request id until ctx ends. After an error the claim may have
// been committed, but the call must not be run.
func (c *Client) Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	resp := &pb.ClaimResponse{}
	_, err := c.leader.do(ctx, transport.MethodClaim, keyBucket(req.Organisation, req.Key), req, resp)
	return resp, err
}

// RecordOutcome reports the outcome of a claimed call. It is retried until ctx
// ends.
func (c *Client) RecordOutcome(ctx context.Context, req *pb.RecordRequest) error {
	_, err := c.leader.do(ctx, transport.MethodRecord, keyBucket(req.Organisation, req.Key), req, &pb.Empty{})
	return err
}

// AcquireLease requests a pool lease.
func (c *Client) AcquireLease(ctx context.Context, name string, preference uint32) (*pb.LeaseResponse, error) {
	a := c.attempt(name)
	req := &pb.AcquireLeaseRequest{Name: name, Holder: a.holderName, Address: c.opts.Address, Preference: preference}
	resp := &pb.LeaseResponse{}
	sent, err := c.leader.do(ctx, transport.MethodAcquireLease, storeBucket, req, resp)
	if err != nil {
		return nil, err
	}
	c.applyLeaseResponse(name, a, sent, resp)
	return resp, nil
}

// RenewLease extends a pool lease that this client holds.
func (c *Client) RenewLease(ctx context.Context, name string, token uint64) (*pb.LeaseResponse, error) {
	a := c.attempt(name)
	req := &pb.RenewLeaseRequest{Name: name, Holder: a.holderName, FencingToken: token}
	resp := &pb.LeaseResponse{}
	sent, err := c.leader.do(ctx, transport.MethodRenewLease, storeBucket, req, resp)
	if err != nil {
		return nil, err
	}
	c.applyLeaseResponse(name, a, sent, resp)
	return resp, nil
}

// ReleaseLease releases a pool lease. This client treats the lease as lost from
// the start of the call, even when the call fails.
func (c *Client) ReleaseLease(ctx context.Context, name string, token uint64) error {
	a := c.endAttempt(name)
	req := &pb.ReleaseLeaseRequest{Name: name, Holder: a.holderName, FencingToken: token}
	_, err := c.leader.do(ctx, transport.MethodReleaseLease, storeBucket, req, &pb.Empty{})
	return err
}

// attempt returns the current attempt to hold a lease and starts one if there is
// none.
func (c *Client) attempt(name string) *leaseAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[name]
	if a == nil {
		c.attemptCount++
		a = &leaseAttempt{holderName: fmt.Sprintf("%s.%d", c.holderPrefix, c.attemptCount)}
		c.attempts[name] = a
	}
	return a
}

// endAttempt ends the current attempt. Responses to its outstanding requests no
// longer have an effect.
func (c *Client) endAttempt(name string) *leaseAttempt {
	a := c.attempt(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.MarkLost()
	delete(c.attempts, name)
	return a
}

// applyLeaseResponse applies the response to an acquisition or renewal that was
// sent at the given time.
func (c *Client) applyLeaseResponse(name string, a *leaseAttempt, sent time.Time, resp *pb.LeaseResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !resp.Granted {
		a.MarkLost()
		if c.attempts[name] == a {
			delete(c.attempts, name)
		}
		return
	}
	a.Extend(resp.Lease.GetFencingToken(), sent, time.Duration(resp.TtlMs)*time.Millisecond)
}

// HoldsLease reports whether this client holds the named lease now, by the
// monotonic clock, and returns its fencing token. A scheduler calls it before
// each decision that only the holder may make.
func (c *Client) HoldsLease(name string) (token uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[name]
	if a == nil {
		return 0, false
	}
	return a.Held(time.Now())
}
