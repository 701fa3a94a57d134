// Command gw-edge is the entry daemon of the users' platform: it forwards callers'
// requests to upstreams on one entry VM.
package main

import (
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
	app.Flag("node-file", "Node file: settings written by the platform.").Required().StringVar(&path)
	app.Flag("metrics-port", "Port of the metrics endpoint, on the session address.").Default("9464").Uint16Var(&metricsPort)
	var node *platform.File
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) { node = edge.OpenSettings(l, path, logger) })
	if err := edge.Run(ctx, node, metricsPort, logger); err != nil {
		settings.Fatal(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
