// Package core assembles the core daemon: the HTTP server for operators and
// upstreams, the replicated configuration, the scheduling of engine pools, and
// the hub that sends the configuration and the upstreams to the entries.
package core

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/httpdrain"
	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/internal/scheduler"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/internal/usage"
	"godwitward.example/godwitward/platform"
	"godwitward.example/godwitward/wal"
)

const (
	// memoryLimitShare is the share of the process's memory that is set as the
	// soft memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// headerTimeout and idleTimeout apply to the HTTP connections of operators
	// and upstreams.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// callTimeout bounds a call with its response. Operators give up after 1 s.
	callTimeout = 30 * time.Second
	// waitingShare is the part of the descriptors for sessions whose daemon has not said hello:
	// after a change of leader hundreds of daemons connect at once.
	waitingShare = 0.25
	// stepDownTimeout bounds the transfer of leadership at shutdown, and
	// httpShutdownTimeout the wait for HTTP calls in flight.
	stepDownTimeout     = time.Second
	httpShutdownTimeout = 2 * time.Second
	// storeDir holds the configuration and streamLogDir the versions of streams, below the
	// data folder.
	storeDir     = "/store"
	streamLogDir = "/streams"
)

// OpenSettings reads the settings file and adds a finding for each setting that
// a core daemon needs and that is missing. It returns nil if the file cannot be
// read.
func OpenSettings(l *finding.List, path string, logger *log.Logger) *platform.File {
	file, err := platform.OpenFile(path, logger)
	if err != nil {
		l.Addf("--node-file", "%v", err)
		return nil
	}
	s := file.Current()
	if s.OperatorAddress == "" {
		l.Addf("--node-file", "names no address for operators")
	}
	if s.DataDir == "" {
		l.Addf("--node-file", "names no data folder")
	}
	return file
}

// Run runs the core daemon until ctx ends or a server or the store fails.
func Run(ctx context.Context, file *platform.File, metricsPort uint16, logger *log.Logger) error {
	s := file.Current()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	// Requests in flight after ctx has ended still depend on the settings.
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go file.Watch(watchCtx)
	d, err := start(file, logger)
	if err != nil {
		return err
	}
	vars := d.vars()
	vars.Set("callers", d.memory.Vars())
	metrics.Serve(s.SessionAddress, metricsPort, "core", vars, d.memory, logger)
	logger.Info().Str("event", "process.started").Str("build", settings.BuildVersion()).Uint32("protocol_level", uint32(protocol.Current)).Str("vm", s.VM).Str("operators", s.OperatorAddress).Msg("")
	select {
	case err := <-d.fatalErrors:
		return err
	case <-ctx.Done():
	}
	d.shutDown(logger)
	return nil
}

// daemon is one running core daemon.
type daemon struct {
	store    *corestore.Store
	hub      *feed.Hub
	peers    *corestore.Peers
	sessions *transport.Server
	relay    *relay.Server
	pools    *pools
	grantor  *usage.Grantor
	// streamLog is nil if the disk could not be read.
	streamLog   *streamlog.Log
	http        *http.Server
	drainer     httpdrain.Drainer
	memory      *budget.Budget
	fatalErrors chan error
	// commitTime measures how long a majority takes to store a configuration,
	// syncTime how long a file sync on this VM's disk takes.
	commitTime, syncTime *metrics.DurationHistogram
	// stopPools stops the scheduling of pools.
	stopPools   context.CancelFunc
	gracePeriod time.Duration
}

func start(file *platform.File, logger *log.Logger) (*daemon, error) {
	s := file.Current()
	session, err := netip.ParseAddrPort(s.SessionAddress)
	if err != nil {
		return nil, errors.Wrap(err, "session address")
	}
	memory := budget.New(s.MemoryBytes, s.MaxDescriptors)
	sessionOptions := transport.Options{Dial: memory.DialSession(transport.DialTCP), Self: &pb.Hello{DaemonId: s.VM, Vm: s.VM, Place: s.Place, Process: "gw-core", Build: settings.BuildVersion()}, Logger: logger}
	d := &daemon{memory: memory, peers: corestore.NewPeers(s.SessionAddress, session.Port(), sessionOptions), fatalErrors: make(chan error, 4), gracePeriod: s.GracePeriod, commitTime: metrics.NewDurationHistogram(), syncTime: metrics.NewDurationHistogram()}
	serverOptions := sessionOptions
	serverOptions.MaxWaiting = int(waitingShare * float64(s.MaxDescriptors))
	serverOptions.LimitPeers(s.MemoryBytes)
	serverOptions.OnSessionEnd = func(peer *pb.Hello) { d.pools.scheduler.EntrySessionEnded(peer.DaemonId) }
	d.sessions = transport.NewServer(serverOptions)
	d.pools = newPools(logger, func() (string, uint64, bool) { return d.store.Leader() }, newEngineFactory(s, memory), s, d.sessions)
	changed, leaderChanged := make(chan struct{}, 1), make(chan struct{}, 1)
	d.store, err = corestore.Start(corestore.Options{
		Dir: s.DataDir + storeDir, Address: s.SessionAddress, Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance,
		Seeds: func() []string { return file.Current().SeedAddresses }, Peers: d.peers, Logger: logger,
		FS: timedFS{wal.OS{}, d.syncTime}, OnCommit: d.commitTime.Record,
		OnDocument: func(corestore.Document) { signal(changed) },
		OnLeader:   func() { signal(leaderChanged) },
		OnFatal:    func(err error) { d.fatalErrors <- err },
	}, d.sessions)
	if err != nil {
		return nil, err
	}
	hubOptions := feed.HubOptions{Store: d.store, Peers: d.peers, Self: s.SessionAddress, Logger: logger, OnReport: d.pools.announce, OnStatement: d.pools.setStatement, FirstStart: d.store.FirstStart(), DecodeRoutes: platform.DecodeRoutes}
	d.openStreamLog(&hubOptions, streamlog.Options{Dir: s.DataDir + streamLogDir, FS: timedFS{wal.OS{}, d.syncTime}, Logger: logger})
	d.hub = feed.NewHub(hubOptions, d.sessions)
	d.startRelay(s, logger)
	d.grantor = usage.NewGrantor(usage.GrantorOptions{Store: d.store, Client: d.peers.Client, Bound: platform.UsageBound(s), Logger: logger}, d.sessions)
	d.pools.records, d.pools.statements = d.hub.Records, d.hub.Statements
	d.publishDocument(logger)
	go func() {
		for range changed {
			d.publishDocument(logger)
		}
	}()
	go func() {
		// Entries that learn of a new leader late restate their holds after it has
		// begun to grant.
		for range leaderChanged {
			signal(d.pools.leaderChanged)
			d.hub.StoreChanged()
		}
	}()
	var ctx context.Context
	ctx, d.stopPools = context.WithCancel(context.Background())
	go d.pools.run(ctx)
	return d, d.listen(s, logger)
}

