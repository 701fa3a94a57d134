package dev

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/scheduler"
	"godwitward.example/godwitward/internal/standin"
)

// Region is the region of the default pools.
const Region = "local"

const memberID = 1

const pollInterval = 20 * time.Millisecond

// Config configures an embedded system. Zero fields take the stated defaults.
type Config struct {
	// Listen is the address for callers. Default "127.0.0.1:0", a free port.
	Listen string
	// Operators is the address for operators. Default "127.0.0.1:0".
	Operators string
	// Debug is the address for health checks and metrics. Empty: not served.
	Debug string
	// DataDir is the directory for the control member's state. Required.
	DataDir string
	// Upstreams are the settings of the stand-ins to start. Start fills in the
	// entries, and the region where it is missing.
	Upstreams []standin.Settings
	// Routes are created through the operator service if they do not exist.
	Routes []*pb.Route
	// Policy is the name of the placement policy. Empty: the default policy.
	Policy string
	Params scheduler.Params
	Logger *log.Logger
}

// System is a running embedded system.
type System struct {
	Control   *daemon.Control
	Scheduler *daemon.Scheduler
	Entry     *daemon.Entry
	Upstreams []standin.Instance
	// Operator is a client of the operator service.
	Operator godwitwardv1connect.OperatorServiceClient

	cfg    Config
	cancel context.CancelFunc
}

// Start starts a system and waits until its routes are in force and its scheduler
// knows every stand-in.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{cfg: cfg}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func addrOrLoopback(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

func (s *System) start(ctx context.Context) (err error) {
	if err := s.startControl(); err != nil {
		return err
	}
	s.Operator = godwitwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+s.Control.OperatorAddr)
	if err := s.StartScheduler(); err != nil {
		return err
	}
	s.Entry, err = daemon.StartEntry(daemon.EntryConfig{
		Self: s.hello("gw-entry"), Listen: addrOrLoopback(s.cfg.Listen), Sessions: "127.0.0.1:0", Debug: s.cfg.Debug,
		ControlAddrs: []string{s.Control.Addr}, Logger: s.cfg.Logger,
	})
	if err != nil {
		return err
	}
	if err := s.putRoutes(ctx); err != nil {
		return err
	}
	return s.startUpstreams(ctx)
}

func (s *System) startControl() error {
	mode := replica.StartBootstrap
	hasState, err := replica.HasState(nil, s.cfg.DataDir)
	if err != nil {
		return errors.Wrap(err, "checking the data directory for state")
	}
	if hasState {
		mode = replica.StartExisting
	}
	s.Control, err = daemon.StartControl(daemon.ControlConfig{
		Self:     s.hello("gw-control"),
		Sessions: "127.0.0.1:0", Operators: addrOrLoopback(s.cfg.Operators), Logger: s.cfg.Logger,
		Store: control.Options{ID: memberID},
		Cluster: control.ClusterOptions{
			Dir: s.cfg.DataDir, Start: mode, Seed: memberID,
			// A single member has no peers, so this address is never dialled.
			Members: map[uint64]string{memberID: "127.0.0.1:0"},
		},
	})
	return err
}

// StartScheduler starts the scheduler. It may be called again after the scheduler
// was killed.
func (s *System) StartScheduler() (err error) {
	s.Scheduler, err = daemon.StartScheduler(daemon.SchedulerConfig{
		Self: s.hello("gw-scheduler"), Sessions: "127.0.0.1:0",
		ControlAddrs: []string{s.Control.Addr}, Policy: s.cfg.Policy, Params: s.cfg.Params, Logger: s.cfg.Logger,
	})
	return err
}

func (s *System) hello(program string) *pb.Hello {
	return &pb.Hello{DaemonId: program, Vm: "local", Place: "local", Process: program}
}

