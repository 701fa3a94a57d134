// Command gw-edge forwards callers' requests on one entry VM of the users'
// platform.
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
	app := settings.NewApp(program, "Forwards callers' requests on one entry VM.")
	var path string
	var metricsPort uint16
	app.Flag("node-file", "Settings file that the platform writes.").Required().StringVar(&path)
	app.Flag("metrics-port", "Port of the metrics page, on the address for sessions.").Default("9464").Uint16Var(&metricsPort)
	var node *platform.File
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) { node = edge.OpenSettings(l, path, logger) })
	if err := edge.Run(settings.StopContext(), node, metricsPort, logger); err != nil {
		settings.Fail(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
