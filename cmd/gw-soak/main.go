// Command gw-soak runs the real programs, injects faults and checks the system's
// guarantees from outside.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/soak"
	"godwitward.example/godwitward/platform/standin"
)

const program = "gw-soak"

type options struct {
	seed        uint64
	seeds       int
	faults      []string
	keepDir     string
	binaries    string
	upgradeFrom string
	upgrade     soak.Upgrade
	statements  string
	soakOptions soak.Options
}

func (o *options) addFlags(app *kingpin.Application) {
	app.Flag("seed", "First seed; the fault schedule depends on it alone.").Default("1").Uint64Var(&o.seed)
	app.Flag("seeds", "Number of seeds to run, one after the other.").Default("1").IntVar(&o.seeds)
	app.Flag("duration", "Time span in which faults start.").Default("30s").DurationVar(&o.soakOptions.Duration)
	app.Flag("shape", "Shape: small, kiritani (7 entries, 9 engines of two services and two weights, long streams) or one-version (the same with one service and one version of everything), which set the numbers below.").Default(soak.ShapeSmall).EnumVar(&o.soakOptions.Shape, soak.Shapes...)
	app.Flag("entries", "Number of entry processes (gw-edge).").Default("4").IntVar(&o.soakOptions.Entries)
	app.Flag("runners", "Number of runners (stand-in upstreams) of the plain service.").Default("5").IntVar(&o.soakOptions.Runners)
	app.Flag("engines", "Number of runners of the service with model engines; default: as many as --runners.").IntVar(&o.soakOptions.Engines)
	app.Flag("faults", "Kinds of faults; may be repeated. Default: all.").EnumsVar(&o.faults, soak.FaultKinds()...)
	app.Flag("statements", "What runners state where the users' pages leave it open: drawn from the seed, or usual as in the runs before it was drawn. The flags below set single ones.").Default(soak.Drawn).EnumVar(&o.statements, soak.Drawn, soak.Usual)
	for _, f := range o.statementFlags() {
		app.Flag(f.name, f.help).EnumVar(f.value, soak.StatementChoices...)
	}
	app.Flag("binaries", "Folder with gw-edge and gw-core of another commit; default: they are built from the current folder.").StringVar(&o.binaries)
	app.Flag("upgrade-from", "Build with which each run begins: a folder with gw-edge and gw-core, or a commit of this repository's history. All daemons change to the present build, one after the other, beside the faults.").StringVar(&o.upgradeFrom)
	app.Flag("upgrade-order", "Order of an upgrade; default: drawn from the seed.").EnumVar(&o.upgrade.Order, soak.UpgradeOrders...)
	app.Flag("upgrade-end", "forward: all daemons get the present build; back: some do and go back; again: some go back before all get it. Default: drawn from the seed.").EnumVar(&o.upgrade.End, soak.UpgradeEnds...)
	app.Flag("keep", "Folder for logs and data, which are kept; default: a temporary folder, kept only after a failure.").StringVar(&o.keepDir)
}

// statementFlag sets what runners state about one point.
type statementFlag struct {
	name, help string
	value      *string
}

func (o *options) statementFlags() []statementFlag {
	s := &o.soakOptions.Statements
	return []statementFlag{
		{"start-in-report", "Start of the process in the answer to GET /report.", &s.StartInReport},
		{"start-in-heartbeat", "The same in liveness reports; absent leaves it out of the answer, too.", &s.StartInHeartbeat},
		{"keep-alive", "Keep-Alive in answers.", &s.KeepAlive},
		{"connection-close", "Connection: close in some answers; usual is never.", &s.Close},
		{"weights-in-refusal", "Weights in a 421 to a request that expects others.", &s.WeightsInRefusal},
	}
}

func (o *options) check(l *finding.List) {
	if o.seeds < 1 {
		l.Addf("--seeds", "%d is less than 1", o.seeds)
	}
	if o.soakOptions.Entries < 1 || o.soakOptions.Entries > 200 {
		l.Addf("--entries", "%d is not between 1 and 200", o.soakOptions.Entries)
	}
	if o.soakOptions.Runners < 1 || o.soakOptions.Runners > 100 {
		l.Addf("--runners", "%d is not between 1 and 100", o.soakOptions.Runners)
	}
	if o.soakOptions.Engines < 0 || o.soakOptions.Engines > 100 {
		l.Addf("--engines", "%d is not between 0 and 100", o.soakOptions.Engines)
	}
	if o.upgradeFrom == "" && (o.upgrade.Order != "" || o.upgrade.End != "") {
		l.Addf("--upgrade-order, --upgrade-end", "need --upgrade-from")
	}
	if o.soakOptions.Duration < 5*time.Second {
		l.Addf("--duration", "%v is shorter than 5s", o.soakOptions.Duration)
	}
}

func main() {
	if served, err := standin.ServeProcess(); served {
		if err != nil {
			settings.Fatal(settings.NewLogger(os.Stderr), "serving as a runner", err)
		}
		return
	}
	app := settings.NewApp(program, "Runs the real programs, injects faults and checks the system's guarantees from outside.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	ctx := settings.FirstSignalContext()
	logger := settings.NewLogger(os.Stderr)
	binaries, err := os.MkdirTemp("", "gw-soak-bin-")
	if err != nil {
		settings.Fatal(logger, "creating a folder", err)
	}
	defer os.RemoveAll(binaries)
	o.soakOptions.Binaries, o.soakOptions.Out, o.soakOptions.Faults = o.binaries, os.Stdout, o.faults
	o.soakOptions.BuildName = "present"
	for _, f := range o.statementFlags() {
		*f.value = cmp.Or(*f.value, o.statements)
	}
	if o.binaries == "" {
		if _, err := soak.BuildSource(ctx, ".", o.soakOptions.BuildName, binaries); err != nil {
			settings.Fatal(logger, "building the programs", err)
		}
		o.soakOptions.Binaries = binaries
	}
	if o.upgradeFrom != "" {
		if o.upgrade.From, err = soak.OpenBuild(ctx, o.upgradeFrom, binaries); err != nil {
			settings.Fatal(logger, "--upgrade-from", err)
		}
		o.soakOptions.Upgrade = &o.upgrade
	}
	if o.soakOptions.Engines == 0 {
		o.soakOptions.Engines = o.soakOptions.Runners
	}
	failed := 0
	for i := range uint64(o.seeds) {
		if ctx.Err() != nil {
			break
		}
		if !o.runSeed(ctx, o.seed+i) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", o.seeds-failed, failed)
	if failed > 0 || ctx.Err() != nil {
		os.RemoveAll(binaries)
		os.Exit(settings.ExitFailed)
	}
}

// runSeed runs the fault schedule of one seed and reports whether it ended without
// findings or errors.
func (o *options) runSeed(ctx context.Context, seed uint64) bool {
	opts := o.soakOptions
	opts.Seed = seed
	dir := o.keepDir
	if dir == "" {
		dir = os.TempDir()
	}
	opts.Dir = filepath.Join(dir, fmt.Sprintf("gw-soak-%d-%d", seed, os.Getpid()))
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		fmt.Println("seed", seed, "failed:", err)
		return false
	}
	findings, err := soak.Run(ctx, opts)
	for _, f := range findings {
		fmt.Println("seed", seed, "broken:", f)
	}
	if err != nil {
		fmt.Println("seed", seed, "failed:", err)
	}
	if err != nil || len(findings) > 0 {
		fmt.Println("seed", seed, "logs:", opts.Dir)
		return false
	}
	if o.keepDir == "" {
		_ = os.RemoveAll(opts.Dir)
	}
	return true
}
