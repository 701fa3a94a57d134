// Package edge runs the forwarding entry: the listeners for callers and for
// readiness checks, and the feed of configuration and upstreams.
package edge

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/feed"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/httpdrain"
	"godwitward.example/godwitward/internal/metrics"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/platform"
)

const (
	// goMemoryShare is the fraction of the memory limit that is set as the Go
	// runtime's soft limit; the rest is for the program itself, for what is allocated before
	// a collection ends, and for the kernel's socket buffers. With 0.7 the resident memory of a
	// 112 MiB VM reached 98 MiB under headers of short lines.
	goMemoryShare = 0.6
	// gcPercent is above the default of 100, which saves CPU time at the cost of
	// memory, of which an entry uses little.
	gcPercent = 300
	// headerTimeout and idleTimeout apply to a connection until a configuration
	// with limits is known, and to the headers of later requests on it. They exceed
	// what callers rely on, so that the entry does not close a connection on which
	// a request is being sent.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// balancerNoticeTime is how long the load balancer takes to detect that an
	// entry is not ready: two checks 1 s apart, plus their response times.
	balancerNoticeTime = 2800 * time.Millisecond
	// maxShutdownMargin and, in a short grace period, shutdownMarginShare of it are how long
	// before its end the requests in flight are ended. The share is less than the last sixth,
	// before which no answer may be ended.
	maxShutdownMargin   = 700 * time.Millisecond
	shutdownMarginShare = 1.0 / 8
	// maxFinalResponseTime, and half of the margin, limit how long their responses may take.
	maxFinalResponseTime = 250 * time.Millisecond
)

// shutdownMargin is how long before the end of a grace period the requests in flight are ended.
func shutdownMargin(gracePeriod time.Duration) time.Duration {
	return min(maxShutdownMargin, time.Duration(shutdownMarginShare*float64(gracePeriod)))
}

// OpenSettings opens the settings file and checks the settings that an entry
// requires.
func OpenSettings(l *finding.List, path string, logger *log.Logger) *platform.File {
	file, err := platform.OpenFile(path, logger)
	if err != nil {
		l.Addf("--node-file", "%v", err)
		return nil
	}
	s := file.Current()
	if s.CallerAddress == "" {
		l.Addf("--node-file", "sets no address for callers")
	}
	if s.ReadinessAddress == "" {
		l.Addf("--node-file", "sets no address for readiness checks")
	}
	return file
}

// Options are the settings of an entry that do not come from the settings file.
type Options struct {
	MetricsPort uint16
	// SourceAddress is the local address from which connections to upstreams are opened;
	// the system chooses it if the address is not valid.
	SourceAddress netip.Addr
}

// Run serves until ctx ends, then drains the requests in flight.
func Run(ctx context.Context, file *platform.File, opts Options, logger *log.Logger) error {
	s := file.Current()
	limitMemory(s.MemoryBytes)
	// Requests in flight after ctx has ended still depend on the settings.
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go file.Watch(watchCtx)
	memory := budget.New(s.MemoryBytes, s.MaxDescriptors)
	e := &entryProcess{file: file, logger: logger, memory: memory, self: &pb.Hello{DaemonId: s.VM, Vm: s.VM, Place: s.Place, Process: "gw-edge", Build: settings.BuildVersion()}}
	server := e.newServer(forward.NewDialFunc(opts.SourceAddress))
	memory.OnShortage(server.CloseIdleUpstream)
	e.startUsage(server)
	subscriber := e.subscribe(server, func() []string { return file.Current().SeedAddresses })
	e.subscriber.Store(subscriber)
	server.Vars().Set("feed_age_ms", expvar.Func(func() any { return subscriber.Age().Milliseconds() }))
	server.Vars().Set("entries_known", expvar.Func(func() any { return subscriber.Entries() }))
	server.Vars().Set("callers", memory.Vars())
	metrics.Serve(s.SessionAddress, opts.MetricsPort, "forward", server.Vars(), memory, logger)
	// The caller exits after serve, which also ends the goroutines that are still
	// running.
	return serve(ctx, file, server, memory, logger)
}

// entryProcess connects the parts of an entry.
type entryProcess struct {
	file   *platform.File
	logger *log.Logger
	self   *pb.Hello
	// memory has the descriptors of all connections; nil for no limit.
	memory *budget.Budget
	// subscriber is nil until the feed starts, which is after the server was
	// created.
	subscriber atomic.Pointer[feed.Subscriber]
}

// newServer returns a forwarding server that places requests through the
// schedulers of the pools, and opens connections to upstreams with dial.
func (e *entryProcess) newServer(dial forward.DialFunc) *forward.Server {
	s := e.file.Current()
	server := forward.NewServer(forward.Options{
		Protocol: platform.Headers{}, Place: s.Place, Logger: e.logger,
		RetryLimits: e.retryLimits, Restartable: true,
		Dial: e.memory.DialUpstream(dial),
	})
	dialer := e.newRelayDialer()
	server.SetRelay(upstreamRelay{dialer})
	server.Vars().Set("relay", dialer.Vars())
	schedulerClients := entry.NewSchedulerClients(entry.SchedulerClientOptions{
		EntryID: s.VM, SkipUpstreamList: true, Transport: e.transportOptions(), Lease: e.poolLease,
	})
	server.SetPlacer(&placer{schedulerClients: schedulerClients, logger: e.logger}, schedulerClients.SetPools)
	return server
}

