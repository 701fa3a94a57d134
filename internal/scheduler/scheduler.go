package scheduler

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Intervals of the controllers, sizes of the queues, and timeouts of calls to
// engines.
const (
	tick = 20 * time.Millisecond
	// idleTick replaces tick while no pool has queued requests or holds. Most
	// schedulers serve no pool and use CPU time only for their ticks.
	idleTick           = 200 * time.Millisecond
	forecastInterval   = 2 * tick
	expiryInterval     = 60 * time.Millisecond
	ordersInterval     = 100 * time.Millisecond
	agingInterval      = 500 * time.Millisecond
	orphansInterval    = 500 * time.Millisecond
	rolesInterval      = time.Second
	taskQueueSize      = 1024
	engineQueueSize    = 4096
	cancelCallTimeout  = time.Second
	runningCallTimeout = 2 * time.Second
)

// Scheduler runs the pools for which this process holds the lease and carries
// out their actions.
type Scheduler struct {
	opts   Options
	policy policy.Policy
	origin time.Time
	vars   *vars

	mu     sync.Mutex
	pools  map[string]*activePool
	drains DrainSet
	// watchStreams counts the open WatchUpstreams streams of each entry, to
	// tell an entry that has reconnected from one that is disconnected.
	watchStreams map[string]int

	tickets atomic.Uint64
	tasks   chan task
	calls   chan engineCall

	engineMu sync.Mutex
	engines  map[string]*engineClient
}

// activePool is a pool that this process serves.
type activePool struct {
	name  string
	lease string
	pool  *Pool
	// runRequested marks controllers that are queued for a worker.
	runRequested [controllerCount]atomic.Bool
	// done is closed when the pool is deactivated.
	done chan struct{}

	mu      sync.Mutex
	waiters map[uint64]chan *pb.SubmitResponse
	orders  map[uint64]chan OrderResult
	closed  bool
}

// holdsLease reports whether this process still holds the pool's lease.
func (s *Scheduler) holdsLease(a *activePool) bool {
	return s.opts.HoldsLease == nil || s.opts.HoldsLease(a.name, a.pool.fencingToken)
}

// task is one run of a controller.
type task struct {
	active     *activePool
	controller Controller
}

// New returns a scheduler that is active for no pool. An unknown policy is
// logged and replaced by the default.
func New(opts Options) *Scheduler {
	opts.setDefaults()
	pol, err := policy.ByName(opts.Policy)
	if err != nil {
		opts.Logger.Error().Str("event", "scheduler.policy").Err(err).Msg("using the default policy")
		pol = policy.Default{}
	}
	s := &Scheduler{
		opts: opts, policy: pol, origin: opts.Now(),
		pools: map[string]*activePool{}, drains: NewDrainSet(nil), watchStreams: map[string]int{},
		tasks: make(chan task, taskQueueSize), calls: make(chan engineCall, engineQueueSize),
		engines: map[string]*engineClient{},
	}
	s.vars = newVars(s)
	return s
}

// now returns the time since origin, as Pool uses it.
func (s *Scheduler) now() time.Duration {
	return s.opts.Now().Sub(s.origin)
}

// Activate starts to serve a pool under a lease that was acquired at
// acquiredAt. A call with the current token has no effect.
func (s *Scheduler) Activate(pool string, fencingToken uint64, acquiredAt time.Time) {
	s.mu.Lock()
	old := s.pools[pool]
	if old != nil && old.pool.fencingToken == fencingToken {
		s.mu.Unlock()
		return
	}
	params := s.opts.Params
	if s.opts.PoolParams != nil {
		s.opts.PoolParams(pool, &params)
	}
	p := NewPool(pool, params, s.policy, fencingToken, acquiredAt.Sub(s.origin), uint64(s.opts.Now().UnixNano()))
	p.SetDrains(s.drains, s.now())
	s.pools[pool] = &activePool{
		name: pool, lease: pool + tokenSeparator + strconv.FormatUint(fencingToken, 10), pool: p, done: make(chan struct{}),
		waiters: map[uint64]chan *pb.SubmitResponse{}, orders: map[uint64]chan OrderResult{},
	}
	s.mu.Unlock()
	if old != nil {
		s.closePool(old)
	}
	s.vars.takeovers.Add(1)
	s.opts.Recorder.Record(&pb.Event{Kind: "pool.activated", Lease: pool + tokenSeparator + strconv.FormatUint(fencingToken, 10)})
}

// Deactivate stops serving a pool. Queued requests are refused with NOT_HOLDER,
// and no engine is called for the pool any more.
func (s *Scheduler) Deactivate(pool string) {
	s.mu.Lock()
	old := s.pools[pool]
	delete(s.pools, pool)
	s.mu.Unlock()
	if old == nil {
		return
	}
	s.closePool(old)
	s.opts.Recorder.Record(&pb.Event{Kind: "pool.deactivated", Lease: old.lease})
}

func (s *Scheduler) closePool(a *activePool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	close(a.done)
	for ticket, ch := range a.waiters {
		ch <- notHolder(a.name)
		delete(a.waiters, ticket)
	}
	for id, ch := range a.orders {
		ch <- OrderResult{ID: id, Failure: "the pool's lease was lost"}
		delete(a.orders, id)
	}
}

func notHolder(pool string) *pb.SubmitResponse {
	r := newRefusal(pb.Refusal_NOT_HOLDER, 0, "this process does not hold the lease of pool %s", pool)
	return &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: r}}
}

