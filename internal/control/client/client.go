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
	// Self names this daemon; DaemonId must be unique among daemons.
	Self *pb.Hello
	// Address is this daemon's internal listener, told to others in the
	// leases that it holds.
	Address string
	TLS     *tls.Config
	// Recorder and Logger may be nil.
	Recorder *timeline.Recorder
	Logger   *log.Logger
	// InFlight reports requests in flight by route and service; may be nil.
	InFlight func() []*pb.InFlight
	// RenewInterval is the time between renewals of the serving lease; 0
	// means 1 s.
	RenewInterval time.Duration
}

const (
	defaultRenewInterval = time.Second
	// holderSuffixBytes makes holder names unique to one start of a process.
	holderSuffixBytes = 6
)

// hold is one attempt to hold a lease, from the first request to its release.
type hold struct {
	lease.Holder
	// name is the holder name, used for this attempt only.
	name string
}

// Client is one daemon's connection to the control store. It is safe for
// concurrent use.
type Client struct {
	opts Options
	// holderBase begins every holder name of this process.
	holderBase string
	calls      *caller
	// applied wakes the renewal of the serving lease after a new version.
	applied chan struct{}
	// rewatch ends the present watch.
	rewatch chan struct{}

	mu        sync.Mutex
	config    *pb.Config
	serving   lease.Holder
	leases    map[string]*pb.PoolLease
	held      map[string]*hold
	holds     uint64
	required  uint64
	requiredT time.Time

	// notify serialises callbacks, so that they see versions in order.
	notify   sync.Mutex
	onConfig []func(*pb.Config)
	onLeases []func()
}

// New returns a client that connects when it is run.
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
		opts:       opts,
		holderBase: opts.Self.DaemonId + "#" + hex.EncodeToString(suffix),
		calls:      newCaller(opts),
		applied:    make(chan struct{}, 1),
		rewatch:    make(chan struct{}, 1),
		leases:     map[string]*pb.PoolLease{},
		held:       map[string]*hold{},
	}
}

// Run keeps the configuration and the serving lease current until ctx ends. It
// must run once for each client. Calls work while it does.
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
	c.calls.close()
	return ctx.Err()
}

// Config returns the newest configuration received, nil before the first. It
// must not be modified.
func (c *Client) Config() *pb.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// OnConfig registers a function that is called with each new configuration
// before its version is acknowledged to the store, and at once when there is
// one already. The calls are in the order of versions and not concurrent; f
// must not call OnConfig or OnLeases.
func (c *Client) OnConfig(f func(*pb.Config)) {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.onConfig = append(c.onConfig, f)
	if cfg := c.Config(); cfg != nil {
		f(cfg)
	}
}

// OnLeases registers a function that is called after the pool leases changed.
func (c *Client) OnLeases(f func()) {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.onLeases = append(c.onLeases, f)
}

// Serving reports whether this daemon holds a serving lease.
func (c *Client) Serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.serving.Held(time.Now())
	return ok
}

// Lease returns the pool lease of the given name as the store last told.
func (c *Client) Lease(name string) (*pb.PoolLease, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.leases[name]
	return l, ok
}

// Leases returns all pool leases as the store last told.
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

// Claim asks for the one run of a non-repeatable call. It is repeated under the
// same request id until ctx ends. After an error the call may be claimed, and
// must not be run.
func (c *Client) Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	resp := &pb.ClaimResponse{}
	_, err := c.calls.do(ctx, transport.MethodClaim, keyBucket(req.Organisation, req.Key), req, resp)
	return resp, err
}

// Record reports what became of a claimed call. It is repeated until ctx ends.
func (c *Client) Record(ctx context.Context, req *pb.RecordRequest) error {
	_, err := c.calls.do(ctx, transport.MethodRecord, keyBucket(req.Organisation, req.Key), req, &pb.Empty{})
	return err
}

// AcquireLease asks for a pool lease.
func (c *Client) AcquireLease(ctx context.Context, name string, preference uint32) (*pb.LeaseResponse, error) {
	h := c.hold(name)
	req := &pb.AcquireLeaseRequest{Name: name, Holder: h.name, Address: c.opts.Address, Preference: preference}
	resp := &pb.LeaseResponse{}
	sent, err := c.calls.do(ctx, transport.MethodAcquireLease, storeBucket, req, resp)
	if err != nil {
		return nil, err
	}
	c.took(name, h, sent, resp)
	return resp, nil
}

// RenewLease extends a pool lease that this client holds.
func (c *Client) RenewLease(ctx context.Context, name string, token uint64) (*pb.LeaseResponse, error) {
	h := c.hold(name)
	req := &pb.RenewLeaseRequest{Name: name, Holder: h.name, FencingToken: token}
	resp := &pb.LeaseResponse{}
	sent, err := c.calls.do(ctx, transport.MethodRenewLease, storeBucket, req, resp)
	if err != nil {
		return nil, err
	}
	c.took(name, h, sent, resp)
	return resp, nil
}

// ReleaseLease gives a pool lease back. The lease counts as lost from the
// moment of the call, even when the call fails.
func (c *Client) ReleaseLease(ctx context.Context, name string, token uint64) error {
	h := c.drop(name)
	req := &pb.ReleaseLeaseRequest{Name: name, Holder: h.name, FencingToken: token}
	_, err := c.calls.do(ctx, transport.MethodReleaseLease, storeBucket, req, &pb.Empty{})
	return err
}

// hold returns the present attempt to hold a lease.
func (c *Client) hold(name string) *hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[name]
	if h == nil {
		c.holds++
		h = &hold{name: fmt.Sprintf("%s.%d", c.holderBase, c.holds)}
		c.held[name] = h
	}
	return h
}

// drop ends the present attempt. Answers to its requests that are still under
// way have no effect any more.
func (c *Client) drop(name string) *hold {
	h := c.hold(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	h.Lost()
	delete(c.held, name)
	return h
}

// took notes the answer to an acquisition or renewal that was sent at the given
// time.
func (c *Client) took(name string, h *hold, sent time.Time, resp *pb.LeaseResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !resp.Granted {
		h.Lost()
		if c.held[name] == h {
			delete(c.held, name)
		}
		return
	}
	h.Granted(resp.Lease.GetFencingToken(), sent, time.Duration(resp.TtlMs)*time.Millisecond)
}

// Holding reports whether this client holds the named lease now, by the
// monotonic clock, with its fencing token. A scheduler asks before each
// decision that only the holder may make.
func (c *Client) Holding(name string) (token uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[name]
	if h == nil {
		return 0, false
	}
	return h.Held(time.Now())
}
