package daemon

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/client"
	"godwitward.example/godwitward/internal/scheduler"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/internal/upstream"
)

// SchedulerConfig holds the settings of a scheduler process.
type SchedulerConfig struct {
	Self *pb.Hello
	// Region is the region whose pool leases this process competes for. When it
	// is empty, the process competes for the leases of all pools.
	Region string
	// Sessions is the listen address for other daemons, Debug that of health and
	// metrics. With an empty Debug they are not served.
	Sessions     string
	Debug        string
	ControlAddrs []string
	ServerTLS    *tls.Config
	ClientTLS    *tls.Config
	// Preference ranks this process among the candidates for a lease; processes
	// on larger VMs have a higher preference.
	Preference uint32
	// Policy names the placement policy; empty means the default.
	Policy string
	Params scheduler.Params
	Logger *log.Logger
}

// Scheduler is a running scheduler process.
type Scheduler struct {
	// Addr is the bound address for daemons.
	Addr string

	cfg         SchedulerConfig
	base        *Base
	server      *scheduler.Scheduler
	control     *client.Client
	debugServer *HTTPServer

	ctx    context.Context
	cancel context.CancelFunc
	// stopLeases cancels leaseCtx, which releases the leases and ends the
	// competition for them. leaseWG waits for the releases.
	leaseCtx   context.Context
	stopLeases context.CancelFunc
	wg         sync.WaitGroup
	leaseWG    sync.WaitGroup

	mu sync.Mutex
	// competing holds the pools whose leases this process competes for.
	competing map[string]bool
}

// StartScheduler starts a scheduler, which runs until Shutdown or Kill.
func StartScheduler(cfg SchedulerConfig) (*Scheduler, error) {
	s := &Scheduler{cfg: cfg, competing: map[string]bool{}}
	s.base = NewBase(cfg.Self, cfg.Logger, cfg.ServerTLS, cfg.ClientTLS, transport.Options{
		OnSessionEnd: func(peer *pb.Hello) { s.server.EntrySessionEnded(peer.DaemonId) },
	})
	engineClient := newEngineClient()
	s.server = scheduler.New(scheduler.Options{
		Policy: cfg.Policy, Params: cfg.Params, Recorder: s.base.Recorder, Logger: cfg.Logger,
		NewEngine: func(state *pb.UpstreamState) scheduler.Engine {
			return upstream.NewHTTPEngine(state.Url, engineClient)
		},
		HoldsLease: s.holdsLease,
	})
	s.server.Register(s.base.Sessions)
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.start()
	s.base.Recorder.Record(&pb.Event{Kind: "process.started"}, "sessions", s.Addr)
	return s, nil
}

func (s *Scheduler) holdsLease(pool string, fencingToken uint64) bool {
	token, ok := s.control.HoldsLease(pool)
	return ok && token == fencingToken
}

func (s *Scheduler) listen() (err error) {
	if s.Addr, err = s.base.ServeSessions(s.cfg.Sessions); err != nil {
		return err
	}
	if s.cfg.Debug == "" {
		return nil
	}
	ready := func() error { return nil }
	s.debugServer, err = s.base.ServeHTTP(s.cfg.Debug, DebugHandler(ready, "scheduler", s.server.Vars()), nil)
	return err
}

func (s *Scheduler) start() {
	s.control = client.New(client.Options{
		Addrs: s.cfg.ControlAddrs, Self: s.cfg.Self, Address: s.Addr, TLS: s.cfg.ClientTLS,
		Recorder: s.base.Recorder, Logger: s.cfg.Logger,
	})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.leaseCtx, s.stopLeases = context.WithCancel(s.ctx)
	s.wg.Add(2)
	go func() { defer s.wg.Done(); _ = s.control.Run(s.ctx) }()
	go func() { defer s.wg.Done(); s.server.Run(s.ctx) }()
	s.control.OnConfig(s.applyConfig)
}

// applyConfig sets the drains and competes for the leases of the pools that the
// configuration names. During a cutover these include the pool of the old
// service, because requests still run there.
func (s *Scheduler) applyConfig(cfg *pb.Config) {
	s.server.SetDrains(scheduler.NewDrainSet(cfg.Drains))
	for _, r := range cfg.Routes {
		if s.cfg.Region != "" && r.Region != s.cfg.Region {
			continue
		}
		s.competeFor(r.Service + "/" + r.Region)
		if from := r.Cutover.GetFromService(); from != "" {
			s.competeFor(from + "/" + r.Region)
		}
	}
}

// competeFor competes for the lease of pool until Shutdown or Kill, and activates
// the pool while this process holds the lease.
func (s *Scheduler) competeFor(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.competing[pool] || s.leaseCtx.Err() != nil {
		return
	}
	s.competing[pool] = true
	s.leaseWG.Add(1)
	go func() {
		defer s.leaseWG.Done()
		_ = s.control.HoldLease(s.leaseCtx, pool, s.cfg.Preference,
			func(token uint64) { s.server.Activate(pool, token, time.Now()) },
			func() { s.server.Deactivate(pool) })
	}()
}

// Shutdown releases the leases, so that other schedulers can acquire them at
// once, and stops the scheduler. It waits for the releases until ctx ends.
func (s *Scheduler) Shutdown(ctx context.Context) error {
	s.stopLeases()
	done := make(chan struct{})
	go func() { s.leaseWG.Wait(); close(done) }()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.base.Recorder.Record(&pb.Event{Kind: "process.drained"})
	s.Kill()
	return err
}

// Kill stops the scheduler at once. It does not wait for the release of the
// leases; those that are not released expire.
func (s *Scheduler) Kill() {
	s.cancel()
	if s.debugServer != nil {
		_ = s.debugServer.srv.Close()
	}
	s.base.Sessions.Close()
	s.wg.Wait()
}
