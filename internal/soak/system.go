package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

const (
	coreCount = 5
	// seedCount is the number of core daemons that others are told of.
	seedCount = 3
	// faultTolerance is the number of core daemons that may fail at once.
	faultTolerance = 2
	// streamEvents and eventInterval give streams of half a second.
	streamEvents = 10
	// softwareVersions is the number of software versions that runners have.
	softwareVersions = 2
	eventInterval    = 50 * time.Millisecond
	plainServiceTime = 10 * time.Millisecond
	// reportInterval is the time between two reports of a runner.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the time limit of one report.
	reportTimeout = time.Second
	engineService = "engines"
	runnerZone    = "zone-0"
	// proxySubnet is the first subnet of the runners' addresses.
	proxySubnet      = 3
	proxiesPerSubnet = 200
)

// system is the set of processes under test, with the runners and proxies that
// act as their upstreams.
type system struct {
	opts         Options
	shape        shape
	check        *checker
	ports        ports
	cores        []*process
	entries      []*process
	lastVersion  atomic.Int64
	lastRunnerID atomic.Int64
	// runnerStarts counts the starts of runners, which report to the core daemons in turn.
	runnerStarts atomic.Int64
	// releases counts the releases of engines, each of which brings a new software version.
	releases atomic.Int64
	// replacing serialises the replacements of a release.
	replacing sync.Mutex
	// newBuild is the build with which a run ends, unless it goes back.
	newBuild Build
	// phase is that of a run with an upgrade, changesPaused set while no route changes, and
	// moves the number of core daemons that got another address.
	phase         atomic.Int32
	changesPaused atomic.Bool
	moves         atomic.Int32
	// unavailable holds until when each core daemon counts as unavailable.
	unavailableMu sync.Mutex
	unavailable   [coreCount]time.Time
	// targets are the locks that serialise the faults of one target.
	targetsMu sync.Mutex
	targets   map[int]*sync.Mutex

	// processes is set if each runner is a process of its own.
	processes bool

	mu      sync.Mutex
	runners []*proxiedRunner
	// restarting holds the ids of runners that start again in place.
	restarting map[string]bool
	// lateCores holds how long reports take to core daemons that they reach late.
	lateCores map[int]time.Duration
	// answerFaults are the faults of the runners' answers that are in progress.
	answerFaults []standin.WireFault
	// cuts holds how entries are cut off from all runners, by address.
	cuts map[string]faultKind
	// uncuttable holds the builds whose entries can't be cut off.
	uncuttable map[Build]bool

	cutCheck       cutCheck
	lostCheck      lostCheck
	statementCheck statementCheck
	deadlyCheck    deadlyCheck
	idle           idlePhase
}

// ports are the TCP ports of a run. All processes use the same ports, each on its
// own loopback address.
type ports struct{ session, control, front, ready int }

// proxiedRunner is a runner behind its proxy.
type proxiedRunner struct {
	*standin.Runner
	// engine is what its replacement is like.
	engine      engine
	proxy       *proxy
	stopReports context.CancelFunc
	// process serves the requests, nil if the runner does.
	process *runnerProcess
}

// ip returns the loopback address of a process. The address contains the seed, so
// that consecutive runs use different addresses.
func (s *system) ip(subnet, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+s.opts.Seed%200, subnet, i+1)
}

func freePorts() (ports, error) {
	var p ports
	for _, port := range []*int{&p.session, &p.control, &p.front, &p.ready} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, errors.Wrap(err, "finding a port")
		}
		*port = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
	}
	return p, nil
}

func newSystem(opts Options, sh shape, check *checker, processes bool) (*system, error) {
	s := &system{opts: opts, shape: sh, check: check, processes: processes, cuts: map[string]faultKind{}, restarting: map[string]bool{}, lateCores: map[int]time.Duration{}, newBuild: Build{Name: opts.BuildName, Dir: opts.Binaries}, targets: map[int]*sync.Mutex{}}
	var err error
	if s.ports, err = freePorts(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, s.ip(1, i))
	}
	for i := range coreCount {
		n := s.node("core", 1, i, seeds)
		n.DataDir = filepath.Join(opts.Dir, n.Name)
		s.cores = append(s.cores, s.process(n, coreProgram))
	}
	for i := range opts.Entries {
		n := s.node("entry", 2, i, seeds)
		n.CallerPort, n.ReadinessPort = s.ports.front, s.ports.ready
		s.entries = append(s.entries, s.process(n, edgeProgram))
	}
	return s, nil
}

func (s *system) node(name string, subnet, i int, seeds []string) standin.NodeFile {
	return standin.NodeFile{
		Name: fmt.Sprintf("%s-%d", name, i), IP: s.ip(subnet, i), Zone: fmt.Sprintf("zone-%d", i%2), SessionPort: s.ports.session,
		OperatorPort: s.ports.control, Seeds: seeds, Bootstrap: true, FaultTolerance: faultTolerance,
	}
}

func (s *system) process(n standin.NodeFile, program string) *process {
	b := s.newBuild
	if s.opts.Upgrade != nil {
		b = s.opts.Upgrade.From
	}
	return &process{
		node: n, program: program, build: b,
		nodeFile: filepath.Join(s.opts.Dir, n.Name+".toml"), logFile: filepath.Join(s.opts.Dir, n.Name+".log"),
	}
}

