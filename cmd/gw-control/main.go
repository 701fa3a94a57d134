// Command gw-control is one member of the control store.
package main

import (
	"os"

	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/settings"
)

const program = "gw-control"

func main() {
	settings.IgnoreSignals()
	app := settings.NewApp(program, "One member of the control store: configuration, leases and the ledger of non-repeatable calls.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)
	cfg := o.config()
	cfg.Logger = logger
	cfg.Cluster.OnFatal = func(err error) { settings.Fatal(logger, "replicating", err) }
	if err := settings.LoadTLS(&o.internal, &cfg.ServerTLS, &cfg.ClientTLS); err != nil {
		settings.Fatal(logger, "loading internal TLS", err)
	}
	if err := settings.LoadTLS(&o.operator, &cfg.OperatorTLS, nil); err != nil {
		settings.Fatal(logger, "loading operators' TLS", err)
	}

	ctx, stop := settings.SignalContext()
	defer stop()
	c, err := daemon.StartControl(cfg)
	if err != nil {
		settings.Fatal(logger, "starting", err)
	}
	<-ctx.Done()
	if err := c.Close(); err != nil {
		settings.Fatal(logger, "stopping the control store", err)
	}
}