// SetDrains replaces the drained upstreams and places of all pools.
func (s *Scheduler) SetDrains(set DrainSet) {
	s.mu.Lock()
	s.drains = set
	s.mu.Unlock()
	for _, a := range s.activePools() {
		a.pool.SetDrains(set, s.now())
		s.requestRun(a, Placement)
	}
}

// EntrySessionEnded reports that a session with an entry ended. The entry's
// holds are cancelled after HoldGrace unless it has another connection or
// reconnects.
func (s *Scheduler) EntrySessionEnded(entryID string) {
	s.mu.Lock()
	connected := s.watchStreams[entryID] > 0
	s.mu.Unlock()
	if connected {
		return
	}
	for _, a := range s.activePools() {
		a.pool.EntryDisconnected(entryID, s.now())
	}
}

func (s *Scheduler) entryConnected(id string) {
	s.mu.Lock()
	s.watchStreams[id]++
	s.mu.Unlock()
	for _, a := range s.activePools() {
		a.pool.EntryConnected(id)
	}
}

func (s *Scheduler) entryDisconnected(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchStreams[id]--
	if s.watchStreams[id] <= 0 {
		delete(s.watchStreams, id)
	}
}

func (s *Scheduler) activePool(name string) *activePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[name]
}

// poolOfHold returns the pool that a hold id names.
func (s *Scheduler) poolOfHold(id string) *activePool {
	name, _, _ := strings.Cut(id, tokenSeparator)
	return s.activePool(name)
}

func (s *Scheduler) activePools() []*activePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*activePool, 0, len(s.pools))
	for _, a := range s.pools {
		out = append(out, a)
	}
	return out
}

// Run runs the controllers until ctx ends and then deactivates every pool. It
// returns when all worker goroutines have stopped.
func (s *Scheduler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range s.opts.Workers {
		wg.Go(func() { s.runControllers(ctx) })
	}
	for range s.opts.EngineCalls {
		wg.Go(func() { s.runEngineCalls(ctx) })
	}
	s.runTicker(ctx)
	for _, a := range s.activePools() {
		s.Deactivate(a.name)
	}
	wg.Wait()
}

// runControllers is the loop of a worker that runs controllers.
func (s *Scheduler) runControllers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.tasks:
			t.active.runRequested[t.controller].Store(false)
			s.perform(t.active, t.active.pool.Run(t.controller, s.now()))
		}
	}
}

// requestRun queues a controller for a worker. Requests made before the run
// starts are merged.
func (s *Scheduler) requestRun(a *activePool, c Controller) {
	if a.runRequested[c].Swap(true) {
		return
	}
	select {
	case s.tasks <- task{active: a, controller: c}:
	default:
		// The queue is full; the next tick requests the run again.
		a.runRequested[c].Store(false)
	}
}

// runTicker requests the periodic runs of the controllers.
func (s *Scheduler) runTicker(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	due := [controllerCount]struct {
		interval time.Duration
		next     time.Duration
	}{
		Placement: {interval: tick}, Forecast: {interval: forecastInterval}, Expiry: {interval: expiryInterval}, Orphans: {interval: orphansInterval},
		Aging: {interval: agingInterval}, Roles: {interval: rolesInterval}, Orders: {interval: ordersInterval},
	}
	interval := tick
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := s.now()
		pools := s.activePools()
		if next := nextTick(pools); next != interval {
			interval = next
			t.Reset(interval)
		}
		for c := range due {
			if now < due[c].next {
				continue
			}
			due[c].next = now + due[c].interval
			for _, a := range pools {
				s.requestRun(a, Controller(c))
			}
		}
	}
}

func nextTick(pools []*activePool) time.Duration {
	for _, a := range pools {
		if a.pool.Busy() {
			return tick
		}
	}
	return idleTick
}

// perform carries out the actions of a pool.
func (s *Scheduler) perform(a *activePool, actions []Action) {
	for _, act := range actions {
		switch x := act.(type) {
		case SubmitResult:
			s.deliver(a, x)
		case OrderResult:
			a.finishOrder(x)
		case TimelineEvent:
			s.opts.Logger.Info().Str("event", x.Kind).Str("id", x.RequestID).Uint32("attempt", x.Attempt).
				Str("upstream", x.Upstream).Str("lease", a.lease).Str("detail", x.Detail).Msg("")
			s.opts.Recorder.Record(&pb.Event{Kind: x.Kind, RequestId: x.RequestID, Attempt: x.Attempt, Upstream: x.Upstream, Lease: a.lease}, "detail", x.Detail)
		case CancelWork, CancelOrphan, ListRunning, AskRole, SendOrder:
			s.enqueueCall(a, act)
		}
	}
}

// deliver passes a result to the waiting Submit. A grant is released when
// nobody waits for it or when the lease is lost.
func (s *Scheduler) deliver(a *activePool, x SubmitResult) {
	if x.Response.GetGrant() != nil && !s.holdsLease(a) {
		s.releaseGrant(a, x.Response)
		x.Response = notHolder(a.name)
	}
	a.mu.Lock()
	ch := a.waiters[x.Ticket]
	delete(a.waiters, x.Ticket)
	a.mu.Unlock()
	if ch != nil {
		ch <- x.Response
		return
	}
	s.releaseGrant(a, x.Response)
}

// releaseGrant releases the hold of a grant that nobody receives.
func (s *Scheduler) releaseGrant(a *activePool, resp *pb.SubmitResponse) {
	g := resp.GetGrant()
	if g == nil {
		return
	}
	a.pool.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_NOT_STARTED}, s.now())
	s.requestRun(a, Placement)
}

func (a *activePool) finishOrder(r OrderResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch := a.orders[r.ID]; ch != nil {
		ch <- r
		delete(a.orders, r.ID)
	}
}