// transportOptions are those of the sessions to other daemons.
func (e *entryProcess) transportOptions() transport.Options {
	return transport.Options{Self: e.self, Logger: e.logger, Dial: e.memory.DialSession(transport.DialTCP)}
}

// subscribe connects a server with the hubs of the core.
func (e *entryProcess) subscribe(server *forward.Server, seeds func() []string) *feed.Subscriber {
	subscriber := feed.Subscribe(feed.SubscriberOptions{
		Seeds:       seeds,
		Transport:   e.transportOptions(),
		Logger:      e.logger,
		OnDocument:  func(version uint64, body []byte) { applyConfig(server, e.logger, version, body) },
		OnUpstreams: server.SetUpstreams,
		Outcomes:    server.Outcomes, Reported: server.Reported, ReportNow: server.ReportNow(), OnErrorShares: server.SetErrorShares,
		OnEvidence: server.SetEvidence, Quarantined: server.Quarantined, StreamVersions: server.StreamVersions, SoftwareTellsRun: server.SoftwareTellsRun, OnStatements: server.SetStatements, OnServiceVersions: server.SetServiceVersions,
		RouteServices: server.RouteServices, OnRouteServices: server.SetRouteServices,
		EventNumberings: server.EventNumberings, OnEventNumberings: server.SetEventNumberings,
	})
	server.SetStreamVersionSource(subscriber)
	server.SetPermits(&permits{subscriber: subscriber, logger: e.logger})
	return subscriber
}

// retryLimits returns the retry limits of the current settings and the number of
// entries known from the feed.
func (e *entryProcess) retryLimits() forward.RetryLimits {
	s := e.file.Current()
	limits := forward.RetryLimits{RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow}
	if subscriber := e.subscriber.Load(); subscriber != nil {
		limits.Entries = subscriber.Entries()
	}
	return limits
}

// poolLease returns the core's leader as the lease holder of pool: the leader is
// the scheduler of all pools. It returns false if the leader is unknown.
func (e *entryProcess) poolLease(pool string) (*pb.PoolLease, bool) {
	subscriber := e.subscriber.Load()
	if subscriber == nil {
		return nil, false
	}
	address, term, known := subscriber.Leader()
	return &pb.PoolLease{Name: pool, Address: address, FencingToken: term}, known
}

func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(bytes)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func applyConfig(server *forward.Server, logger *log.Logger, version uint64, body []byte) {
	config, err := platform.DecodeConfig(body)
	if err != nil {
		// Not expected: the core validates configurations with the same decoder.
		logger.Error().Str("event", "config.undecodable").Uint64("version", version).Err(err).Msg("")
		return
	}
	server.SetConfig(config)
}

// serve runs the listeners until ctx ends, then drains.
func serve(ctx context.Context, file *platform.File, server *forward.Server, memory *budget.Budget, logger *log.Logger) error {
	s := file.Current()
	ready := &http.Server{Handler: platform.Readiness(server.Ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: idleTimeout}
	drainer := &httpdrain.Drainer{}
	callers := callersServer(server, drainer)
	failed := make(chan error, 2)
	for address, srv := range map[string]*http.Server{s.ReadinessAddress: ready, s.CallerAddress: callers} {
		memory.Configure(srv)
		l, err := memory.Listen(address)
		if err != nil {
			return errors.Wrap(err, "listening")
		}
		if srv == callers {
			l = drainer.Listener(l)
		}
		go func() { failed <- srv.Serve(l) }()
	}
	logger.Info().Str("event", "process.started").Str("build", settings.BuildVersion()).Uint32("protocol_level", uint32(protocol.Current)).Str("vm", s.VM).Str("callers", s.CallerAddress).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return drain(callers, ready, drainer, server, s.GracePeriod, logger)
}

// callersServer returns the HTTP server for callers.
func callersServer(server *forward.Server, drainer *httpdrain.Drainer) *http.Server {
	return &http.Server{
		Handler: drainer.Handler(server), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			server.ConnState(c, state)
			drainer.ConnState(c, state)
		},
	}
}

// drain reports the entry as not ready, keeps serving until the load balancer has
// detected that, and then waits for the requests in flight. Those that last too long get
// error responses before the process exits.
func drain(callers, ready *http.Server, drainer *httpdrain.Drainer, server *forward.Server, gracePeriod time.Duration, logger *log.Logger) error {
	began := time.Now()
	server.Drain()
	logger.Info().Str("event", "process.draining").Int64("in_flight", server.InFlight()).Msg("")
	noticeCtx, stop := context.WithTimeout(context.Background(), min(balancerNoticeTime, gracePeriod/2))
	drainer.CloseIdle(noticeCtx)
	stop()
	// A request that came from now on might not end in time.
	server.Refuse()
	margin := shutdownMargin(gracePeriod)
	end := began.Add(gracePeriod - margin)
	timer := time.AfterFunc(time.Until(end), func() {
		logger.Warn().Str("event", "process.ends_requests").Int64("in_flight", server.InFlight()).Msg("")
		server.EndRequests()
	})
	defer timer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(min(maxFinalResponseTime, margin/2)))
	defer cancel()
	err := drainer.Shutdown(ctx, callers)
	_ = ready.Close()
	logger.Info().Str("event", "process.stopped").Int64("in_flight", server.InFlight()).
		Int64("ms", time.Since(began).Milliseconds()).Err(err).Msg("")
	return nil
}
