package usage

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/boottime"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// forwardTimeout bounds a call that is passed on to the leader. It leaves the entry
	// time for its own call.
	forwardTimeout = 250 * time.Millisecond
	// versionInterval is the time after which a new question from an entry makes the leader
	// confirm again that it leads.
	versionInterval = 200 * time.Millisecond
	// freshVersion is how long after its last confirmation a leader grants. Another one may
	// be granting as well by then: with 1 s, the use exceeded the bound in some replays. A
	// question waits for a confirmation, at most versionWait, after half of freshVersion.
	freshVersion = 600 * time.Millisecond
	versionWait  = 40 * time.Millisecond
	// versionTimeout bounds one confirmation.
	versionTimeout = 800 * time.Millisecond
)

// Store is the part of corestore.Store that the grantor uses.
type Store interface {
	// Leader returns the leader's session address and term, and whether this daemon leads.
	Leader() (address string, term uint64, self bool)
	// CommittedVersion returns the version in force, confirmed by a majority after the call
	// began. It fails at a daemon that does not lead.
	CommittedVersion(ctx context.Context) (uint64, error)
}

// GrantorOptions configure a Grantor.
type GrantorOptions struct {
	Store Store
	// Client returns the session to another core daemon, or nil.
	Client func(address string) *transport.Client
	Bound  policy.UsageBound
	Logger *log.Logger
}

// Grantor answers entries at a core daemon. While the daemon leads it grants; otherwise it
// passes calls on to the leader.
type Grantor struct {
	opts GrantorOptions

	mu      sync.Mutex
	grantor policy.TenantGrantor
	calls   uint64
	// version was the newest one at confirmedAt, a time of the boot-time clock at which this
	// daemon led in confirmedTerm; confirming is closed at the end of the running confirmation.
	version       uint64
	confirmedAt   time.Duration
	confirmedTerm uint64
	confirming    chan struct{}
}

// NewGrantor returns a grantor and registers its handler.
func NewGrantor(opts GrantorOptions, server *transport.Server) *Grantor {
	g := &Grantor{opts: opts, grantor: policy.TenantGrantor{Bound: opts.Bound}}
	transport.HandleUnary(server, transport.MethodTenantUsage, g.serve)
	return g
}

// SetTenants sets the tenants of a configuration.
func (g *Grantor) SetTenants(_ uint64, tenants []forward.Tenant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantor.SetLimits(limitsOf(tenants), boottime.Now())
}

// limitsOf returns the limits of the tenants that have one.
func limitsOf(tenants []forward.Tenant) map[string]policy.TenantLimit {
	limits := map[string]policy.TenantLimit{}
	for i := range tenants {
		if t := &tenants[i]; t.PerSecond > 0 {
			limits[t.Name] = policy.TenantLimit{PerSecond: t.PerSecond, Burst: t.Burst}
		}
	}
	return limits
}

// Vars returns the metrics.
func (g *Grantor) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("calls", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.calls
	}))
	m.Set("tenants", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.grantor.State(maxTenantVars, boottime.Now())
	}))
	return m
}

func (g *Grantor) serve(ctx context.Context, req *pb.TenantUsageRequest) (*pb.TenantUsageResponse, error) {
	address, term, self := g.opts.Store.Leader()
	if !self {
		return g.forward(ctx, req, address)
	}
	g.awaitVersion(ctx, term)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if g.confirmedTerm != term || now-g.confirmedAt > freshVersion {
		// A leader that is cut off from the majority must not go on granting.
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "the majority has not confirmed the leader of late")
	}
	g.calls++
	if g.grantor.Term() != term {
		g.grantor.Begin(term, now)
		g.opts.Logger.Info().Str("event", "usage.grantor_started").Uint64("term", term).Msg("")
	}
	report := decodeReport(req, time.Now())
	grants, restate, stale := g.grantor.Serve(report, now)
	if stale {
		return nil, transport.Errorf(pb.Status_INVALID, "a later call of the entry has been served")
	}
	resp := &pb.TenantUsageResponse{Term: term, Restate: restate, NewestVersion: g.version, VersionAgeMs: ceilMillis(now - g.confirmedAt)}
	if !restate {
		grants = append(grants, g.grantor.BusyStandby(report.Entry, busyTenants, now)...)
	}
	for i := range grants {
		resp.Tenants = append(resp.Tenants, encodeGrant(&grants[i]))
	}
	return resp, nil
}

// forward passes a call on to the leader, once.
func (g *Grantor) forward(ctx context.Context, req *pb.TenantUsageRequest, leader string) (*pb.TenantUsageResponse, error) {
	if leader == "" || req.Forwarded {
		return nil, &transport.Error{Code: pb.Status_NOT_LEADER, Message: "this daemon does not lead and grants nothing", Redirect: leader, Sent: true}
	}
	client := g.opts.Client(leader)
	if client == nil {
		return nil, transport.Errorf(pb.Status_UNAVAILABLE, "there is no session to the leader")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	passed := proto.Clone(req).(*pb.TenantUsageRequest)
	passed.Forwarded = true
	resp := &pb.TenantUsageResponse{}
	if err := client.Call(ctx, transport.MethodTenantUsage, passed, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// awaitVersion has a majority confirm that this daemon leads in a term and what version is
// in force, unless that was done of late. Calls share a confirmation, and wait only if the
// last one is so old that an answer with it would be of little use.
func (g *Grantor) awaitVersion(ctx context.Context, term uint64) {
	g.mu.Lock()
	age := boottime.Now() - g.confirmedAt
	fresh := g.confirmedTerm == term && age < freshVersion/2
	if g.confirming == nil && (g.confirmedTerm != term || age > versionInterval) {
		g.confirming = make(chan struct{})
		go g.confirm(term)
	}
	confirming := g.confirming
	g.mu.Unlock()
	if fresh || confirming == nil {
		return
	}
	timer := time.NewTimer(versionWait)
	defer timer.Stop()
	select {
	case <-confirming:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *Grantor) confirm(term uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), versionTimeout)
	defer cancel()
	// What was acknowledged before this moment is part of the version that is read.
	at := boottime.Now()
	version, err := g.opts.Store.CommittedVersion(ctx)
	_, after, self := g.opts.Store.Leader()
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.confirming)
	g.confirming = nil
	if err == nil && self && after == term {
		g.version, g.confirmedAt, g.confirmedTerm = version, at, term
	}
}
