package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/boottime"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// confirmedShare is the part of the revocation time for which a statement about the newest
// version counts. The rest is for what happens to a request between its caller and the
// check of its key, and for clocks.
const confirmedShare = 0.6

// keysRetryAfter is how long a caller should wait whose key cannot be checked. Callers are
// directed to another entry meanwhile.
const keysRetryAfter = time.Second

// Core is what an entry knows of the core, the part of feed.Subscriber that the client uses.
type Core interface {
	// Leader returns the session address and the term of the leader.
	Leader() (address string, term uint64, known bool)
	CoreMembers() []string
	// Entries returns the number of entries in the system, 0 if unknown.
	Entries() int
}

// Settings are the settings of a Client.
type Settings struct {
	Bound policy.UsageBound
	// StrictRevocation is set if keys are used only while the configuration is known to be
	// the newest one, so that a revoked key is refused within RevocationTime.
	StrictRevocation bool
	RevocationTime   time.Duration
}

// ClientOptions configure a Client.
type ClientOptions struct {
	EntryID string
	Core    Core
	Settings
	Transport transport.Options
	Logger    *log.Logger
	// Now is the boot-time clock; nil for that of the machine.
	Now func() time.Duration
}

// Client is the entry's side: it implements forward.TenantAdmission.
type Client struct {
	opts ClientOptions
	now  func() time.Duration
	born int64

	mu           sync.Mutex
	usage        *entryUsage
	confirmation policy.Confirmation
	// version is that of the configuration, and tenants is set if it has any.
	version uint64
	tenants bool
	counts  counts
	// failures is the number of calls that have failed since the last answer.
	failures int
	// unconfirmed is set once the log says that the keys are not confirmed.
	unconfirmed bool

	// clients are the sessions to core daemons in use, by address. Only run uses them.
	clients map[string]*transport.Client
	// otherCore is set while calls go to a daemon that does not lead, which is other: calls
	// to the leader failed, which was triedLeader in triedTerm. Only run uses them.
	otherCore   bool
	other       string
	triedLeader string
	triedTerm   uint64

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

// NewClient starts a client. Stop ends it.
func NewClient(opts ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts: opts, born: time.Now().UnixMilli(), usage: newEntryUsage(opts.Bound, rand.Float64), counts: counts{byTenant: map[string]*tenantCount{}},
		confirmation: policy.Confirmation{Lifetime: time.Duration(confirmedShare * float64(opts.RevocationTime))},
		clients:      map[string]*transport.Client{}, wake: make(chan struct{}, 1), stop: cancel, done: make(chan struct{}),
	}
	c.now = opts.Now
	if c.now == nil {
		c.now = boottime.Now
	}
	go c.run(ctx)
	return c
}

// Stop ends the client's goroutine and its sessions.
func (c *Client) Stop() {
	c.stop()
	<-c.done
}

// SetTenants implements forward.TenantAdmission.
func (c *Client) SetTenants(version uint64, tenants []forward.Tenant) {
	c.mu.Lock()
	c.version, c.tenants = version, len(tenants) > 0
	c.usage.setLimits(limitsOf(tenants), c.now())
	c.counts.retain(tenants)
	c.mu.Unlock()
	c.signal()
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// KeysConfirmed implements forward.TenantAdmission.
func (c *Client) KeysConfirmed(version uint64) (confirmed bool, retryAfter time.Duration) {
	if !c.opts.StrictRevocation {
		return true, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tenants && version == c.version {
		return true, 0
	}
	confirmed = c.confirmation.Valid(version, c.now())
	c.noteConfirmed(confirmed)
	if !confirmed {
		return false, keysRetryAfter
	}
	return true, 0
}

// noteConfirmed logs when the keys are no longer confirmed, and when they are again. The
// caller holds mu.
func (c *Client) noteConfirmed(confirmed bool) {
	if confirmed == !c.unconfirmed {
		return
	}
	c.unconfirmed = !confirmed
	if confirmed {
		c.opts.Logger.Info().Str("event", "keys.confirmed").Uint64("version", c.version).Msg("")
	} else {
		c.opts.Logger.Warn().Str("event", "keys.unconfirmed").Uint64("version", c.version).Msg("")
	}
}

// Admit implements forward.TenantAdmission. It waits at most maxWait for the grantor.
func (c *Client) Admit(ctx context.Context, tenant *forward.Tenant, cost float64) (forward.UsageCharge, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, limited := c.usage.limits[tenant.Name]
	if !limited || limit.PerSecond <= 0 {
		c.counts.admit(tenant.Name, cost)
		return &charge{client: c, tenant: tenant.Name, cost: cost}, nil
	}
	t := c.usage.ask(tenant.Name, cost, c.now())
	if t.verdict == waiting {
		c.signal()
		c.mu.Unlock()
		ended := wait(ctx, t)
		c.mu.Lock()
		if !ended {
			c.usage.cancel(t, c.now())
			return nil, errors.Wrap(ctx.Err(), "waiting for the tenant's cap")
		}
		c.usage.expire(t, c.now())
	}
	switch t.verdict {
	case admitted:
		c.counts.admit(tenant.Name, cost)
		return &charge{client: c, tenant: tenant.Name, cost: cost, ticket: t}, nil
	case noGrantor:
		c.counts.refuse(tenant.Name, true)
	default:
		c.counts.refuse(tenant.Name, false)
	}
	return nil, &forward.OverLimitError{RetryAfter: t.retryAfter, WithoutGrantor: t.verdict == noGrantor}
}

// wait waits for the verdict on a request, at most maxWait. It returns false if ctx ended.
func wait(ctx context.Context, t *ticket) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// charge implements forward.UsageCharge.
type charge struct {
	client *Client
	tenant string
	cost   float64
	// ticket is nil for a tenant without a limit.
	ticket  *ticket
	settled bool
}

// Settle implements forward.UsageCharge. Only the first call counts.
func (c *charge) Settle(ran bool) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.settled || ran {
		c.settled = true
		return
	}
	c.settled = true
	c.client.counts.giveBack(c.tenant, c.cost)
	if c.ticket != nil {
		c.client.usage.giveBack(c.ticket, c.client.now())
	}
}

// run makes the calls, one at a time, while the configuration has tenants.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	defer c.closeClients(nil)
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	earliest := time.Now()
	for {
		delay := c.delay()
		if delay < 0 {
			timer.Stop()
		} else {
			timer.Reset(delay)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
			if !c.due() {
				continue
			}
		}
		if !sleepUntil(ctx, earliest) {
			return
		}
		earliest = time.Now().Add(c.call(ctx))
	}
}

