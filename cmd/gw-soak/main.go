// Command gw-soak runs the real programs with injected faults and checks the
// promises from outside.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/soak"
)

const program = "gw-soak"

type options struct {
	seed   uint64
	seeds  int
	faults []string
	keep   string
	run    soak.Options
}

func (o *options) addFlags(app *kingpin.Application) {
	app.Flag("seed", "First seed; the schedule of faults depends on it alone.").Default("1").Uint64Var(&o.seed)
	app.Flag("seeds", "Number of seeds to play, one after the other.").Default("1").IntVar(&o.seeds)
	app.Flag("duration", "Time in which faults begin.").Default("30s").DurationVar(&o.run.Duration)
	app.Flag("entries", "Number of entry processes.").Default("4").IntVar(&o.run.Entries)
	app.Flag("runners", "Number of runners of each service.").Default("5").IntVar(&o.run.Runners)
	app.Flag("faults", "Kinds of faults; may be repeated. Default: all.").EnumsVar(&o.faults, soak.FaultKinds()...)
	app.Flag("keep", "Folder for logs and data; default: a temporary one that is kept after a finding.").StringVar(&o.keep)
}

func (o *options) check(l *finding.List) {
	if o.seeds < 1 {
		l.Addf("--seeds", "%d is less than 1", o.seeds)
	}
	if o.run.Entries < 1 || o.run.Entries > 200 {
		l.Addf("--entries", "%d is not between 1 and 200", o.run.Entries)
	}
	if o.run.Runners < 3 || o.run.Runners > 100 {
		l.Addf("--runners", "%d is not between 3 and 100", o.run.Runners)
	}
	if o.run.Duration < 5*time.Second {
		l.Addf("--duration", "%v is shorter than 5s", o.run.Duration)
	}
}

func main() {
	app := settings.NewApp(program, "Runs the real programs with injected faults and checks the promises from outside.")
	o := &options{}
	o.addFlags(app)
	settings.Parse(app, os.Args[1:], o.check)
	ctx := settings.StopContext()
	logger := settings.NewLogger(os.Stderr)
	binaries, err := os.MkdirTemp("", "gw-soak-bin-")
	if err != nil {
		settings.Fail(logger, "creating a folder", err)
	}
	defer os.RemoveAll(binaries)
	build := exec.CommandContext(ctx, "go", "build", "-o", binaries, "./cmd/gw-edge", "./cmd/gw-core")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		settings.Fail(logger, "building the programs", err)
	}
	o.run.Binaries, o.run.Out, o.run.Faults = binaries, os.Stdout, o.faults
	failed := 0
	for i := range uint64(o.seeds) {
		if ctx.Err() != nil {
			break
		}
		if !o.play(ctx, o.seed+i) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", o.seeds-failed, failed)
	if failed > 0 || ctx.Err() != nil {
		os.RemoveAll(binaries)
		os.Exit(settings.ExitFailed)
	}
}

// play plays one seed and reports whether no promise was broken.
func (o *options) play(ctx context.Context, seed uint64) bool {
	opts := o.run
	opts.Seed = seed
	dir := o.keep
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
	if o.keep == "" {
		_ = os.RemoveAll(opts.Dir)
	}
	return true
}
