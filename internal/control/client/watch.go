package client

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/changeset"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/lease"
)

// staleAfter is how long the store may require a version that the watch has
// not delivered before the client opens a new one: the old may lead to a member
// that no longer leads.
const staleAfter = time.Second

// watchLoop keeps one watch open. It ends with ctx.
func (c *Client) watchLoop(ctx context.Context) {
	delay := minBackoff
	for ctx.Err() == nil {
		began := time.Now()
		select {
		case <-c.rewatch:
		default:
		}
		addr := c.calls.target(storeBucket)
		err := c.watchOnce(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			// Another address answers as the leader, or the watch was stale.
			continue
		}
		c.opts.Logger.Debug().Str("event", "control.watch_ended").Str("remote", addr).Err(err).Msg("")
		if time.Since(began) > maxBackoff {
			delay = minBackoff
		}
		if c.calls.follow(storeBucket, addr, err) && delay == minBackoff {
			delay *= 2
			continue
		}
		if pause(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxBackoff)
	}
}

// watchOnce receives updates until an error. It returns nil when the watch was
// ended by rewatch.
func (c *Client) watchOnce(ctx context.Context, addr string) error {
	if addr == "" {
		return errors.New("no control address is configured")
	}
	dialCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	st, err := c.calls.session(addr).Open(dialCtx, transport.MethodWatch)
	cancel()
	if err != nil {
		return err
	}
	defer st.Close()
	ended := make(chan struct{})
	defer close(ended)
	stale := make(chan struct{})
	go func() {
		// Closing the stream unblocks Recv below.
		select {
		case <-c.rewatch:
			close(stale)
		case <-ctx.Done():
		case <-ended:
		}
		_ = st.Close()
	}()
	err = c.receive(st)
	select {
	case <-stale:
		return nil
	default:
		return err
	}
}

func (c *Client) receive(st *transport.Stream) error {
	if err := st.Send(&pb.WatchRequest{DaemonId: c.opts.Self.DaemonId, HaveVersion: c.version()}); err != nil {
		return err
	}
	for {
		u := &pb.WatchUpdate{}
		if err := st.Recv(u); err != nil {
			return err
		}
		if err := c.takeUpdate(u); err != nil {
			return err
		}
	}
}

func (c *Client) takeUpdate(u *pb.WatchUpdate) error {
	cfg, err := nextConfig(c.Config(), u)
	if err != nil {
		return err
	}
	if cfg != nil {
		c.setConfig(cfg)
	}
	if u.LeasesChanged {
		c.setLeases(u.Leases)
	}
	return nil
}

// nextConfig returns the configuration after an update, nil when the update
// brings no newer version.
func nextConfig(have *pb.Config, u *pb.WatchUpdate) (*pb.Config, error) {
	if u.Config != nil {
		if have != nil && u.Config.Version <= have.Version {
			return nil, nil
		}
		return u.Config, nil
	}
	if have == nil && len(u.Changes) == 0 && u.Version == 0 {
		// A store without any change has the empty configuration.
		return &pb.Config{}, nil
	}
	if u.Version <= have.GetVersion() {
		return nil, nil
	}
	if u.Version-uint64(len(u.Changes)) != have.GetVersion() {
		return nil, errors.Errorf("update to version %d carries %d changes, have version %d", u.Version, len(u.Changes), have.GetVersion())
	}
	cfg := have
	for _, change := range u.Changes {
		res := changeset.Apply(cfg, change)
		if res.Code != pb.ChangeOutcome_ACCEPTED {
			return nil, errors.Errorf("change to version %d does not apply: %v", cfg.GetVersion()+1, res.Findings)
		}
		cfg = res.Config
	}
	return cfg, nil
}

// setConfig adopts a newer configuration. The callbacks run first and the
// version is acknowledged afterwards.
func (c *Client) setConfig(cfg *pb.Config) {
	c.notify.Lock()
	defer c.notify.Unlock()
	for _, f := range c.onConfig {
		f(cfg)
	}
	c.mu.Lock()
	c.config = cfg
	c.mu.Unlock()
	signal(c.applied)
}

func (c *Client) setLeases(leases []*pb.PoolLease) {
	next := make(map[string]*pb.PoolLease, len(leases))
	for _, l := range leases {
		next[l.Name] = l
	}
	c.notify.Lock()
	defer c.notify.Unlock()
	c.mu.Lock()
	same := maps.EqualFunc(c.leases, next, func(a, b *pb.PoolLease) bool { return proto.Equal(a, b) })
	c.leases = next
	c.mu.Unlock()
	if same {
		return
	}
	for _, f := range c.onLeases {
		f()
	}
}

// renewLoop keeps the serving lease. It renews at once after a new version, so
// that the store learns quickly that the version is in force here.
func (c *Client) renewLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.applied:
		}
		wait := c.opts.RenewInterval
		if c.version() != 0 || c.Config() != nil {
			c.renewServing(ctx)
		} else {
			wait = maxBackoff / 5
		}
		timer.Reset(jitter(wait))
	}
}

func (c *Client) renewServing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.DefaultTTL)
	defer cancel()
	req := &pb.RenewServingRequest{DaemonId: c.opts.Self.DaemonId, AppliedVersion: c.version()}
	if c.opts.InFlight != nil {
		req.InFlight = c.opts.InFlight()
	}
	resp := &pb.RenewServingResponse{}
	before := c.calls.target(storeBucket)
	sent, err := c.calls.do(ctx, transport.MethodRenewServing, storeBucket, req, resp)
	if err != nil {
		c.opts.Logger.Warn().Str("event", "control.renewal_failed").Err(err).Msg("")
		signal(c.rewatch)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.TtlMs > 0 {
		c.serving.Granted(1, sent, time.Duration(resp.TtlMs)*time.Millisecond)
	}
	if c.staleLocked(resp.RequiredVersion, sent) || before != c.calls.target(storeBucket) {
		signal(c.rewatch)
	}
}

// staleLocked reports whether the store has required a newer version for so
// long that the watch must be dead.
func (c *Client) staleLocked(required uint64, now time.Time) bool {
	if required <= c.config.GetVersion() {
		c.required = 0
		return false
	}
	if c.required == 0 || c.required <= c.config.GetVersion() {
		c.required = required
		c.requiredT = now
		return false
	}
	return now.Sub(c.requiredT) > staleAfter
}

// signal wakes the receiver of a channel of capacity 1.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
