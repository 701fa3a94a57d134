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
	// tolerated is the number of core daemons that may be lost at once.
	tolerated = 2
	// streamEvents and the paces of the runners keep a stream at half a second.
	streamEvents = 10
	eventPace    = 50 * time.Millisecond
	plainWork    = 10 * time.Millisecond
	// reportPause is the time between reports of a runner.
	reportPause = 500 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// system is the processes under test with their surroundings.
type system struct {
	opts    Options
	check   *checker
	ports   ports
	cores   []*process
	entries []*process
	version atomic.Int64
	serial  atomic.Int64

	mu      sync.Mutex
	runners []*served
}

// ports are the ports that all processes of a run use on their own addresses.
type ports struct{ session, control, front, ready int }

// served is a runner behind its proxy.
type served struct {
	*standin.Runner
	proxy *proxy
	stop  context.CancelFunc
}

// ip returns the loopback address of a process. The run's seed keeps runs that
// follow each other apart.
func (s *system) ip(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+s.opts.Seed%200, group, i+1)
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

func newSystem(opts Options, check *checker) (*system, error) {
	s := &system{opts: opts, check: check}
	var err error
	if s.ports, err = freePorts(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, s.ip(1, i))
	}
	for i := range coreCount {
		n := s.node("core", 1, i, seeds)
		n.DataDir = filepath.Join(opts.Dir, n.Name)
		s.cores = append(s.cores, s.process(n, "gw-core"))
	}
	for i := range opts.Entries {
		n := s.node("entry", 2, i, seeds)
		n.Front, n.Ready = s.ports.front, s.ports.ready
		s.entries = append(s.entries, s.process(n, "gw-edge"))
	}
	return s, nil
}

func (s *system) node(name string, group, i int, seeds []string) standin.NodeFile {
	return standin.NodeFile{
		Name: fmt.Sprintf("%s-%d", name, i), IP: s.ip(group, i), Zone: fmt.Sprintf("zone-%d", i%2), Session: s.ports.session,
		Control: s.ports.control, Seeds: seeds, Bootstrap: true, FaultTolerance: tolerated,
	}
}

func (s *system) process(n standin.NodeFile, binary string) *process {
	return &process{
		node: n, binary: filepath.Join(s.opts.Binaries, binary),
		file: filepath.Join(s.opts.Dir, n.Name+".toml"), log: filepath.Join(s.opts.Dir, n.Name+".log"),
	}
}

// start starts all processes and runners and waits until they serve.
func (s *system) start(ctx context.Context) error {
	for _, p := range append(append([]*process(nil), s.cores...), s.entries...) {
		if err := os.MkdirAll(filepath.Join(s.opts.Dir, p.node.Name), 0o700); err != nil {
			return errors.Wrap(err, "creating data folder")
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range s.opts.Runners {
		if err := s.addRunner(ctx, "plain", standin.StagePlain); err != nil {
			return err
		}
		stage := standin.StageDecode
		if i%3 == 2 {
			stage = standin.StagePrefill
		}
		if err := s.addRunner(ctx, "engines", stage); err != nil {
			return err
		}
	}
	return s.firstConfig(ctx)
}

// startLimit bounds the wait for the first acknowledged configuration and the
// first served request.
const startLimit = 20 * time.Second

func (s *system) firstConfig(ctx context.Context) error {
	for until := time.Now().Add(startLimit); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if s.putConfig(ctx, 0) != nil {
			continue
		}
		// Entries learn the configuration and the runners within a second.
		time.Sleep(1500 * time.Millisecond)
		return nil
	}
	return errors.New("no configuration was acknowledged after the start")
}

// coreAddress is the operators' address of a core daemon.
func (s *system) coreAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.ip(1, i%coreCount), s.ports.control)
}

func (s *system) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.ip(2, i%len(s.entries)), s.ports.front)
}

// putConfig sends the next version to the core daemons in turn until one
// acknowledges it.
func (s *system) putConfig(ctx context.Context, first int) error {
	version := int(s.version.Add(1))
	c := standin.Config{Version: version, Plain: "plain", Engines: "engines"}
	err := errors.New("no core daemon was asked")
	for i := range coreCount {
		putCtx, cancel := context.WithTimeout(ctx, time.Second)
		err = c.Put(putCtx, s.coreAddress(first+i))
		cancel()
		if err == nil {
			s.check.mu.Lock()
			s.check.acknowledged = max(s.check.acknowledged, version)
			s.check.mu.Unlock()
			return nil
		}
	}
	return err
}

// addRunner starts a runner behind a proxy and its reports.
func (s *system) addRunner(ctx context.Context, service, stage string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "starting a runner")
	}
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	if err != nil {
		return errors.Wrap(err, "starting a proxy")
	}
	r := &standin.Runner{
		ID: fmt.Sprintf("i-%d", s.serial.Add(1)), Service: service, Stage: stage, Work: plainWork, Events: streamEvents,
		OnRun: s.check.ran, OnArrival: s.check.arrived,
	}
	if stage == standin.StageDecode {
		r.Work = eventPace
	}
	r.Start(l)
	runCtx, stop := context.WithCancel(ctx)
	v := &served{Runner: r, proxy: p, stop: stop}
	s.mu.Lock()
	s.runners = append(s.runners, v)
	s.mu.Unlock()
	go s.report(runCtx, v)
	return nil
}

// report sends a runner's reports to one core daemon until it fails.
func (s *system) report(ctx context.Context, v *served) {
	ticker := time.NewTicker(reportPause)
	defer ticker.Stop()
	core := int(s.serial.Load())
	for {
		if !s.reportOnce(ctx, v, core) {
			core++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *system) reportOnce(ctx context.Context, v *served, core int) bool {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return v.Report(reportCtx, s.coreAddress(core), v.proxy.address(), "zone-0") == nil
}

// end ends everything that the soak started.
func (s *system) end() {
	for _, p := range append(append([]*process(nil), s.cores...), s.entries...) {
		p.signal(contSignal)
		p.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.runners {
		v.stop()
		v.Stop()
		v.proxy.close()
	}
}
