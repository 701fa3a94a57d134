package settings

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/finding"
)

// defaultName is the default VM, place and region. It suits an installation on a
// single machine only.
const defaultName = "local"

// Process holds the settings that identify a daemon to other daemons.
type Process struct {
	ID     string
	VM     string
	Place  string
	Region string
	// AllowPlainText accepts listeners without TLS outside loopback.
	AllowPlainText bool
}

// AddFlags adds the flags that every daemon has.
func (p *Process) AddFlags(app *kingpin.Application) {
	app.Flag("id", "Name of this daemon, unique in the system; default: the program and its VM.").StringVar(&p.ID)
	app.Flag("vm", "Name of the VM that this process runs on.").Default(defaultName).StringVar(&p.VM)
	app.Flag("place", "Place (data centre) of this process, for example otaru-b.").Default(defaultName).StringVar(&p.Place)
	app.Flag("region", "Region of this process, for example dohoku.").Default(defaultName).StringVar(&p.Region)
	app.Flag("allow-plain-text", "Accept listeners without TLS outside loopback.").BoolVar(&p.AllowPlainText)
}

// Check adds findings and sets ID to its default when it is empty.
func (p *Process) Check(l *finding.List, program string) {
	CheckName(l, "--vm", p.VM)
	CheckName(l, "--place", p.Place)
	CheckName(l, "--region", p.Region)
	if p.ID == "" {
		p.ID = program + "-" + p.VM
	}
	CheckName(l, "--id", p.ID)
}

// CheckVM adds a finding when the VM has the default name although the process
// listens outside loopback. Daemons on two such VMs would have the same default
// id, and so count as one daemon for serving leases and for reservations on
// engines.
func (p *Process) CheckVM(l *finding.List, listen string) {
	if p.VM == defaultName && !IsLoopback(listen) {
		l.Addf("--vm", "needed because %s is not a loopback address; the default would be the same on every VM", listen)
	}
}

// CheckRegion adds a finding when the region has the default name although the
// process listens outside loopback. A scheduler serves the pools of its region
// only, so with the default name it would usually have none.
func (p *Process) CheckRegion(l *finding.List, listen string) {
	if p.Region == defaultName && !IsLoopback(listen) {
		l.Addf("--region", "needed because %s is not a loopback address; the scheduler serves the pools of this region only", listen)
	}
}

// Hello returns the message that identifies the process on its sessions.
func (p *Process) Hello(program string) *pb.Hello {
	return &pb.Hello{DaemonId: p.ID, Vm: p.VM, Place: p.Place, Process: program + "/" + p.ID, Build: BuildVersion()}
}

// SplitList splits a flag value at commas and spaces and drops empty parts.
func SplitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}

// IgnoreSignals makes signals harmless for a daemon, from its first line on, whose default
// action is to end the process: SIGHUP, and SIGPIPE, which a write to a log output without
// a reader causes. Daemons that reload their settings on SIGHUP subscribe to it later.
func IgnoreSignals() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }

// SignalContext returns a context that ends at SIGTERM or SIGINT. A second
// signal terminates the process.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// FirstSignalContext returns a context that ends at the first SIGTERM or
// SIGINT. Later signals are ignored, because the process is already shutting
// down.
func FirstSignalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}
