// Command gw-edge is the entry daemon of the users' platform: it forwards callers'
// requests to upstreams on one entry VM.
package main

import (
	"net/netip"
	"os"

	"godwitward.example/godwitward/internal/edge"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/platform"
)

const program = "gw-edge"

func main() {
	settings.IgnoreSignals()
	ctx := settings.FirstSignalContext()
	app := settings.NewApp(program, "Forwards callers' requests on one entry VM.")
	var path string
	var metricsPort uint16
	var source string
	app.Flag("node-file", "Node file: settings written by the platform.").Required().StringVar(&path)
	app.Flag("metrics-port", "Port of the metrics endpoint, on the session address.").Default("9464").Uint16Var(&metricsPort)
	app.Flag("source-address", "IP address of this VM from which connections to upstreams are opened. The system chooses it if none is given.").StringVar(&source)
	var node *platform.File
	var sourceAddress netip.Addr
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) {
		node = edge.OpenSettings(l, path, logger)
		if source == "" {
			return
		}
		var err error
		if sourceAddress, err = netip.ParseAddr(source); err != nil {
			l.Addf("--source-address", "%v", err)
		}
	})
	if err := edge.Run(ctx, node, edge.Options{MetricsPort: metricsPort, SourceAddress: sourceAddress}, logger); err != nil {
		settings.Fatal(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
