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
	app.Flag("node-file", "Settings file that the platform writes.").Required().StringVar(&path)
	var node *platform.File
	logger := settings.NewAsyncLogger(os.Stdout)
	settings.Parse(app, os.Args[1:], func(l *finding.List) { node = edge.OpenSettings(l, path, logger) })
	if err := edge.Run(settings.StopContext(), node, logger); err != nil {
		settings.Fail(logger, "running", err)
	}
	settings.CloseLogger(logger)
}
