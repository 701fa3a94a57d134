// Command gw-scheduler admits and places the requests of the pools whose leases it
// holds.
package main

import (
	"context"
	"os"
	"runtime"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
)

const program = "gw-scheduler"

type options struct {
	process         settings.Process
	internal        settings.TLS
	cfg             daemon.SchedulerConfig
	controlAddrs    string
	handoverTimeout time.Duration
}

func (o *options) addFlags(app *kingpin.Application) {
	o.process.AddFlags(app)
	app.Flag("sessions", "Address for sessions from other daemons.").Default("127.0.0.1:7200").StringVar(&o.cfg.Sessions)
	app.Flag("debug", "Address for health checks and metrics; empty: not served.").Default("127.0.0.1:8280").StringVar(&o.cfg.Debug)
	app.Flag("control-addrs", "Session addresses of the control members, separated by commas.").Required().StringVar(&o.controlAddrs)
	app.Flag("preference", "Rank among candidates for a lease; 0: the number of cores.").Uint32Var(&o.cfg.Preference)
	app.Flag("policy", "Placement policy; the other values are baselines for comparison.").
		Default("default").EnumVar(&o.cfg.Policy, "default", "round-robin", "least-outstanding", "two-choices", "prefill-first")
	app.Flag("urgent-reserve", "Share of decode and prefill capacity that is reserved for urgent requests while any arrive, 0 to 0.9; 0: the default of 0.05.").
		Float64Var(&o.cfg.Params.UrgentReserve)
	app.Flag("reserve-prefill-engine", "Of three or more prefill engines, reserve at least one for urgent requests and short drafts; for engines that cannot interrupt a running prefill.").
		BoolVar(&o.cfg.Params.ReservePrefillEngine)
	app.Flag("handover-timeout", "Maximum wait for the release of the leases at shutdown.").Default("5s").DurationVar(&o.handoverTimeout)
	o.internal.AddFlags(app, "internal", "sessions between daemons")
}

func (o *options) check(l *finding.List) {
	o.process.Check(l, program)
	// Entries get this address from the pool leases and dial it.
	settings.CheckPeerAddr(l, "--sessions", o.cfg.Sessions)
	o.process.CheckVM(l, o.cfg.Sessions)
	o.process.CheckRegion(l, o.cfg.Sessions)
	settings.CheckDebugAddr(l, o.cfg.Debug, o.process.AllowPlainText)
	o.cfg.ControlAddrs = settings.SplitList(o.controlAddrs)
	settings.CheckIPAddrs(l, "--control-addrs", o.cfg.ControlAddrs)
	if r := o.cfg.Params.UrgentReserve; r < 0 || r > 0.9 {
		l.Addf("--urgent-reserve", "%v is not from 0 to 0.9", r)
	}
	o.internal.Check(l, o.cfg.Sessions, true, o.process.AllowPlainText)
}

func main() {
	settings.IgnoreSignals()
	app := settings.NewApp(program, "Admits and places the requests of the pools whose leases it holds.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)
	o.cfg.Self = o.process.Hello(program)
	o.cfg.Region = o.process.Region
	o.cfg.Logger = logger
	if o.cfg.Preference == 0 {
		o.cfg.Preference = uint32(runtime.NumCPU())
	}
	if err := settings.LoadTLS(&o.internal, &o.cfg.ServerTLS, &o.cfg.ClientTLS); err != nil {
		settings.Fatal(logger, "loading internal TLS", err)
	}

	ctx, stop := settings.SignalContext()
	defer stop()
	s, err := daemon.StartScheduler(o.cfg)
	if err != nil {
		settings.Fatal(logger, "starting", err)
	}
	<-ctx.Done()
	handoverCtx, cancel := context.WithTimeout(context.Background(), o.handoverTimeout)
	defer cancel()
	if err := s.Shutdown(handoverCtx); err != nil {
		settings.Fatal(logger, "releasing leases", err)
	}
}