// openStreamLog opens the log of stream versions. Without one the daemon works as well:
// streams cannot be taken up then after all processes have ended.
func (d *daemon) openStreamLog(hub *feed.HubOptions, opts streamlog.Options) {
	l, stored, err := streamlog.Open(opts)
	if err != nil {
		opts.Logger.Error().Str("event", "stream_versions.unavailable").Err(err).Msg("")
		return
	}
	opts.Logger.Info().Str("event", "stream_versions.restored").Int("streams", len(stored.Streams)).Dur("observed", stored.Observed).Msg("")
	d.streamLog, hub.StreamLog, hub.Stored = l, l, stored
}

// newEngineFactory returns a function that creates the scheduler's client of an
// engine.
func newEngineFactory(s *platform.Settings, memory *budget.Budget) func(*pb.UpstreamState) scheduler.Engine {
	dial := memory.DialUpstream(transport.DialTCP)
	return func(u *pb.UpstreamState) scheduler.Engine {
		return &platform.Engine{Dial: dial, Address: u.Url, ID: u.Id, BornMs: int64(u.Generation), Holder: s.VM}
	}
}

// signal wakes the reader of c, if it is not due to wake already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publishDocument passes the newest configuration on to the hub and the pools.
func (d *daemon) publishDocument(logger *log.Logger) {
	d.hub.StoreChanged()
	doc := d.store.Current()
	if doc.Version == 0 {
		return
	}
	logger.Info().Str("event", "config.published").Uint64("version", doc.Version).Msg("")
	config, err := platform.DecodeConfig(doc.Body)
	if err != nil {
		// Not expected, because a document is stored only after DecodeConfig has
		// accepted it.
		logger.Error().Str("event", "config.undecodable").Uint64("version", doc.Version).Err(err).Msg("")
		return
	}
	d.pools.setServices(config.Services)
	d.grantor.SetTenants(doc.Version, config.Tenants)
}

func (d *daemon) listen(s *platform.Settings, logger *log.Logger) error {
	sessions, err := d.memory.ListenSessions(s.SessionAddress)
	if err != nil {
		return errors.Wrap(err, "listening for sessions")
	}
	operators, err := d.memory.Listen(s.OperatorAddress)
	if err != nil {
		return errors.Wrap(err, "listening for operators")
	}
	control := &platform.Control{Documents: d.store, Registry: d.hub, Logger: logger}
	d.http = &http.Server{Handler: d.drainer.Handler(control.Handler()), ConnState: d.drainer.ConnState, ReadHeaderTimeout: headerTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: idleTimeout}
	d.memory.Configure(d.http)
	go func() { d.fatalErrors <- d.sessions.Serve(sessions) }()
	operators = d.drainer.Listener(operators)
	go func() { d.fatalErrors <- d.http.Serve(operators) }()
	return nil
}

// shutDown transfers the leadership first, and then waits for the calls in
// flight and the relayed connections.
func (d *daemon) shutDown(logger *log.Logger) {
	began := time.Now()
	d.relay.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), stepDownTimeout)
	defer cancel()
	if err := d.store.StepDown(ctx); err != nil {
		logger.Warn().Str("event", "store.hand_over_failed").Err(err).Msg("")
	}
	ctx, cancel = context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	if err := d.drainer.Shutdown(ctx, d.http); err != nil {
		logger.Warn().Str("event", "process.calls_cut_off").Err(err).Msg("")
	}
	d.stopPools()
	d.hub.Stop()
	if err := d.store.Stop(); err != nil {
		logger.Error().Str("event", "store.stop_failed").Err(err).Msg("")
	}
	if d.streamLog != nil {
		d.streamLog.Close()
	}
	d.peers.Close()
	// Relayed answers go on beside all of this.
	d.waitForRelayed(time.Since(began), logger)
	logger.Info().Str("event", "process.stopped").Msg("")
}
