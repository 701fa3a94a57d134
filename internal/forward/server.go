package forward

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Options configure a Server.
type Options struct {
	Protocol Protocol
	Place    string
	Logger   *log.Logger
	// BodyBytes bounds the request bodies in memory.
	BodyBytes int64
	// RetryLimits returns the bounds in force; they may change while running.
	RetryLimits func() RetryLimits
}

// RetryLimits are limits that all entries share.
type RetryLimits struct {
	// RetryRatio, RetrySlack and RetryWindow define the repeat budget of a
	// service over all entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Entries is the number of entries that share the fixed part of the budget;
	// 0 when it is not known.
	Entries int
}

// Server forwards requests at one entry.
type Server struct {
	opts      Options
	start     time.Time
	config    atomic.Pointer[Config]
	upstreams *upstreams
	callers   callerConns
	bodies    atomic.Int64
	inFlight  atomic.Int64
	draining  atomic.Bool

	vars     *vars
	placer   Placer
	setPools func(services []string)

	mu      sync.Mutex
	budgets map[string]*policy.RetryBudget

	stop chan struct{}
	done sync.WaitGroup
}

// NewServer returns a server without a configuration, which rejects every
// request. Stop ends its goroutine.
func NewServer(opts Options) *Server {
	s := &Server{
		opts: opts, start: time.Now(), upstreams: newUpstreams(opts.Place),
		callers: callerConns{conns: map[net.Conn]waitingConn{}},
		budgets: map[string]*policy.RetryBudget{}, stop: make(chan struct{}),
	}
	s.vars = newVars(s)
	s.done.Add(1)
	go s.closeIdle()
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// SetConfig puts a configuration into force unless a newer one is.
func (s *Server) SetConfig(c *Config) {
	for {
		old := s.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if s.config.CompareAndSwap(old, c) {
			s.announcePools()
			s.opts.Logger.Info().Str("event", "config.applied").Uint64("version", c.Version).Int("routes", len(c.Routes)).Msg("")
			return
		}
	}
}

// SetPlacer makes the server ask a scheduler for room on engines. setPools is
// told the services with engines. It must be called before the server serves.
func (s *Server) SetPlacer(p Placer, setPools func(services []string)) {
	s.placer, s.setPools = p, setPools
	s.announcePools()
}

func (s *Server) announcePools() {
	c := s.config.Load()
	if s.setPools == nil || c == nil {
		return
	}
	var names []string
	for name, service := range c.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	s.setPools(names)
}

// SetUpstreams takes changed upstream records.
func (s *Server) SetUpstreams(records []*pb.UpstreamRecord) {
	s.upstreams.update(records)
	for _, r := range records {
		s.opts.Logger.Info().Str("event", "upstream.changed").Str("upstream", r.Id).Str("phase", r.Phase.String()).
			Bool("silent", r.Silent).Uint64("sequence", r.Sequence).Msg("")
	}
}

// Ready reports whether the entry wants new connections.
func (s *Server) Ready() bool { return s.config.Load() != nil && !s.draining.Load() }

// Drain makes the entry report that it is not ready.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight is the number of requests without a final answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop ends the server's goroutine.
func (s *Server) Stop() {
	close(s.stop)
	s.done.Wait()
}

// idleSweep is the time between looks for expired connections. Connections of
// callers outlast their limits by that much at most.
const idleSweep = time.Second

func (s *Server) closeIdle() {
	defer s.done.Done()
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.closeWaitingCallers(now)
		s.upstreams.prune(now)
		for _, t := range s.upstreams.all() {
			t.closeIdle(now, false)
		}
	}
}
