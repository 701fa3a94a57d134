// Command gw-core is a core daemon of the users' platform: operators' calls,
// reports of upstreams, and a member of the replicated configuration.
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
	app := settings.NewApp(program, "Serves operators and upstreams, and keeps the replicated configuration.")
	var path string
	var metricsPort uint16
	app.Flag("node-file", "Settings file that the platform writes.").Required().StringVar(&path)
	app.Flag("metrics-port", "Port of the metrics page, on the address for sessions.").Default("9464").Uint16Var(&metricsPort)
	var node *platform.File
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) { node = core.OpenSettings(l, path, logger) })
	if err := core.Run(settings.StopContext(), node, metricsPort, logger); err != nil {
		settings.Fail(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
