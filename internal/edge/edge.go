// Package edge assembles the forwarding entry: the callers' listener, the
// readiness listener, and the feed of configuration and upstreams.
package edge

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
)

const (
	// memoryShare is the part of the process's memory that the Go runtime is
	// told to stay below; the rest is left to the kernel's socket buffers.
	memoryShare = 0.7
	// bodyShare is the part of the memory for request bodies.
	bodyShare = 0.2
	// gcPercent trades memory, of which an entry uses little, for processor
	// time.
	gcPercent = 300
	// headerTimeout and idleTimeout bound a caller's connection until there is a
	// configuration with limits, and the head of later requests on it. They
	// exceed what callers rely on, so that the router does not close a
	// connection on which a request is on its way.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	maxHeader     = 64 << 10
	// noticeTime is how long the balancer takes to notice that an entry is not
	// ready: two checks, a second apart, and the time of the answers.
	noticeTime = 2800 * time.Millisecond
	// stopMargin is how long before the kill an entry ends by itself.
	stopMargin = 700 * time.Millisecond
)

// OpenSettings reads the settings file and checks what an entry needs of it.
func OpenSettings(l *finding.List, path string, logger *log.Logger) *platform.File {
	file, err := platform.OpenFile(path, logger)
	if err != nil {
		l.Addf("--node-file", "%v", err)
		return nil
	}
	s := file.Current()
	if s.Callers == "" {
		l.Addf("--node-file", "names no address for callers")
	}
	if s.Readiness == "" {
		l.Addf("--node-file", "names no address for readiness")
	}
	return file
}

// Run serves until ctx ends and the work in flight is done.
func Run(ctx context.Context, file *platform.File, metricsPort uint16, logger *log.Logger) error {
	s := file.Current()
	limitMemory(s.MemoryBytes)
	go file.Watch(ctx)
	e := &entryProcess{file: file, logger: logger, self: &pb.Hello{DaemonId: s.VM, Vm: s.VM, Place: s.Place, Process: "gw-edge"}}
	server := e.newServer()
	follower := feed.Follow(feed.FollowerOptions{
		Seeds:       func() []string { return file.Current().Seeds },
		Transport:   transport.Options{Self: e.self, Logger: logger},
		Logger:      logger,
		OnDocument:  func(version uint64, body []byte) { applyDocument(server, logger, version, body) },
		OnUpstreams: server.SetUpstreams,
		Outcomes:    server.Outcomes, OnErrorShares: server.SetErrorShares,
	})
	e.follower.Store(follower)
	server.Vars().Set("feed_age_ms", expvar.Func(func() any { return follower.Age().Milliseconds() }))
	server.Vars().Set("entries_known", expvar.Func(func() any { return follower.Entries() }))
	metrics.Serve(s.Session, metricsPort, "forward", server.Vars(), logger)
	// The end of the process stops what still runs when the drain is over.
	return serve(ctx, file, server, logger)
}

// entryProcess connects the parts of an entry.
type entryProcess struct {
	file   *platform.File
	logger *log.Logger
	self   *pb.Hello
	// follower is set once the feed has started; the server exists before it.
	follower atomic.Pointer[feed.Follower]
}

// newServer returns the forwarding server with its way to the schedulers.
func (e *entryProcess) newServer() *forward.Server {
	s := e.file.Current()
	server := forward.NewServer(forward.Options{
		Protocol: platform.Headers{}, Place: s.Place, Logger: e.logger,
		BodyBytes: int64(bodyShare * float64(s.MemoryBytes)), RetryLimits: e.bounds,
	})
	pools := entry.NewPools(entry.PoolOptions{
		EntryID: s.VM, SkipUpstreamList: true, Transport: transport.Options{Self: e.self, Logger: e.logger}, Lease: e.scheduler,
	})
	server.SetPlacer(&placer{pools: pools, logger: e.logger}, pools.SetPools)
	return server
}

// bounds returns the bounds that the settings state at present.
func (e *entryProcess) bounds() forward.RetryLimits {
	s := e.file.Current()
	b := forward.RetryLimits{RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow}
	if f := e.follower.Load(); f != nil {
		b.Entries = f.Entries()
	}
	return b
}

// scheduler returns the core's leader, which schedules all pools.
func (e *entryProcess) scheduler(pool string) (*pb.PoolLease, bool) {
	f := e.follower.Load()
	if f == nil {
		return nil, false
	}
	address, term, known := f.Leader()
	return &pb.PoolLease{Name: pool, Address: address, FencingToken: term}, known
}

func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func applyDocument(server *forward.Server, logger *log.Logger, version uint64, body []byte) {
	config, err := platform.DecodeConfig(body)
	if err != nil {
		// The core accepts only what this decoder accepts.
		logger.Error().Str("event", "config.undecodable").Uint64("version", version).Err(err).Msg("")
		return
	}
	server.SetConfig(config)
}

// serve runs the listeners until ctx ends, then drains.
func serve(ctx context.Context, file *platform.File, server *forward.Server, logger *log.Logger) error {
	s := file.Current()
	ready := &http.Server{Handler: platform.Readiness(server.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	callers := &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ConnState: server.ConnState}
	failed := make(chan error, 2)
	for address, srv := range map[string]*http.Server{s.Readiness: ready, s.Callers: callers} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listening")
		}
		go func() { failed <- srv.Serve(l) }()
	}
	logger.Info().Str("event", "process.started").Str("vm", s.VM).Str("callers", s.Callers).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return drain(callers, ready, server, s.GracePeriod, logger)
}

// drain tells the balancer that the entry is not ready, serves until the
// balancer has noticed, and then finishes what is in flight.
func drain(callers, ready *http.Server, server *forward.Server, grace time.Duration, logger *log.Logger) error {
	began := time.Now()
	server.Drain()
	callers.SetKeepAlivesEnabled(false)
	logger.Info().Str("event", "process.draining").Int64("in_flight", server.InFlight()).Msg("")
	time.Sleep(min(noticeTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	_ = ready.Close()
	logger.Info().Str("event", "process.stopped").Int64("in_flight", server.InFlight()).
		Int64("ms", time.Since(began).Milliseconds()).Err(err).Msg("")
	return nil
}