// start starts all processes and runners and waits until a configuration is in
// force.
func (s *system) start(ctx context.Context) error {
	for _, p := range append(append([]*process(nil), s.cores...), s.entries...) {
		if err := os.MkdirAll(filepath.Join(s.opts.Dir, p.node.Name), 0o700); err != nil {
			return errors.Wrap(err, "creating data folder")
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range max(s.opts.Runners, s.opts.Engines) {
		if i < s.opts.Runners {
			if err := s.addRunner(ctx, engine{service: "plain", interval: plainServiceTime}); err != nil {
				return err
			}
		}
		if i >= s.opts.Engines {
			continue
		}
		if err := s.addRunner(ctx, s.shape.engine(i, s.opts.Engines)); err != nil {
			return err
		}
	}
	return s.putFirstConfig(ctx)
}

// startTimeout is the time limit for the first acknowledged configuration.
const startTimeout = 20 * time.Second

func (s *system) putFirstConfig(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if s.putConfig(ctx, 0) != nil {
			continue
		}
		// Entries receive the configuration and the runners within a second.
		time.Sleep(1500 * time.Millisecond)
		return nil
	}
	return errors.New("no configuration was acknowledged within the start timeout")
}

// coreAddress returns the control address of a core daemon.
func (s *system) coreAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.cores[i%coreCount].address(), s.ports.control)
}

func (s *system) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.ip(2, i%len(s.entries)), s.ports.front)
}

// putConfig sends the next configuration version to the core daemons in turn,
// starting with the given one, until one acknowledges it.
func (s *system) putConfig(ctx context.Context, first int) error {
	version := int(s.lastVersion.Add(1))
	c := s.shape.config(version)
	defer s.lostCheck.changeSent()()
	err := errors.New("no core daemon was asked")
	for i := range coreCount {
		putCtx, cancel := context.WithTimeout(ctx, time.Second)
		err = c.Put(putCtx, s.coreAddress(first+i))
		cancel()
		if err == nil {
			s.check.mu.Lock()
			s.check.ackedVersion = max(s.check.ackedVersion, version)
			s.check.mu.Unlock()
			return nil
		}
	}
	return err
}

// addRunner starts a runner behind a proxy, and starts sending its reports.
func (s *system) addRunner(ctx context.Context, e engine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "starting a runner")
	}
	n := s.lastRunnerID.Add(1)
	// A port of an address of its own is still free when the runner starts again there.
	address := s.ip(proxySubnet+int(n)/proxiesPerSubnet, int(n)%proxiesPerSubnet)
	p, err := newProxy(address+":0", l.Addr().String(), s.processes)
	if err != nil {
		return errors.Wrap(err, "starting a proxy")
	}
	version := fmt.Sprintf("v%d", e.version)
	if release := s.releases.Load(); release > 0 && e.stage != standin.StagePlain {
		version = fmt.Sprintf("v%d", int64(s.shape.softwareVersions)-1+release)
	}
	runner, err := s.startRunner(ctx, l, p, runnerStart{id: fmt.Sprintf("i-%d", n), version: version, engine: e})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyCuts(p)
	s.runners = append(s.runners, runner)
	return nil
}

// runnerStart is the start of a process of a runner.
type runnerStart struct {
	id, version string
	engine      engine
	// startMs is the start that it states, in Unix milliseconds; the current time if 0.
	startMs int64
	// reportDelay is the time until its first report is sent.
	reportDelay time.Duration
}

// startRunner starts a runner that listens at l, and starts sending its reports.
func (s *system) startRunner(ctx context.Context, l net.Listener, p *proxy, st runnerStart) (*proxiedRunner, error) {
	e := st.engine
	r := &standin.Runner{
		ID: st.id, Version: st.version, Service: e.service, Stage: e.stage, ServiceTime: e.interval, Events: streamEvents, StartMs: st.startMs, Statements: s.opts.Statements.drawn(s.opts.Seed),
		OnStart: s.check.requestRan, OnArrival: s.requestArrived, OnEnd: s.lostCheck.runEnded, OnOtherCache: s.check.otherCacheUsed,
	}
	r.SetWeights(e.weights)
	runCtx, stop := context.WithCancel(ctx)
	runner := &proxiedRunner{Runner: r, engine: e, proxy: p, stopReports: stop}
	r.CrashPath, r.OnCrash = deadlyPath, func() { s.runnerCrashed(ctx, runner) }
	// Nothing listens once the connections break, as with a runner without a proxy.
	r.BeforeCrash = func() { _ = p.listener.Close() }
	if s.processes {
		if err := s.startRunnerProcess(runner, l); err != nil {
			stop()
			return nil, err
		}
	} else {
		r.Start(l)
	}
	go func() {
		sleep(runCtx, st.reportDelay)
		s.sendReports(ctx, runCtx, runner)
	}()
	return runner, nil
}

// sendReports sends a runner's reports to one core daemon until runnerCtx ends, and
// switches to the next daemon when a report fails.
func (s *system) sendReports(ctx, runnerCtx context.Context, runner *proxiedRunner) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	core := int(s.runnerStarts.Add(1))
	for runnerCtx.Err() == nil {
		if s.delayReport(ctx, runner, core) {
			sleep(runnerCtx, reportTimeout)
			core++
			continue
		}
		if !s.sendReport(runnerCtx, runner, core) {
			core++
		}
		select {
		case <-runnerCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *system) sendReport(ctx context.Context, runner *proxiedRunner, core int) bool {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return runner.Report(reportCtx, s.coreAddress(core), runner.proxy.address(), runnerZone) == nil
}

// stop stops all processes, runners and proxies.
func (s *system) stop() {
	for _, p := range append(append([]*process(nil), s.cores...), s.entries...) {
		p.signal(resumeSignal)
		p.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runner := range s.runners {
		runner.stopReports()
		runner.Stop()
		runner.proxy.close()
	}
}
