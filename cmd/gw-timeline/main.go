// Command gw-timeline merges the events of several processes into one timeline.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/transport"
)

type options struct {
	daemonAddrs string
	files       []string
	html        string
	timeout     time.Duration
	tls         settings.TLS
	filter      pb.EventsRequest
}

func (o *options) addFlags(app *kingpin.Application) {
	app.Flag("daemons", "Session addresses of daemons to ask for recent events, separated by commas.").StringVar(&o.daemonAddrs)
	app.Flag("request", "Only events of this request id.").StringVar(&o.filter.RequestId)
	app.Flag("upstream", "Only events of this upstream.").StringVar(&o.filter.Upstream)
	app.Flag("lease", "Only events of this lease, for example draftwell/dohoku#4.").StringVar(&o.filter.Lease)
	app.Flag("limit", "Show only this number of newest events; 0: all.").Default("0").Uint32Var(&o.filter.Limit)
	app.Flag("html", "Write a self-contained HTML page to this file instead of text.").StringVar(&o.html)
	app.Flag("timeout", "Timeout for each daemon.").Default("3s").DurationVar(&o.timeout)
	o.tls.AddFlags(app, "internal", "sessions to daemons")
	app.Arg("files", "Log files of processes.").ExistingFilesVar(&o.files)
}

func (o *options) check(l *finding.List) {
	if o.daemonAddrs == "" && len(o.files) == 0 {
		l.Addf("--daemons", "at least one daemon or one log file is required")
	}
	for i, a := range settings.SplitList(o.daemonAddrs) {
		settings.CheckIPAddr(l, fmt.Sprintf("--daemons[%d]", i), a)
	}
	o.tls.Check(l, "", true, true)
}

func main() {
	app := settings.NewApp("gw-timeline", "Merges the events recorded by several processes into one ordered list.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	logger := settings.NewLogger(os.Stderr)

	lists := make([][]*pb.Event, 0, len(o.files))
	for _, name := range o.files {
		events, err := readFile(name)
		if err != nil {
			settings.Fatal(logger, "reading "+name, err)
		}
		lists = append(lists, events)
	}
	unreachable := 0
	for _, addr := range settings.SplitList(o.daemonAddrs) {
		events, err := fetch(o, addr)
		if err != nil {
			logger.Error().Str("event", "daemon.unreachable").Str("addr", addr).Err(err).Msg("")
			unreachable++
			continue
		}
		lists = append(lists, events)
	}
	if err := write(o, timeline.Filter(timeline.Merge(lists...), &o.filter)); err != nil {
		settings.Fatal(logger, "writing the timeline", err)
	}
	// Scripts must be able to tell an incomplete timeline from a complete one.
	if unreachable > 0 {
		os.Exit(settings.ExitFailed)
	}
}

func readFile(name string) ([]*pb.Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return timeline.ReadLog(f, strings.TrimSuffix(filepath.Base(name), ".log"))
}

func fetch(o *options, addr string) ([]*pb.Event, error) {
	cfg, err := o.tls.Client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	c := transport.NewClient(addr, transport.Options{TLS: cfg, Self: &pb.Hello{Process: "gw-timeline"}})
	defer c.Close()
	resp := &pb.EventsResponse{}
	if err := c.Call(ctx, transport.MethodEvents, &o.filter, resp); err != nil {
		return nil, err
	}
	return resp.Events, nil
}

func write(o *options, events []*pb.Event) error {
	if o.html == "" {
		return timeline.WriteText(os.Stdout, events)
	}
	f, err := os.Create(o.html)
	if err != nil {
		return err
	}
	title := "godwitward time line"
	if o.filter.RequestId != "" {
		title = "request " + o.filter.RequestId
	}
	if err := timeline.WriteHTML(f, title, events); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
