// Command gw-core is a core daemon of the users' platform: it serves operators,
// receives reports of upstreams, and is a member of the replicated configuration
// store.
package main

import (
	"os"

	"godwitward.example/godwitward/internal/core"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/platform"
)

const program = "gw-core"

func main() {
	settings.IgnoreSignals()
	ctx := settings.FirstSignalContext()
	app := settings.NewApp(program, "Serves operators and upstreams, and replicates the configuration.")
	var path string
	var metricsPort uint16
	app.Flag("node-file", "Node file: settings written by the platform.").Required().StringVar(&path)
	app.Flag("metrics-port", "Port of the metrics endpoint, on the session address.").Default("9464").Uint16Var(&metricsPort)
	var node *platform.File
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) { node = core.OpenSettings(l, path, logger) })
	if err := core.Run(ctx, node, metricsPort, logger); err != nil {
		settings.Fatal(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
