// Package core assembles the core daemon: the listener for operators and
// upstreams, the replicated configuration, and the hub that spreads both to
// the entries.
package core

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/internal/scheduler"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
	"godwitward.example/godwitward/wal"
)

const (
	// memoryShare is the part of the process's memory that the Go runtime is
	// told to stay below.
	memoryShare = 0.7
	// headerTimeout and idleTimeout bound a connection of an operator or an
	// upstream.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// handOverTimeout bounds the transfer of leadership at a stop, and
	// finishTimeout the calls in flight.
	handOverTimeout = time.Second
	finishTimeout   = 2 * time.Second
	storeFolder     = "/store"
)

// OpenSettings reads the settings file and checks what a core daemon needs of
// it.
func OpenSettings(l *finding.List, path string, logger *log.Logger) *platform.File {
	file, err := platform.OpenFile(path, logger)
	if err != nil {
		l.Addf("--node-file", "%v", err)
		return nil
	}
	s := file.Current()
	if s.Operators == "" {
		l.Addf("--node-file", "names no address for operators")
	}
	if s.DataDir == "" {
		l.Addf("--node-file", "names no data folder")
	}
	return file
}

// Run serves until ctx ends.
func Run(ctx context.Context, file *platform.File, metricsPort uint16, logger *log.Logger) error {
	s := file.Current()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	go file.Watch(ctx)
	d, err := start(file, logger)
	if err != nil {
		return err
	}
	metrics.Serve(s.Session, metricsPort, "core", d.vars(), logger)
	logger.Info().Str("event", "process.started").Str("vm", s.VM).Str("operators", s.Operators).Msg("")
	select {
	case err := <-d.failed:
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
	pools    *pools
	http     *http.Server
	failed   chan error
	// commit is the time until a configuration was stored by a majority, sync
	// the time until a file on this machine's disk was durable.
	commit, sync *metrics.Timing
	// stopPools ends the scheduling of pools.
	stopPools context.CancelFunc
}

func start(file *platform.File, logger *log.Logger) (*daemon, error) {
	s := file.Current()
	session, err := netip.ParseAddrPort(s.Session)
	if err != nil {
		return nil, errors.Wrap(err, "session address")
	}
	options := transport.Options{Self: &pb.Hello{DaemonId: s.VM, Vm: s.VM, Place: s.Place, Process: "gw-core"}, Logger: logger}
	d := &daemon{peers: corestore.NewPeers(s.Session, session.Port(), options), failed: make(chan error, 4), commit: metrics.NewTiming(), sync: metrics.NewTiming()}
	serving := options
	serving.OnSessionEnd = func(peer *pb.Hello) { d.pools.scheduler.EntrySessionEnded(peer.DaemonId) }
	d.sessions = transport.NewServer(serving)
	d.pools = newPools(logger, func() (string, uint64, bool) { return d.store.Leader() }, newEngine(s), s, d.sessions)
	changed := make(chan struct{}, 1)
	d.store, err = corestore.Start(corestore.Options{
		Dir: s.DataDir + storeFolder, Address: s.Session, Bootstrap: s.Bootstrap, FaultTolerance: s.FaultTolerance,
		Seeds: func() []string { return file.Current().Seeds }, Peers: d.peers, Logger: logger,
		FS: timedFS{wal.OS{}, d.sync}, OnCommit: d.commit.Add,
		OnDocument: func(corestore.Document) {
			select {
			case changed <- struct{}{}:
			default:
			}
		},
		OnFatal: func(err error) { d.failed <- err },
	}, d.sessions)
	if err != nil {
		return nil, err
	}
	d.hub = feed.NewHub(feed.HubOptions{Store: d.store, Peers: d.peers, Self: s.Session, Logger: logger, OnReport: d.pools.announce}, d.sessions)
	d.pools.records = d.hub.Records
	d.documentChanged(logger)
	go func() {
		for range changed {
			d.documentChanged(logger)
		}
	}()
	var ctx context.Context
	ctx, d.stopPools = context.WithCancel(context.Background())
	go d.pools.run(ctx)
	return d, d.listen(s, logger)
}

// newEngine returns the constructor of clients for orders to engines. Each call
// uses a connection of its own.
func newEngine(s *platform.Settings) func(*pb.UpstreamState) scheduler.Engine {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return func(u *pb.UpstreamState) scheduler.Engine {
		return &platform.Engine{Client: client, Address: u.Url, ID: u.Id, Holder: s.VM}
	}
}

// documentChanged spreads the newest configuration.
func (d *daemon) documentChanged(logger *log.Logger) {
	d.hub.DocumentChanged()
	doc := d.store.Current()
	if doc.Version == 0 {
		return
	}
	config, err := platform.DecodeConfig(doc.Body)
	if err != nil {
		// Only what this decoder accepts is stored.
		logger.Error().Str("event", "config.undecodable").Uint64("version", doc.Version).Err(err).Msg("")
		return
	}
	d.pools.setServices(config.Services)
}

func (d *daemon) listen(s *platform.Settings, logger *log.Logger) error {
	sessions, err := net.Listen("tcp", s.Session)
	if err != nil {
		return errors.Wrap(err, "listening for sessions")
	}
	operators, err := net.Listen("tcp", s.Operators)
	if err != nil {
		return errors.Wrap(err, "listening for operators")
	}
	control := &platform.Control{Documents: d.store, Registry: d.hub, Logger: logger}
	d.http = &http.Server{Handler: control.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { d.failed <- d.sessions.Serve(sessions) }()
	go func() { d.failed <- d.http.Serve(operators) }()
	return nil
}

// shutDown hands the leadership over first, then finishes the calls in flight.
func (d *daemon) shutDown(logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := d.store.StepDown(ctx); err != nil {
		logger.Warn().Str("event", "store.hand_over_failed").Err(err).Msg("")
	}
	ctx, cancel = context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := d.http.Shutdown(ctx); err != nil {
		logger.Warn().Str("event", "process.calls_cut_off").Err(err).Msg("")
	}
	d.stopPools()
	d.hub.Stop()
	if err := d.store.Stop(); err != nil {
		logger.Error().Str("event", "store.stop_failed").Err(err).Msg("")
	}
	d.peers.Close()
	logger.Info().Str("event", "process.stopped").Msg("")
}
