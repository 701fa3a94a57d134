// Command gw-entry accepts callers' requests on one VM.
package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
)

const (
	program = "gw-entry"
	// goMemoryShare is the part of the process's memory that is the soft limit of the Go
	// runtime, as that of gw-edge.
	goMemoryShare = 0.6
)

type options struct {
	process      settings.Process
	callers      settings.TLS
	upstreams    settings.TLS
	internal     settings.TLS
	cfg          daemon.EntryConfig
	controlAddrs string
	limits       entry.Limits
	memoryBytes  int64
	maxFds       int
	drainTimeout time.Duration
}

func (o *options) addFlags(app *kingpin.Application) {
	o.process.AddFlags(app)
	app.Flag("upstream-listen", "Address for announcements of upstreams; empty: accepted on --listen, where callers could send announcements too.").
		StringVar(&o.cfg.Upstreams)
	app.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").StringVar(&o.cfg.Listen)
	app.Flag("sessions", "Address for sessions from other daemons.").Default("127.0.0.1:7100").StringVar(&o.cfg.Sessions)
	app.Flag("debug", "Address for health checks and metrics; empty: not served.").Default("127.0.0.1:8180").StringVar(&o.cfg.Debug)
	app.Flag("control-addrs", "Session addresses of the control members, separated by commas.").Required().StringVar(&o.controlAddrs)
	app.Flag("memory-bytes", "Memory available to this process, bytes; the default limits for bodies and responses are derived from it.").Default("1073741824").Int64Var(&o.memoryBytes)
	app.Flag("max-fds", "Descriptors available to this process, a part of which is for callers' connections; 0: the process's own limit.").IntVar(&o.maxFds)
	app.Flag("max-requests", "Maximum number of requests in flight; 0: derived from the number of cores.").Int64Var(&o.limits.Requests)
	app.Flag("max-body-bytes", "Maximum memory for request bodies, bytes; 0: derived from memory.").Int64Var(&o.limits.BodyBytes)
	app.Flag("max-answer-bytes", "Maximum memory for buffered responses, bytes; 0: derived from memory.").Int64Var(&o.limits.ResponseBytes)
	app.Flag("drain-delay", "Time to continue accepting requests after a stop signal, so that load balancers notice the drain.").Default("5s").DurationVar(&o.cfg.DrainDelay)
	app.Flag("drain-timeout", "Maximum wait for requests in flight at shutdown.").Default("150s").DurationVar(&o.drainTimeout)
	o.callers.AddFlags(app, "caller", "callers")
	o.upstreams.AddFlags(app, "upstream", "announcements of upstreams")
	o.internal.AddFlags(app, "internal", "sessions between daemons")
}

func (o *options) check(l *finding.List) {
	o.process.Check(l, program)
	settings.CheckIPAddr(l, "--listen", o.cfg.Listen)
	settings.CheckIPAddr(l, "--sessions", o.cfg.Sessions)
	o.process.CheckVM(l, o.cfg.Sessions)
	settings.CheckDebugAddr(l, o.cfg.Debug, o.process.AllowPlainText)
	o.cfg.ControlAddrs = settings.SplitList(o.controlAddrs)
	settings.CheckIPAddrs(l, "--control-addrs", o.cfg.ControlAddrs)
	if o.memoryBytes < 1<<26 {
		l.Addf("--memory-bytes", "%d is less than 64 MiB", o.memoryBytes)
	}
	if o.maxFds < 0 {
		l.Addf("--max-fds", "%d is less than 0", o.maxFds)
	}
	if o.cfg.Upstreams != "" {
		settings.CheckIPAddr(l, "--upstream-listen", o.cfg.Upstreams)
	} else if o.upstreams.Enabled() {
		l.Addf("--upstream-listen", "needed because files for --upstream-tls are given, which only this listener uses")
	}
	o.upstreams.Check(l, o.cfg.Upstreams, false, o.process.AllowPlainText)
	o.callers.Check(l, o.cfg.Listen, false, o.process.AllowPlainText)
	o.internal.Check(l, o.cfg.Sessions, true, o.process.AllowPlainText)
}

// limitsWithDefaults returns the limits, with defaults for those not set.
func (o *options) limitsWithDefaults() entry.Limits {
	limits := entry.DefaultLimits(0, o.memoryBytes)
	if o.limits.Requests > 0 {
		limits.Requests = o.limits.Requests
	}
	if o.limits.BodyBytes > 0 {
		limits.BodyBytes = o.limits.BodyBytes
	}
	if o.limits.ResponseBytes > 0 {
		limits.ResponseBytes = o.limits.ResponseBytes
	}
	return limits
}

// descriptors returns the number of descriptors that the process may use, 0 if it is not known.
func (o *options) descriptors() int {
	if o.maxFds > 0 {
		return o.maxFds
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func main() {
	settings.IgnoreSignals()
	app := settings.NewApp(program, "Accepts callers' requests and forwards them to upstreams.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)
	o.cfg.Self = o.process.Hello(program)
	o.cfg.Logger = logger
	o.cfg.Limits, o.cfg.MemoryBytes, o.cfg.MaxDescriptors = o.limitsWithDefaults(), o.memoryBytes, o.descriptors()
	debug.SetMemoryLimit(int64(goMemoryShare * float64(o.memoryBytes)))
	if err := settings.LoadTLS(&o.callers, &o.cfg.CallerTLS, nil); err != nil {
		settings.Fatal(logger, "loading callers' TLS", err)
	}
	if err := settings.LoadTLS(&o.upstreams, &o.cfg.UpstreamTLS, nil); err != nil {
		settings.Fatal(logger, "loading upstreams' TLS", err)
	}
	if err := settings.LoadTLS(&o.internal, &o.cfg.ServerTLS, &o.cfg.ClientTLS); err != nil {
		settings.Fatal(logger, "loading internal TLS", err)
	}

	ctx, stop := settings.SignalContext()
	defer stop()
	e, err := daemon.StartEntry(o.cfg)
	if err != nil {
		settings.Fatal(logger, "starting", err)
	}
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), o.drainTimeout)
	defer cancel()
	if err := e.Shutdown(drainCtx); err != nil {
		settings.Fatal(logger, "draining", err)
	}
}
