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
)

const (
	// leadInterval is the time between looks at the leadership.
	leadInterval = 100 * time.Millisecond
	// pieceTokens is the unit in which engine memory is counted. Engines
	// allocate blocks of 16 tokens; 64 keep the rounding under one percent of a
	// usual prompt.
	pieceTokens = 64
	// usualPrefillRate and usualDecode start the learning of an engine's
	// speed, in tokens a second and microseconds a token. The engines do not
	// state their speed.
	usualPrefillRate = 55000
	usualDecodeUs    = 700
	// linkBytesPerS stands for a link that no transfer fills.
	linkBytesPerS = 100e9
	// restateWindow is how long a new leader waits for the entries to tell what
	// they hold. They learn of it within one round trip.
	restateWindow = 300 * time.Millisecond
)

// pools schedules the engine services while this daemon leads the core. The
// leadership's term is the fencing token, so that a pool has one scheduler.
type pools struct {
	scheduler *scheduler.Scheduler
	leader    func() (address string, term uint64, self bool)
	records   func() []*pb.UpstreamRecord
	logger    *log.Logger

	mu      sync.Mutex
	engines map[string]*forward.Engine
	// active is the term for which the pools are active, 0 for none.
	active uint64
}

// repeatShare is the part of the repeat budget that the scheduler spends; the
// entries spend the rest while no scheduler is in reach and for prompts that
// are read twice.
const repeatShare = 0.5

// newPools returns pools that are led by nobody. newEngine returns the client
// for orders to an engine.
func newPools(logger *log.Logger, leader func() (string, uint64, bool), newEngine func(*pb.UpstreamState) scheduler.Engine, s *platform.Settings, sessions *transport.Server) *pools {
	p := &pools{leader: leader, logger: logger, engines: map[string]*forward.Engine{}}
	p.scheduler = scheduler.New(scheduler.Options{
		Logger: logger, NewEngine: newEngine,
		HoldsLease: func(_ string, token uint64) bool {
			_, term, self := leader()
			return self && term == token
		},
		Params: scheduler.Params{
			SilentAfter: fleet.SilentAfter, RestateWindow: restateWindow, LeaseTTL: s.LeaseTTL, BalanceRoles: true, LocalPrefill: true, OnDemandMemory: true,
			RetryRatio: repeatShare * s.RetryRatio, RetrySlack: repeatShare * s.RetrySlack, RetryWindow: s.RetryWindow,
			UrgentReserve: -1, DisableJIT: true,
		},
	})
	p.scheduler.Register(sessions)
	return p
}

// setServices takes the services of a new configuration.
func (p *pools) setServices(services map[string]*forward.Service) {
	engines := map[string]*forward.Engine{}
	for name, s := range services {
		if s.Engine != nil {
			engines[name] = s.Engine
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	same := maps.EqualFunc(p.engines, engines, func(a, b *forward.Engine) bool { return *a == *b })
	p.engines = engines
	if !same {
		p.active = 0
	}
}

// run activates the pools while this daemon leads. It ends with ctx.
func (p *pools) run(ctx context.Context) {
	go p.scheduler.Run(ctx)
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, term, self := p.leader()
		if !self {
			term = 0
		}
		p.follow(term)
	}
}

// follow activates or deactivates the pools for a term.
func (p *pools) follow(term uint64) {
	p.mu.Lock()
	if p.active == term {
		p.mu.Unlock()
		return
	}
	p.active = term
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
	}
}

// announce passes a report on to the scheduler of its pool.
func (p *pools) announce(r *pb.UpstreamRecord) {
	p.mu.Lock()
	engine := p.engines[r.Service]
	active := p.active != 0
	p.mu.Unlock()
	if engine == nil || !active {
		return
	}
	state := stateOf(r, engine)
	if r.Silent && !state.Leaving {
		p.scheduler.MarkSilent(r.Service, state.Id, state.Generation)
		return
	}
	// A process whose end is known is announced although it is silent: the
	// scheduler heard of it last when it was well, or at its own start.
	p.scheduler.Announce(r.Service, []*pb.UpstreamState{state})
}

var roles = map[pb.EngineStage]pb.EngineRole{
	pb.EngineStage_ENGINE_STAGE_PREFILL: pb.EngineRole_ENGINE_ROLE_PREFILL,
	pb.EngineStage_ENGINE_STAGE_DECODE:  pb.EngineRole_ENGINE_ROLE_DECODE,
}

// stateOf describes an engine to the scheduler. Its load is not stated; the
// scheduler counts what it granted.
func stateOf(r *pb.UpstreamRecord, e *forward.Engine) *pb.UpstreamState {
	return &pb.UpstreamState{
		Id: r.Id, Generation: uint64(r.BornMs), Url: r.Address, Place: r.Place, Service: r.Service, Role: roles[r.Stage],
		Models: r.Models, TotalPieces: uint32(e.MemoryTokens / pieceTokens), MaxBatch: uint32(e.Slots),
		PieceTokens: pieceTokens, LinkBytesPerS: linkBytesPerS, KvBytesPerToken: 1,
		Leaving:           r.Phase != pb.UpstreamPhase_UPSTREAM_READY,
		PrefillTokensPerS: usualPrefillRate, DecodeUsPerToken: usualDecodeUs,
	}
}
