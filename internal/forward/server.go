package forward

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Options configures a Server.
type Options struct {
	Protocol Protocol
	Place    string
	Logger   *log.Logger
	// MaxBufferedBodyBytes limits the total size of request bodies held in memory, in
	// addition to the budget of the callers' connections; 0 for no further limit.
	MaxBufferedBodyBytes int64
	// Restartable is set if an earlier process of this entry may have spent its part of the
	// retry budgets just before.
	Restartable bool
	// Dial opens connections to upstreams; nil for those of NewDialFunc from any address.
	Dial DialFunc
	// MaxReportDelay is how late reports of upstreams may arrive; 0 for fleet.MaxReportDelay. It
	// matters for upstreams whose processes do not tell their start.
	MaxReportDelay time.Duration
	// RetryLimits returns the current limits; they may change at run time.
	RetryLimits func() RetryLimits
}

// RetryLimits holds the retry budget that all entries and the schedulers share.
type RetryLimits struct {
	// RetryRatio, RetrySlack and RetryWindow define the retry budget of a
	// service over all of them: within a window, RetryRatio retries for each
	// request, plus the fixed number RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Entries is the number of entries that share RetrySlack; 0 if unknown.
	Entries int
}

// Server is an HTTP handler that forwards callers' requests to upstreams.
type Server struct {
	opts   Options
	start  time.Time
	config atomic.Pointer[Config]
	// configMu serialises changes of the configuration.
	configMu    sync.Mutex
	tenants     tenants
	upstreams   *upstreams
	links       *links
	callerConns callerConns
	bodies      bodyMemory
	promptParts promptParts
	// reportNow is signalled when Outcomes has something that must not wait.
	reportNow reportSignal
	// statementReports are the statements of upstreams that are to be reported.
	statementReports statementReports
	streamVersions   streamVersions
	routeServices    routeServices
	numbering        eventNumbering
	untoldServices   untoldServices
	callCosts        callCosts
	shortages        shortages
	inFlight         atomic.Int64
	draining         atomic.Bool
	// drainAt is when Drain was called and configAt when the configuration was last replaced,
	// in nanoseconds since the start of the server; 0 for never.
	drainAt, configAt atomic.Int64
	// refused is cancelled when new requests, and those that have not been sent to an upstream,
	// are to be refused.
	refused context.Context
	refuse  context.CancelFunc
	// ended is cancelled when the requests in flight are to end.
	ended       context.Context
	endRequests context.CancelFunc

	vars    *vars
	placer  Placer
	permits SendPermits
	// versionSource may be nil.
	versionSource StreamVersionSource
	setPools      func(services []string)

	mu           sync.Mutex
	retryBudgets map[string]*policy.RetryBudget
	// prefillRejectedAt is when an engine of a service last rejected a prefill call.
	prefillRejectedAt map[string]time.Duration
	// requestSizes are the mean sizes of the requests to services with engines.
	requestSizes map[string]*policy.MeanSize

	stop chan struct{}
	done sync.WaitGroup
}

// NewServer returns a server that rejects every request until SetConfig is
// called. It starts a goroutine that runs until Stop.
func NewServer(opts Options) *Server {
	if opts.Dial == nil {
		opts.Dial = NewDialFunc(netip.Addr{})
	}
	if opts.MaxReportDelay == 0 {
		opts.MaxReportDelay = fleet.MaxReportDelay
	}
	reportNow := make(reportSignal, 1)
	s := &Server{
		opts: opts, start: time.Now(), bodies: bodyMemory{max: opts.MaxBufferedBodyBytes}, links: newLinks(opts.Dial, opts.Logger),
		callerConns: callerConns{conns: map[net.Conn]waitingConn{}},
		promptParts: newPromptParts(reportNow), reportNow: reportNow,
		tenants:          tenants{stats: newTenantStats(), keysRefused: new(expvar.Map).Init()},
		statementReports: statementReports{targets: map[*target]bool{}},
		retryBudgets:     map[string]*policy.RetryBudget{}, prefillRejectedAt: map[string]time.Duration{}, requestSizes: map[string]*policy.MeanSize{}, stop: make(chan struct{}),
	}
	s.upstreams = newUpstreams(opts.Place, s.links)
	s.links.now, s.links.upstreams, s.links.ask = s.now, s.upstreams, s.askStatus
	s.refused, s.refuse = context.WithCancel(context.Background())
	s.ended, s.endRequests = context.WithCancel(context.Background())
	s.vars = newVars(s)
	s.links.opened = s.vars.opened
	s.done.Add(1)
	go s.sweepLoop()
	return s
}