// delay returns the time until the next call without a request that asks for one, below 0
// for none.
func (c *Client) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tenants {
		return -1
	}
	if c.usage.outage {
		// Many entries lose the leader together.
		return min(failureDelay<<min(c.failures, 2), renewInterval)
	}
	return renewInterval
}

// due reports whether a call must be made at once: requests wait, the grantor needs the
// recent use, or the keys of the configuration are not confirmed.
func (c *Client) due() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenants && (c.usage.asks() || c.usage.term == 0 || !c.confirmation.Valid(c.version, c.now()))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// call makes one call and returns the time before which there must be no other.
func (c *Client) call(ctx context.Context) time.Duration {
	// Not under mu: the feed passes a new configuration on with its own lock held. Requests
	// do not wait for the feed, which decodes it meanwhile.
	client, leaderTerm := c.target()
	entries := c.opts.Core.Entries()
	c.mu.Lock()
	if !c.tenants {
		c.mu.Unlock()
		return 0
	}
	sentAt := c.now()
	c.usage.entries = entries
	report := c.usage.report(leaderTerm, sentAt)
	report.Entry, report.Born = c.opts.EntryID, c.born
	req := encodeReport(report)
	req.HaveVersion = c.version
	c.mu.Unlock()
	resp := &pb.TenantUsageResponse{}
	err := errors.New("no core daemon is known")
	if client != nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = client.Call(callCtx, transport.MethodTenantUsage, req, resp)
		cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if err != nil {
		c.fail(err, now)
		return failureDelay
	}
	c.failures = 0
	c.apply(report, resp, sentAt, now)
	if c.usage.asks() || resp.Restate {
		c.signal()
	}
	return minCallInterval
}

// fail takes it that a call was not answered. The caller holds mu.
func (c *Client) fail(err error, now time.Duration) {
	if !c.usage.outage {
		c.opts.Logger.Warn().Str("event", "usage.unanswered").Err(err).Msg("")
	}
	c.failures++
	c.usage.fail(now)
	c.otherCore, c.other = !c.otherCore, ""
	if c.opts.StrictRevocation && c.tenants {
		c.noteConfirmed(c.confirmation.Valid(c.version, now))
	}
}

// apply takes the answer to a report. The caller holds mu.
func (c *Client) apply(report *policy.UsageReport, resp *pb.TenantUsageResponse, sentAt, now time.Duration) {
	if resp.Term != c.usage.term && !resp.Restate {
		c.opts.Logger.Info().Str("event", "usage.grantor_changed").Uint64("term", resp.Term).Msg("")
	}
	c.confirmation.Note(resp.NewestVersion, c.version, sentAt-millis(resp.VersionAgeMs))
	if c.opts.StrictRevocation {
		c.noteConfirmed(c.confirmation.Valid(c.version, now))
	}
	c.usage.apply(report, sentAt, decodeAnswer(resp), now)
}

// target returns the session for the next call: to the leader, or after a call that failed
// to another core daemon, which passes calls on, until one fails there or the feed names
// another leader. It returns nil if none is known.
func (c *Client) target() (client *transport.Client, leaderTerm uint64) {
	leader, term, known := c.opts.Core.Leader()
	if leader != c.triedLeader || term != c.triedTerm {
		c.otherCore, c.triedLeader, c.triedTerm = false, leader, term
	}
	address := leader
	if !known || c.otherCore {
		var others []string
		for _, member := range c.opts.Core.CoreMembers() {
			if member != leader {
				others = append(others, member)
			}
		}
		if len(others) > 0 {
			if !slices.Contains(others, c.other) {
				c.other = others[rand.IntN(len(others))]
			}
			address = c.other
		}
	}
	if address == "" {
		return nil, term
	}
	c.closeClients(map[string]bool{leader: true, address: true})
	client = c.clients[address]
	if client == nil {
		client = transport.NewClient(address, c.opts.Transport)
		c.clients[address] = client
	}
	return client, term
}

// closeClients ends the sessions to all daemons but some.
func (c *Client) closeClients(keep map[string]bool) {
	for address, client := range c.clients {
		if !keep[address] {
			delete(c.clients, address)
			go client.Close()
		}
	}
}
