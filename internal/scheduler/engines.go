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
	pool   *activePool
	action Action
}

// knownEngine is the client of one start of an engine.
type knownEngine struct {
	generation uint64
	url        string
	engine     Engine
	// failures counts consecutive failed calls, busy the calls in progress.
	failures int
	busy     int
}

// maxFailures is the number of consecutive failed calls from which an engine
// gets one call at a time: calls that each wait for their limit must not keep
// every caller from the engines that answer.
const maxFailures = 2

// enqueueCall hands an action to the engine callers. When they are far behind,
// the call is dropped: the core asks for cancellations and lists again.
func (s *Scheduler) enqueueCall(a *activePool, act Action) {
	select {
	case s.calls <- engineCall{pool: a, action: act}:
	default:
		s.vars.engineFailures.Add(callDropped, 1)
		if x, ok := act.(SendOrder); ok {
			s.perform(a, a.core.OrderDone(x.ID, "too many calls to engines are waiting", s.now()))
		}
	}
}

// callEngines carries out calls to engines.
func (s *Scheduler) callEngines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.calls:
			s.callEngine(ctx, c)
		}
	}
}

func (s *Scheduler) callEngine(ctx context.Context, c engineCall) {
	select {
	case <-c.pool.done:
		// Only the lease holder may act on engines.
		return
	default:
	}
	if !s.holds(c.pool) {
		return
	}
	switch x := c.action.(type) {
	case CancelWork:
		if s.cancel(ctx, x.Engine, x) {
			c.pool.core.CancelDone(x.HoldID, x.Side, s.now())
			s.signal(c.pool, Placement)
		}
	case CancelOrphan:
		s.cancelOrphan(ctx, x)
	case ListRunning:
		s.list(ctx, c.pool, x)
	case SendOrder:
		s.sendOrder(ctx, c.pool, x)
	}
}

func (s *Scheduler) cancel(ctx context.Context, state *pb.UpstreamState, x CancelWork) bool {
	known := s.engine(state)
	if known == nil {
		return true
	}
	err := s.limited(ctx, known, cancelCallLimit, func(ctx context.Context) error {
		return known.engine.Cancel(ctx, &x.Work)
	})
	if err != nil && err != errUnresponsive {
		s.vars.engineFailures.Add(callCancel, 1)
		s.opts.Logger.Warn().Str("event", "engine.cancel").Str("upstream", state.Id).Str("request", x.Work.RequestID).Err(err).Msg("")
	}
	return err == nil
}

func (s *Scheduler) cancelOrphan(ctx context.Context, x CancelOrphan) {
	known := s.engine(x.Engine)
	if known == nil {
		return
	}
	err := s.limited(ctx, known, cancelCallLimit, func(ctx context.Context) error {
		return known.engine.Cancel(ctx, &x.Work)
	})
	if err == errUnresponsive {
		return
	}
	if err != nil {
		s.vars.engineFailures.Add(callCancelOrphan, 1)
		s.opts.Logger.Warn().Str("event", "engine.cancel_orphan").Str("upstream", x.Engine.Id).Str("request", x.Work.RequestID).Err(err).Msg("")
		return
	}
	s.vars.orphans.Add(1)
}

func (s *Scheduler) list(ctx context.Context, a *activePool, x ListRunning) {
	known := s.engine(x.Engine)
	if known == nil {
		return
	}
	asked := s.now()
	var running []upstream.Running
	err := s.limited(ctx, known, runningCallLimit, func(ctx context.Context) (err error) {
		running, err = known.engine.Running(ctx)
		return err
	})
	if err != nil {
		if err != errUnresponsive {
			s.vars.engineFailures.Add(callRunning, 1)
			s.opts.Logger.Warn().Str("event", "engine.running").Str("upstream", x.Engine.Id).Err(err).Msg("")
		}
		a.core.ListFailed(x.Engine)
		return
	}
	s.perform(a, a.core.Listed(x.Engine, running, asked, s.now()))
}

func (s *Scheduler) sendOrder(ctx context.Context, a *activePool, x SendOrder) {
	failure := ""
	if known := s.engine(x.Engine); known != nil {
		ctx, stop := context.WithTimeout(ctx, time.Duration(x.LimitMillis)*time.Millisecond)
		defer stop()
		if err := known.engine.Order(ctx, &x.Order); err != nil {
			s.vars.engineFailures.Add(callOrder, 1)
			failure = err.Error()
		}
	}
	s.perform(a, a.core.OrderDone(x.ID, failure, s.now()))
}

// errUnresponsive is the outcome of a call that was not made.
var errUnresponsive = errors.New("earlier calls to the engine failed and one is in progress")

// limited makes one call within a time limit.
func (s *Scheduler) limited(ctx context.Context, k *knownEngine, limit time.Duration, call func(context.Context) error) error {
	s.engineMu.Lock()
	if k.failures >= maxFailures && k.busy > 0 {
		s.engineMu.Unlock()
		return errUnresponsive
	}
	k.busy++
	s.engineMu.Unlock()

	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	err := call(ctx)

	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	k.busy--
	k.failures++
	if err == nil {
		k.failures = 0
	}
	return err
}

// maxKnownEngines bounds the clients that are kept.
const maxKnownEngines = 4096

// engine returns the client of an engine, nil when calls are disabled.
func (s *Scheduler) engine(state *pb.UpstreamState) *knownEngine {
	if s.opts.NewEngine == nil {
		return nil
	}
	s.engineMu.Lock()
	defer s.engineMu.Unlock()
	k := s.engines[state.Id]
	if k != nil && k.generation == state.Generation && k.url == state.Url {
		return k
	}
	if len(s.engines) >= maxKnownEngines {
		clear(s.engines)
	}
	k = &knownEngine{generation: state.Generation, url: state.Url, engine: s.opts.NewEngine(state)}
	s.engines[state.Id] = k
	return k
}
