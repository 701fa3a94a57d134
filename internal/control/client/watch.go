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

// watchStaleAfter is how long the store may require a version that the watch has
// not delivered before the client opens a new watch: the old one may be connected
// to a member that no longer leads.
const watchStaleAfter = time.Second

// watchLoop keeps one watch open until ctx ends.
func (c *Client) watchLoop(ctx context.Context) {
	delay := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		select {
		case <-c.restartWatch:
		default:
		}
		addr := c.leader.addressFor(storeBucket)
		err := c.watchOnce(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			// The leader's address changed, a renewal failed, or the watch
			// was stale.
			continue
		}
		c.opts.Logger.Debug().Str("event", "control.watch_ended").Str("remote", addr).Err(err).Msg("")
		if time.Since(start) > maxBackoff {
			delay = minBackoff
		}
		if c.leader.followRedirect(storeBucket, addr, err) && delay == minBackoff {
			delay *= 2
			continue
		}
		if sleepJittered(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxBackoff)
	}
}

// watchOnce receives updates until an error. It returns nil when restartWatch
// ended the watch.
func (c *Client) watchOnce(ctx context.Context, addr string) error {
	if addr == "" {
		return errors.New("no control address is configured")
	}
	dialCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	st, err := c.leader.session(addr).Open(dialCtx, transport.MethodWatch)
	cancel()
	if err != nil {
		return err
	}
	defer st.Close()
	done := make(chan struct{})
	defer close(done)
	stale := make(chan struct{})
	go func() {
		// Closing the stream unblocks Recv in receiveUpdates.
		select {
		case <-c.restartWatch:
			close(stale)
		case <-ctx.Done():
		case <-done:
		}
		_ = st.Close()
	}()
	err = c.receiveUpdates(st)
	select {
	case <-stale:
		return nil
	default:
		return err
	}
}

func (c *Client) receiveUpdates(st *transport.Stream) error {
	if err := st.Send(&pb.WatchRequest{DaemonId: c.opts.Self.DaemonId, HaveVersion: c.version()}); err != nil {
		return err
	}
	for {
		u := &pb.WatchUpdate{}
		if err := st.Recv(u); err != nil {
			return err
		}
		if err := c.applyUpdate(u); err != nil {
			return err
		}
	}
}

func (c *Client) applyUpdate(u *pb.WatchUpdate) error {
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

// nextConfig returns the configuration after an update, nil when the update has
// no newer version.
func nextConfig(have *pb.Config, u *pb.WatchUpdate) (*pb.Config, error) {
	if u.Config != nil {
		if have != nil && u.Config.Version <= have.Version {
			return nil, nil
		}
		return u.Config, nil
	}
	if have == nil && len(u.Changes) == 0 && u.Version == 0 {
		// A store without any change has an empty configuration.
		return &pb.Config{}, nil
	}
	if u.Version <= have.GetVersion() {
		return nil, nil
	}
	if u.Version-uint64(len(u.Changes)) != have.GetVersion() {
		return nil, errors.Errorf("watch update to version %d has %d changes, which do not follow local version %d", u.Version, len(u.Changes), have.GetVersion())
	}
	cfg := have
	for _, change := range u.Changes {
		res := changeset.Apply(cfg, change)
		if res.Code != pb.ChangeOutcome_ACCEPTED {
			return nil, errors.Errorf("change to version %d cannot be applied: %v", cfg.GetVersion()+1, res.Findings)
		}
		cfg = res.Config
	}
	return cfg, nil
}

// setConfig installs a newer configuration. The callbacks run before the version
// is acknowledged to the store.
func (c *Client) setConfig(cfg *pb.Config) {
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
	for _, f := range c.onConfig {
		f(cfg)
	}
	c.mu.Lock()
	c.config = cfg
	c.mu.Unlock()
	notify(c.renewNow)
}

func (c *Client) setLeases(leases []*pb.PoolLease) {
	next := make(map[string]*pb.PoolLease, len(leases))
	for _, l := range leases {
		next[l.Name] = l
	}
	c.callbackMu.Lock()
	defer c.callbackMu.Unlock()
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

// renewLoop renews the serving lease until ctx ends. It renews at once after a
// new version, so that the store quickly learns that it is applied here.
func (c *Client) renewLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.renewNow:
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
	addrBefore := c.leader.addressFor(storeBucket)
	sent, err := c.leader.do(ctx, transport.MethodRenewServing, storeBucket, req, resp)
	if err != nil {
		c.opts.Logger.Warn().Str("event", "control.renewal_failed").Err(err).Msg("")
		notify(c.restartWatch)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if resp.TtlMs > 0 {
		c.serving.Extend(1, sent, time.Duration(resp.TtlMs)*time.Millisecond)
	}
	if c.watchStaleLocked(resp.RequiredVersion, sent) || addrBefore != c.leader.addressFor(storeBucket) {
		notify(c.restartWatch)
	}
}

// watchStaleLocked reports whether the store has required a version newer than
// the local one for longer than watchStaleAfter. c.mu must be held.
func (c *Client) watchStaleLocked(required uint64, now time.Time) bool {
	if required <= c.config.GetVersion() {
		c.requiredVersion = 0
		return false
	}
	if c.requiredVersion == 0 || c.requiredVersion <= c.config.GetVersion() {
		c.requiredVersion = required
		c.requiredSince = now
		return false
	}
	return now.Sub(c.requiredSince) > watchStaleAfter
}

// notify sends on a channel of capacity 1 unless a value is pending.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
