// Command gw-control is one member of the control store.
package main

import (
	"os"

	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/settings"
)

const program = "gw-control"

func main() {
	app := settings.NewApp(program, "One member of the control store: configuration, leases and the ledger of non-repeatable calls.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)

	// The files were loaded once by check.
	serverTLS, _ := o.internal.Server()
	clientTLS, _ := o.internal.Client()
	operatorTLS, _ := o.operator.Server()
	base := daemon.New(o.process.Hello(program), logger, serverTLS, clientTLS, nil)
	srv, err := control.New(o.control(base))
	if err != nil {
		settings.Fail(logger, "starting the control store", err)
	}
	srv.Register(base.Sessions)
	if _, err := base.ServeSessions(o.listen); err != nil {
		settings.Fail(logger, "starting", err)
	}
	operators, err := base.ServeHTTP(o.operatorListen, handler(srv), operatorTLS)
	if err != nil {
		settings.Fail(logger, "starting", err)
	}
	logger.Info().Str("event", "process.started").Str("listen", o.listen).Str("operators", operators.Addr).Msg("")

	ctx, stop := settings.SignalContext()
	defer stop()
	<-ctx.Done()
	err = srv.Close()
	operators.Close()
	base.Sessions.Close()
	if err != nil {
		settings.Fail(logger, "stopping the control store", err)
	}
	logger.Info().Str("event", "process.stopped").Msg("")
}
