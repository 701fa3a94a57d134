package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// engineCall is one action that calls an engine.
type engineCall struct {
	active *activePool
	action Action
}

// engineClient is the client of one start of an engine.
type engineClient struct {
	generation uint64
	url        string
	engine     Engine
	// failures counts consecutive failed calls, inProgress the calls in
	// progress.
	failures   int
	inProgress int
}

// maxConsecutiveFailures is the number of consecutive failed calls from which
// on an engine gets one call at a time, so that calls which run into their
// timeout do not occupy every worker.
const maxConsecutiveFailures = 2

// enqueueCall queues an action for the workers that call engines. When the
// queue is full the call is dropped: Pool repeats cancellations, and lists an
// engine again while it reports work that no hold accounts for. A dropped order
// fails.
func (s *Scheduler) enqueueCall(a *activePool, act Action) {
	select {
	case s.calls <- engineCall{active: a, action: act}:
	default:
		s.vars.engineFailures.Add(callDropped, 1)
		if x, ok := act.(SendOrder); ok {
			s.perform(a, a.pool.OrderDone(x.ID, "too many calls to engines are waiting", s.now()))
		}
	}
}

// runEngineCalls is the loop of a worker that calls engines.
func (s *Scheduler) runEngineCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.calls:
			s.performCall(ctx, c)
		}
	}
}

func (s *Scheduler) performCall(ctx context.Context, c engineCall) {
	select {
	case <-c.active.done:
		// Only the lease holder may act on engines.
		return
	default:
	}
	if !s.holdsLease(c.active) {
		return
	}
	switch x := c.action.(type) {
	case CancelWork:
		if s.cancelWork(ctx, x.Engine, x) {
			c.active.pool.CancelDone(x.HoldID, x.Role, s.now())
			s.requestRun(c.active, Placement)
		}
	case CancelOrphan:
		s.cancelOrphan(ctx, x)
	case ListRunning:
		s.listRunning(ctx, c.active, x)
	case AskRole:
		s.askRole(ctx, c.active, x)
	case SendOrder:
		s.sendOrder(ctx, c.active, x)
	}
}

func (s *Scheduler) cancelWork(ctx context.Context, state *pb.UpstreamState, x CancelWork) bool {
	client := s.clientOf(state)
	if client == nil {
		return true
	}
	err := s.callWithTimeout(ctx, client, cancelCallTimeout, func(ctx context.Context) error {
		return client.engine.Cancel(ctx, &x.Work)
	})
	if err != nil && err != errUnresponsive {
		s.vars.engineFailures.Add(callCancel, 1)
		s.opts.Logger.Warn().Str("event", "engine.cancel").Str("upstream", state.Id).Str("request", x.Work.RequestID).Err(err).Msg("")
	}
	return err == nil
}

func (s *Scheduler) cancelOrphan(ctx context.Context, x CancelOrphan) {
	client := s.clientOf(x.Engine)
	if client == nil {
		return
	}
	err := s.callWithTimeout(ctx, client, cancelCallTimeout, func(ctx context.Context) error {
		return client.engine.Cancel(ctx, &x.Work)
	})
	if err == errUnresponsive {
		return
	}
	if err != nil {
		s.vars.engineFailures.Add(callCancelOrphan, 1)
		s.opts.Logger.Warn().Str("event", "engine.cancel_orphan").Str("upstream", x.Engine.Id).Str("request", x.Work.RequestID).Err(err).Msg("")
		return
	}
	s.vars.orphansCancelled.Add(1)
}

func (s *Scheduler) listRunning(ctx context.Context, a *activePool, x ListRunning) {
	client := s.clientOf(x.Engine)
	if client == nil {
		return
	}
	askedAt := s.now()
	var running []upstream.Running
	err := s.callWithTimeout(ctx, client, runningCallTimeout, func(ctx context.Context) (err error) {
		running, err = client.engine.Running(ctx)
		return err
	})
	if err != nil {
		if err != errUnresponsive {
			s.vars.engineFailures.Add(callRunning, 1)
			s.opts.Logger.Warn().Str("event", "engine.running").Str("upstream", x.Engine.Id).Err(err).Msg("")
		}
		a.pool.ListFailed(x.Engine)
		return
	}
	s.perform(a, a.pool.Listed(x.Engine, running, askedAt, s.now()))
}

func (s *Scheduler) askRole(ctx context.Context, a *activePool, x AskRole) {
	actions, complete := a.pool.RoleReported(x, s.reportedRole(ctx, x.Engine), s.now())
	s.perform(a, actions)
	if complete {
		s.requestRun(a, Roles)
	}
}

// reportedRole returns nil if the engine does not tell.
func (s *Scheduler) reportedRole(ctx context.Context, state *pb.UpstreamState) (report *upstream.RoleReport) {
	client := s.clientOf(state)
	if client == nil {
		return nil
	}
	engine, ok := client.engine.(roleReporter)
	if !ok {
		return nil
	}
	err := s.callWithTimeout(ctx, client, reportRoleTimeout, func(ctx context.Context) (err error) {
		report, err = engine.ReportRole(ctx)
		return err
	})
	if err == nil {
		return report
	}
	if err != errUnresponsive {
		s.vars.engineFailures.Add(callReportRole, 1)
		s.opts.Logger.Warn().Str("event", "engine.report_role").Str("upstream", state.Id).Err(err).Msg("")
	}
	return nil
}

func (s *Scheduler) sendOrder(ctx context.Context, a *activePool, x SendOrder) {
	failure := ""
	if client := s.clientOf(x.Engine); client != nil {
		ctx, stop := context.WithTimeout(ctx, time.Duration(x.TimeoutMillis)*time.Millisecond)
		defer stop()
		if err := client.engine.Order(ctx, &x.Order); err != nil {
			s.vars.engineFailures.Add(callOrder, 1)
			failure = err.Error()
		}
	}
	s.perform(a, a.pool.OrderDone(x.ID, failure, s.now()))
}

// errUnresponsive is the result of a call that was not made.
var errUnresponsive = errors.New("earlier calls to the engine failed and one is in progress")

// callWithTimeout makes one call, unless the engine failed repeatedly and
// another call to it is in progress.
func (s *Scheduler) callWithTimeout(ctx context.Context, k *engineClient, timeout time.Duration, call func(context.Context) error) error {
	s.engineMu.Lock()
	if k.failures >= maxConsecutiveFailures && k.inProgress > 0 {
		s.engineMu.Unlock()
		return errUnresponsive
	}
	k.inProgress++
	s.engineMu.Unlock()

	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	err := call(ctx)

	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	k.inProgress--
	k.failures++
	if err == nil {
		k.failures = 0
	}
	return err
}

// maxEngineClients bounds the cached engine clients.
const maxEngineClients = 4096

// clientOf returns the client of an engine, nil when calls are disabled.
func (s *Scheduler) clientOf(state *pb.UpstreamState) *engineClient {
	if s.opts.NewEngine == nil {
		return nil
	}
	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	k := s.engines[state.Id]
	if k != nil && k.generation == state.Generation && k.url == state.Url {
		return k
	}
	if len(s.engines) >= maxEngineClients {
		clear(s.engines)
	}
	k = &engineClient{generation: state.Generation, url: state.Url, engine: s.opts.NewEngine(state)}
	s.engines[state.Id] = k
	return k
}