// now returns the time since the start of the server.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// SetConfig replaces the configuration if c has a higher version.
func (s *Server) SetConfig(c *Config) {
	if !s.replaceConfig(c) {
		return
	}
	s.updatePools()
	s.callCosts.keep(c.Services)
	s.shortages.keep(c.Services)
	s.opts.Logger.Info().Str("event", "config.applied").Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("tenants", len(c.Tenants)).Msg("")
}

func (s *Server) replaceConfig(c *Config) bool {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	old := s.config.Load()
	if old != nil && old.Version >= c.Version {
		return false
	}
	s.endRoutes(old, c)
	s.applyTenants(c)
	s.config.Store(c)
	s.configAt.Store(int64(s.now()))
	return true
}

// SetPlacer makes the server reserve engine capacity through p. setPools is
// called with the names of the services that have engines, now and after each
// change of the configuration. SetPlacer must be called before the first request.
func (s *Server) SetPlacer(p Placer, setPools func(services []string)) {
	s.placer, s.setPools = p, setPools
	s.updatePools()
}

// SetPermits makes the server ask p for permits to send requests to upstreams that
// state limits. It must be called before the first request.
func (s *Server) SetPermits(p SendPermits) { s.permits = p }

// SetRelay makes the server use connections that other daemons relay while its own links to
// upstreams are down. It must be called before the first request.
func (s *Server) SetRelay(r Relay) { s.links.relay = r }

func (s *Server) updatePools() {
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

// SetUpstreams applies changed upstream records.
func (s *Server) SetUpstreams(records []*pb.UpstreamRecord) {
	s.seeVersions(records)
	s.upstreams.update(records, s.now())
	s.links.cutOff()
	for _, r := range records {
		s.opts.Logger.Info().Str("event", "upstream.changed").Str("upstream", r.Id).Str("phase", r.Phase.String()).
			Bool("silent", r.Silent).Uint64("sequence", r.Sequence).Msg("")
	}
}

// Ready reports whether the server has a configuration, knows the keys that routes need to
// be those in force, and is not draining.
func (s *Server) Ready() bool {
	c := s.config.Load()
	return c != nil && !s.draining.Load() && s.keysUsable(c)
}

// Drain makes Ready return false. Requests are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.drainAt.Store(int64(s.now()))
}

// Refuse makes the server answer every new request with 503, and those that have not been sent
// to an upstream. The others go on.
func (s *Server) Refuse() { s.refuse() }

// EndRequests ends the requests in flight: each one that has no response yet gets an error
// response at once, and a response that has begun is cut off. What follows is refused.
func (s *Server) EndRequests() {
	s.Refuse()
	s.endRequests()
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop ends the server's goroutine and waits for it.
func (s *Server) Stop() {
	close(s.stop)
	s.links.close()
	s.done.Wait()
}

// addRequestSize counts the size of a request to a service with engines.
func (s *Server) addRequestSize(service string, promptTokens, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.requestSizes[service]
	if m == nil {
		m = &policy.MeanSize{}
		s.requestSizes[service] = m
	}
	m.Add(promptTokens, outputTokens)
}

// meanRequestTokens returns the memory that a request to a service holds on
// average, in tokens.
func (s *Server) meanRequestTokens(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.requestSizes[service]
	if m == nil {
		return 0
	}
	return m.Tokens()
}

// sweepInterval is the time between two checks for expired connections. Callers'
// connections exceed their limits by at most this time.
const sweepInterval = time.Second

func (s *Server) sweepLoop() {
	defer s.done.Done()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			for _, t := range s.upstreams.all() {
				go t.references.close()
			}
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.closeExpiredCallers(now)
		s.upstreams.prune(now)
		s.promptParts.prune(s.now())
		s.logTenantRefusals()
		for _, t := range s.upstreams.all() {
			t.closeIdle(now, false)
		}
		s.sweepReferences()
	}
}
