// Command gw-load sends generated load to the entries and checks every response.
// It exits with status 1 when a call was lost, duplicated, executed twice or cut
// off, or when engine memory was not released.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/load"
	"godwitward.example/godwitward/internal/settings"
)

const (
	// A single run ends within a minute, including the time for draining.
	defaultRunDuration = 15 * time.Second
	// Two rounds of two policies together take about a minute.
	defaultCompareDuration = 6 * time.Second
)

// exitCheckFailed is the exit status when a check of the responses or of the
// engines failed.
const exitCheckFailed = 1

type command struct {
	options       load.Options
	workload      string
	plot          string
	policy        string
	policies      string
	rounds        int
	faultInterval time.Duration
}

func main() {
	log.DefaultLogger.Writer = &log.ConsoleWriter{Formatter: log.LogfmtFormatter{TimeField: "ts"}.Formatter}
	var c command
	app := kingpin.New("gw-load", "Send load to entries and check every response.")
	app.Version(settings.VersionLine("gw-load"))
	app.Flag("workload", "kiritani or vodnarka.").Default("kiritani").EnumVar(&c.workload, "kiritani", "vodnarka")
	app.Flag("load", "Offered load, percent of the stand-ins' capacity.").Default("90").Float64Var(&c.options.Load)
	app.Flag("urgent-load", "Load of urgent calls, percent; same as --load by default.").Float64Var(&c.options.UrgentLoad)
	app.Flag("duration", "Time span in which requests arrive in each run, at most 25s; default: 15s, or 6s for compare.").DurationVar(&c.options.Duration)
	app.Flag("seed", "Seed of arrivals and faults.").Default("1").Uint64Var(&c.options.Seed)
	app.Flag("entry", "Base URL of an entry; repeatable. Without it, and always for compare, the router is started in this process.").
		StringsVar(&c.options.Entries)
	app.Flag("policy", "Placement policy of the router in this process; default: the router's default policy. Not used by compare.").StringVar(&c.policy)
	app.Flag("upstream", "Base URL of a separately started stand-in; repeatable, in the order of the workload's fleet; used only with --entry. "+
		"Without it the fleet is started in this process.").StringsVar(&c.options.Upstreams)
	app.Flag("plot", "Write a chart to this SVG file.").StringVar(&c.plot)
	run := app.Command("run", "Run a workload.")
	faults := app.Command("faults", "Run a workload with a seeded schedule of faults.")
	faults.Flag("fault-interval", "Mean time between faults.").Default("1s").DurationVar(&c.faultInterval)
	compare := app.Command("compare", "Compare two policies, alternating in one run.")
	compare.Arg("policies", "Two policy names, separated by a comma.").Required().StringVar(&c.policies)
	compare.Flag("rounds", "Runs of each policy.").Default("2").IntVar(&c.rounds)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c.options.Workload = load.Workloads()[c.workload]
	if c.options.Duration == 0 {
		c.options.Duration = defaultRunDuration
		if verb == compare.FullCommand() {
			c.options.Duration = defaultCompareDuration
		}
	}
	var report *load.Report
	var err error
	switch verb {
	case run.FullCommand():
		report, err = c.run(ctx)
	case faults.FullCommand():
		c.options.FaultInterval = c.faultInterval
		report, err = c.run(ctx)
	case compare.FullCommand():
		report, err = c.compare(ctx)
	}
	if err != nil {
		log.Fatal().Err(err).Str("verb", verb).Msg("load run failed")
	}
	if err := c.writeReport(report); err != nil {
		log.Fatal().Err(err).Msg("writing the plot failed")
	}
	if report.Failed() {
		os.Exit(exitCheckFailed)
	}
}

func (c *command) run(ctx context.Context) (*load.Report, error) {
	if len(c.options.Entries) > 0 {
		return load.Run(ctx, c.options)
	}
	return load.RunSystem(ctx, embedded{}, c.options, c.policy)
}

// compare prints a summary per policy and returns a report merged from all runs,
// whose failed checks decide the exit status.
func (c *command) compare(ctx context.Context) (*load.Report, error) {
	policies := strings.Split(c.policies, ",")
	results, err := load.Compare(ctx, embedded{}, c.options, policies, c.rounds)
	if err != nil {
		return nil, err
	}
	for _, result := range results {
		fmt.Printf("policy=%s %s\n", result.Policy, result.Report.Summary())
	}
	return load.Merge(results), nil
}

func (c *command) writeReport(report *load.Report) error {
	if c.plot != "" {
		f, err := os.Create(c.plot)
		if err != nil {
			return err
		}
		if err := report.Plot(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	report.Print(os.Stdout)
	return nil
}
