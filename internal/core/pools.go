package core

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/scheduler"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
	"godwitward.example/godwitward/policy"
)

const (
	// leadershipPollInterval is the time between checks whether this daemon
	// leads.
	leadershipPollInterval = 100 * time.Millisecond
	// pieceTokens is the size, in tokens, of the blocks in which the scheduler
	// counts an engine's KV cache. Engines allocate blocks of 16 tokens; with 64,
	// the rounding error stays under one percent of a usual prompt.
	pieceTokens = 64
	// assumedPrefillRate (tokens a second) and assumedDecodeSeconds (for a token)
	// are used until the first engine of a pool has been measured. Engines do not
	// announce their speed.
	assumedPrefillRate   = 55000
	assumedDecodeSeconds = 0.0007
	// linkBytesPerS is the assumed bandwidth of an engine's link. It is so high
	// that KV cache transfers never saturate it.
	linkBytesPerS = 100e9
	// restateWindow is how long a new leader grants nothing, so that the entries
	// can report their reservations, which takes an entry one round trip. An entry
	// learns of the new leader from the next update of a hub; a report after the
	// window is accepted too.
	restateWindow = 300 * time.Millisecond
)

// pools schedules the engine services while this daemon leads the core. The term
// of the leadership is the fencing token, so that each pool has only one
// scheduler.
type pools struct {
	scheduler *scheduler.Scheduler
	leader    func() (address string, term uint64, self bool)
	records   func() []*pb.UpstreamRecord
	// statements returns what upstreams say about the requests that they take.
	statements func() []*pb.UpstreamStatement
	logger     *log.Logger
	// leaderChanged makes run look at the leadership at once.
	leaderChanged chan struct{}
	// checksFencing is set if engines reject orders with an old fencing token.
	checksFencing bool

	mu      sync.Mutex
	engines map[string]*forward.EngineConfig
	// activeTerm is the term for which the pools are active, 0 for none.
	activeTerm uint64
}

// schedulerRetryShare is the share of the retry budget that the scheduler may
// use. The entries use the rest for retries while no scheduler is reachable and
// for prompts that are prefilled twice.
const schedulerRetryShare = 0.5

// newPools returns pools that are not active yet. newEngine returns the
// scheduler's client of an engine.
func newPools(logger *log.Logger, leader func() (string, uint64, bool), newEngine func(*pb.UpstreamState) scheduler.Engine, s *platform.Settings, sessions *transport.Server) *pools {
	p := &pools{leader: leader, logger: logger, leaderChanged: make(chan struct{}, 1), checksFencing: s.EnginesCheckFencing, engines: map[string]*forward.EngineConfig{}}
	p.scheduler = scheduler.New(scheduler.Options{
		Logger: logger, NewEngine: newEngine, PoolParams: p.setPoolParams,
		HoldsLease: func(_ string, token uint64) bool {
			_, term, self := leader()
			return self && term == token
		},
		Params: scheduler.Params{
			SilentAfter: fleet.SilentAfter, RestateWindow: restateWindow, LeaseTTL: s.LeaseTTL, OrdersAfterLease: true, BalanceRoles: true, LocalPrefill: true, OnDemandMemory: true,
			RetryRatio: schedulerRetryShare * s.RetryRatio, RetrySlack: schedulerRetryShare * s.RetrySlack, RetryWindow: s.RetryWindow,
			UrgentReserve: -1, DisableForecast: true,
			AssumedRates: policy.Rates{PrefillRate: assumedPrefillRate, DecodeSeconds: assumedDecodeSeconds},
		},
	})
	p.scheduler.Register(sessions)
	return p
}

// setPoolParams sets the parameters that depend on the pool's engines.
func (p *pools) setPoolParams(pool string, params *scheduler.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[pool]; e != nil {
		params.RoleSwitchTime = e.RoleSwitchTime
	}
}