func (s *System) putRoutes(ctx context.Context) error {
	current, err := s.readConfig(ctx)
	if err != nil {
		return err
	}
	version := current.GetVersion()
	existing := map[string]bool{}
	for _, r := range current.GetRoutes() {
		existing[r.Name] = true
	}
	for _, r := range s.cfg.Routes {
		if existing[r.Name] {
			continue
		}
		change := &pb.ConfigChange{
			RequestId:   fmt.Sprintf("dev-%s-%d", r.Name, version),
			BaseVersion: version,
			Change:      &pb.ConfigChange_PutRoute{PutRoute: r},
		}
		outcome, err := s.changeConfig(ctx, change)
		if err != nil {
			return errors.Wrapf(err, "creating route %s", r.Name)
		}
		if outcome.Code != pb.ChangeOutcome_ACCEPTED {
			return errors.Errorf("creating route %s: %s %v", r.Name, outcome.Code, outcome.Findings)
		}
		version = outcome.Version
	}
	return nil
}

// changeConfig applies a change, and sends it again while the control member does not lead: it
// steps down when its disk stalls. A change is applied once for its request id.
func (s *System) changeConfig(ctx context.Context, change *pb.ConfigChange) (outcome *pb.ChangeOutcome, err error) {
	waitErr := poll(ctx, func() bool {
		var resp *connect.Response[pb.ChangeConfigResponse]
		resp, err = s.Operator.ChangeConfig(ctx, connect.NewRequest(&pb.ChangeConfigRequest{Change: change}))
		if err == nil {
			outcome = resp.Msg.Outcome
		}
		code := connect.CodeOf(err)
		return err == nil || code != connect.CodeFailedPrecondition && code != connect.CodeUnavailable
	})
	if waitErr != nil && err == nil {
		err = waitErr
	}
	return outcome, err
}

// readConfig retries the read until the control member has become leader.
func (s *System) readConfig(ctx context.Context) (cfg *pb.Config, err error) {
	waitErr := poll(ctx, func() bool {
		var resp *connect.Response[pb.GetConfigResponse]
		if resp, err = s.Operator.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{})); err != nil {
			return false
		}
		cfg = resp.Msg.Config
		return true
	})
	if waitErr != nil && err == nil {
		err = waitErr
	}
	return cfg, errors.Wrap(err, "reading the configuration")
}

// poll calls done repeatedly until it returns true or ctx ends.
func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (s *System) startUpstreams(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, settings := range s.cfg.Upstreams {
		if settings.Region == "" {
			settings.Region = Region
		}
		settings.Entries = []string{"http://" + s.Entry.Addr}
		instance, err := standin.Start(runCtx, settings)
		if err != nil {
			return errors.Wrapf(err, "starting stand-in %s", settings.ID)
		}
		s.Upstreams = append(s.Upstreams, instance)
	}
	return s.waitForUpstreams(ctx)
}

// waitForUpstreams waits until a scheduler knows as many live upstreams as were
// started, so that the first request is not refused for lack of an upstream.
func (s *System) waitForUpstreams(ctx context.Context) error {
	err := poll(ctx, func() bool {
		resp, err := s.Operator.ListUpstreams(ctx, connect.NewRequest(&pb.ListUpstreamsRequest{}))
		return err == nil && countLive(resp.Msg.Pools) >= len(s.cfg.Upstreams)
	})
	return errors.Wrap(err, "waiting for the scheduler to know all upstreams")
}

func countLive(pools []*pb.SchedulerState) int {
	live := 0
	for _, p := range pools {
		for _, u := range p.Upstreams {
			if u.Health == pb.UpstreamStatus_LIVE {
				live++
			}
		}
	}
	return live
}

// Shutdown drains the entry, releases the scheduler's leases and stops the system.
func (s *System) Shutdown(ctx context.Context) error {
	err := s.Entry.Shutdown(ctx)
	s.Entry = nil
	if schedulerErr := s.Scheduler.Shutdown(ctx); err == nil {
		err = schedulerErr
	}
	s.Scheduler = nil
	s.Close()
	return err
}

// Close stops the system without draining. It may be called more than once.
func (s *System) Close() {
	if s.Entry != nil {
		s.Entry.Kill()
		s.Entry = nil
	}
	if s.Scheduler != nil {
		s.Scheduler.Kill()
		s.Scheduler = nil
	}
	for _, u := range s.Upstreams {
		u.Kill()
	}
	if s.cancel != nil {
		s.cancel()
	}
	if s.Control != nil {
		_ = s.Control.Close()
		s.Control = nil
	}
}
