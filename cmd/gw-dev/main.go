// Command gw-dev runs a complete system with stand-in upstreams in one process.
package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/dev"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/load"
	"godwitward.example/godwitward/internal/settings"
)

const (
	startTimeout = 20 * time.Second
	// maxStandIns limits the stand-ins of each kind to what one process can run.
	maxStandIns = 64
)

type options struct {
	cfg                    dev.Config
	prefill, decode, plain int
	drainTimeout           time.Duration
}

func (o *options) addFlags(app *kingpin.Application) {
	app.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").StringVar(&o.cfg.Listen)
	app.Flag("operators", "Address for operators (gwctl).").Default("127.0.0.1:8081").StringVar(&o.cfg.Operators)
	app.Flag("debug", "Address for health checks and metrics.").Default("127.0.0.1:8082").StringVar(&o.cfg.Debug)
	app.Flag("data-dir", "Directory for the control member's log and snapshots.").Default("data").StringVar(&o.cfg.DataDir)
	app.Flag("prefill-engines", "Number of stand-in prefill engines.").Default("2").IntVar(&o.prefill)
	app.Flag("decode-engines", "Number of stand-in decode engines.").Default("3").IntVar(&o.decode)
	app.Flag("plain-services", "Number of stand-in plain services.").Default("2").IntVar(&o.plain)
	app.Flag("policy", "Placement policy; the other values are baselines for comparison.").
		Default("default").EnumVar(&o.cfg.Policy, "default", "round-robin", "least-outstanding", "two-choices", "prefill-first")
	app.Flag("drain-timeout", "Maximum wait for requests in flight at shutdown.").Default("120s").DurationVar(&o.drainTimeout)
}

func (o *options) check(l *finding.List) {
	settings.CheckIPAddr(l, "--listen", o.cfg.Listen)
	settings.CheckIPAddr(l, "--operators", o.cfg.Operators)
	settings.CheckIPAddr(l, "--debug", o.cfg.Debug)
	for _, n := range []struct {
		flag  string
		value int
	}{{"--prefill-engines", o.prefill}, {"--decode-engines", o.decode}, {"--plain-services", o.plain}} {
		if n.value < 1 || n.value > maxStandIns {
			l.Addf(n.flag, "%d is not from 1 to %d", n.value, maxStandIns)
		}
	}
}

// routes returns the default routes, which the README uses, and the routes of
// gw-load's workloads.
func routes() []*pb.Route {
	all := dev.DefaultRoutes()
	for _, name := range []string{"kiritani", "vodnarka"} {
		all = append(all, load.Workloads()[name].Routes()...)
	}
	return all
}

func main() {
	app := settings.NewApp("gw-dev", "Runs a complete system with stand-in upstreams in one process.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)
	o.cfg.Logger = logger
	o.cfg.Routes = routes()
	o.cfg.Upstreams = dev.DefaultUpstreams(o.prefill, o.decode, o.plain)

	ctx, stop := settings.SignalContext()
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	system, err := dev.Start(startCtx, o.cfg)
	cancel()
	if err != nil {
		settings.Fatal(logger, "starting the system", err)
	}
	logger.Info().Str("event", "system.ready").Str("callers", system.Entry.Addr).Str("operators", system.Control.OperatorAddr).Msg("")
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), o.drainTimeout)
	defer cancel()
	if err := system.Shutdown(drainCtx); err != nil {
		settings.Fatal(logger, "draining", err)
	}
}