// setServices applies the services of a new configuration. If an engine service
// changed, the next setTerm activates the pools again.
func (p *pools) setServices(services map[string]*forward.Service) {
	engines := map[string]*forward.EngineConfig{}
	for name, s := range services {
		if s.Engine != nil {
			engines[name] = s.Engine
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	unchanged := maps.EqualFunc(p.engines, engines, func(a, b *forward.EngineConfig) bool { return *a == *b })
	p.engines = engines
	if !unchanged {
		p.activeTerm = 0
	}
}

// run keeps the pools active while this daemon leads. It ends with ctx.
func (p *pools) run(ctx context.Context) {
	go p.scheduler.Run(ctx)
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.leaderChanged:
		}
		_, term, self := p.leader()
		if !self {
			term = 0
		}
		p.setTerm(term)
	}
}

// setTerm activates the pools for a term, or deactivates them if term is 0.
func (p *pools) setTerm(term uint64) {
	p.mu.Lock()
	if p.activeTerm == term {
		p.mu.Unlock()
		return
	}
	p.activeTerm = term
	names := make([]string, 0, len(p.engines))
	for name := range p.engines {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		if term == 0 {
			p.scheduler.Deactivate(name)
			continue
		}
		p.scheduler.Activate(name, term, time.Now())
	}
	p.logger.Info().Str("event", "pools.led").Uint64("term", term).Strs("pools", names).Msg("")
	if term != 0 {
		for _, r := range p.records() {
			p.announce(r)
		}
		for _, s := range p.statements() {
			p.setStatement(s)
		}
	}
}

// announce passes an upstream's record on to the scheduler while the pools are
// active.
func (p *pools) announce(r *pb.UpstreamRecord) {
	p.mu.Lock()
	engine := p.engines[r.Service]
	active := p.activeTerm != 0
	p.mu.Unlock()
	if engine == nil || !active {
		return
	}
	state := upstreamState(r, engine)
	state.ChecksFencing = p.checksFencing
	if r.Silent && !state.Leaving {
		p.scheduler.MarkSilent(r.Service, state.Id, state.Generation)
		return
	}
	// The end of a process is announced even if the process is silent. Otherwise
	// the scheduler would keep its last state, in which the process was live.
	p.scheduler.Announce(r.Service, []*pb.UpstreamState{state})
}

// setStatement passes on what an engine says about the requests that it takes.
func (p *pools) setStatement(s *pb.UpstreamStatement) {
	p.mu.Lock()
	var services []string
	for name := range p.engines {
		services = append(services, name)
	}
	active := p.activeTerm != 0
	p.mu.Unlock()
	if !active {
		return
	}
	for _, service := range services {
		// Only the service that has the engine knows its id.
		p.scheduler.SetStatement(service, s)
	}
}

var roles = map[pb.EngineStage]pb.EngineRole{
	pb.EngineStage_ENGINE_STAGE_PREFILL: pb.EngineRole_ENGINE_ROLE_PREFILL,
	pb.EngineStage_ENGINE_STAGE_DECODE:  pb.EngineRole_ENGINE_ROLE_DECODE,
}

// upstreamState returns the state of an engine for the scheduler. It has no load,
// because the scheduler counts the reservations that it granted.
func upstreamState(r *pb.UpstreamRecord, e *forward.EngineConfig) *pb.UpstreamState {
	return &pb.UpstreamState{
		Id: r.Id, Generation: uint64(r.BornMs), Url: r.Address, Place: r.Place, Service: r.Service, Role: roles[r.Stage],
		Models: r.Models, TotalPieces: uint32(e.MemoryTokens / pieceTokens), MaxBatch: uint32(e.Slots),
		SoftwareVersion: r.SoftwareVersion, Weights: r.Weights, WeightsDropped: fleet.WeightsDropped(r),
		PieceTokens: pieceTokens, LinkBytesPerS: linkBytesPerS, KvBytesPerToken: 1,
		Leaving: r.Phase != pb.UpstreamPhase_UPSTREAM_READY,
	}
}
