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

// Intervals at which the shell runs the controllers that time alone triggers.
const (
	tick = 20 * time.Millisecond
	// idleTick replaces tick while no pool has queued requests or holds. Most
	// schedulers lead no pool, and their timers are all that they spend.
	idleTick         = 200 * time.Millisecond
	forecastInterval = 2 * tick
	expiryInterval   = 60 * time.Millisecond
	ordersInterval   = 100 * time.Millisecond
	agingInterval    = 500 * time.Millisecond
	orphansInterval  = 500 * time.Millisecond
	rolesInterval    = time.Second
	taskQueueSize    = 1024
	engineQueueSize  = 4096
	cancelCallLimit  = time.Second
	runningCallLimit = 2 * time.Second
)

// Scheduler is the shell around the cores of the pools for which this process
// holds the lease.
type Scheduler struct {
	opts   Options
	policy policy.Policy
	origin time.Time
	vars   *vars

	mu     sync.Mutex
	pools  map[string]*activePool
	drains DrainSet
	// sessions counts the open WatchUpstreams streams of each entry, which
	// tells a reconnected entry from one that is gone.
	sessions map[string]int

	tickets atomic.Uint64
	tasks   chan task
	calls   chan engineCall

	engineMu sync.Mutex
	engines  map[string]*knownEngine
}

// activePool is one pool that is served.
type activePool struct {
	name  string
	lease string
	core  *Pool
	// pending marks controllers that are waiting for a worker.
	pending [controllers]atomic.Bool
	// done is closed when the pool is deactivated.
	done chan struct{}

	mu      sync.Mutex
	waiters map[uint64]chan *pb.SubmitResponse
	orders  map[uint64]chan OrderResult
	closed  bool
}

// holds reports whether this process still holds the pool's lease.
func (s *Scheduler) holds(a *activePool) bool {
	return s.opts.HoldsLease == nil || s.opts.HoldsLease(a.name, a.core.token)
}

// task is one run of a controller.
type task struct {
	pool       *activePool
	controller Controller
}

// New returns a scheduler that is active for no pool. It returns an error for
// an unknown policy.
func New(opts Options) *Scheduler {
	opts.setDefaults()
	pol, err := policy.ByName(opts.Policy)
	if err != nil {
		opts.Logger.Error().Str("event", "scheduler.policy").Err(err).Msg("using the default policy")
		pol = policy.Default{}
	}
	s := &Scheduler{
		opts: opts, policy: pol, origin: opts.Now(),
		pools: map[string]*activePool{}, drains: NewDrainSet(nil), sessions: map[string]int{},
		tasks: make(chan task, taskQueueSize), calls: make(chan engineCall, engineQueueSize),
		engines: map[string]*knownEngine{},
	}
	s.vars = newVars(s)
	return s
}

// now returns the core's time.
func (s *Scheduler) now() time.Duration {
	return s.opts.Now().Sub(s.origin)
}

// Activate starts to serve a pool under a lease acquired at a time. A call
// with the token already in force changes nothing.
func (s *Scheduler) Activate(pool string, fencingToken uint64, at time.Time) {
	s.mu.Lock()
	old := s.pools[pool]
	if old != nil && old.core.token == fencingToken {
		s.mu.Unlock()
		return
	}
	core := NewPool(pool, s.opts.Params, s.policy, fencingToken, at.Sub(s.origin), uint64(s.opts.Now().UnixNano()))
	core.SetDrains(s.drains, s.now())
	s.pools[pool] = &activePool{
		name: pool, lease: pool + holdSeparator + strconv.FormatUint(fencingToken, 10), core: core, done: make(chan struct{}),
		waiters: map[uint64]chan *pb.SubmitResponse{}, orders: map[uint64]chan OrderResult{},
	}
	s.mu.Unlock()
	if old != nil {
		s.retire(old)
	}
	s.vars.takeovers.Add(1)
	s.opts.Recorder.Record(&pb.Event{Kind: "pool.activated", Lease: pool + holdSeparator + strconv.FormatUint(fencingToken, 10)})
}

// Deactivate stops to serve a pool: queued requests are answered that this
// process is not the holder, and no engine is called for the pool any more.
func (s *Scheduler) Deactivate(pool string) {
	s.mu.Lock()
	old := s.pools[pool]
	delete(s.pools, pool)
	s.mu.Unlock()
	if old == nil {
		return
	}
	s.retire(old)
	s.opts.Recorder.Record(&pb.Event{Kind: "pool.deactivated", Lease: old.lease})
}

func (s *Scheduler) retire(a *activePool) {
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
	r := refusal(pb.Refusal_NOT_HOLDER, 0, "this process does not hold the lease of pool %s", pool)
	return &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: r}}
}

// SetDrains replaces the drained upstreams and places of all pools.
func (s *Scheduler) SetDrains(set DrainSet) {
	s.mu.Lock()
	s.drains = set
	s.mu.Unlock()
	for _, a := range s.active() {
		a.core.SetDrains(set, s.now())
		s.signal(a, Placement)
	}
}

// EntrySessionEnded tells that a session with an entry ended. Its holds are
// cancelled after the hold grace unless the entry is still or again connected.
func (s *Scheduler) EntrySessionEnded(entryID string) {
	s.mu.Lock()
	connected := s.sessions[entryID] > 0
	s.mu.Unlock()
	if connected {
		return
	}
	for _, a := range s.active() {
		a.core.EntryGone(entryID, s.now())
	}
}

func (s *Scheduler) entryConnected(id string) {
	s.mu.Lock()
	s.sessions[id]++
	s.mu.Unlock()
	for _, a := range s.active() {
		a.core.EntrySeen(id)
	}
}

func (s *Scheduler) entryDisconnected(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[id]--
	if s.sessions[id] <= 0 {
		delete(s.sessions, id)
	}
}

func (s *Scheduler) pool(name string) *activePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[name]
}

// poolOfHold returns the pool that a hold id names.
func (s *Scheduler) poolOfHold(id string) *activePool {
	name, _, _ := strings.Cut(id, holdSeparator)
	return s.pool(name)
}

func (s *Scheduler) active() []*activePool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*activePool, 0, len(s.pools))
	for _, a := range s.pools {
		out = append(out, a)
	}
	return out
}

// Run runs the controllers until ctx ends, then deactivates every pool. It
// owns the worker goroutines and returns when they have stopped.
func (s *Scheduler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range s.opts.Workers {
		wg.Go(func() { s.work(ctx) })
	}
	for range s.opts.EngineCalls {
		wg.Go(func() { s.callEngines(ctx) })
	}
	s.keepTime(ctx)
	for _, a := range s.active() {
		s.Deactivate(a.name)
	}
	wg.Wait()
}

// work runs controllers.
func (s *Scheduler) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.tasks:
			t.pool.pending[t.controller].Store(false)
			s.perform(t.pool, t.pool.core.Run(t.controller, s.now()))
		}
	}
}

// signal asks a worker to run a controller. Requests made before the run
// starts are merged.
func (s *Scheduler) signal(a *activePool, c Controller) {
	if a.pending[c].Swap(true) {
		return
	}
	select {
	case s.tasks <- task{pool: a, controller: c}:
	default:
		// The workers are behind; the next tick asks again.
		a.pending[c].Store(false)
	}
}

// keepTime signals the controllers that time triggers.
func (s *Scheduler) keepTime(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	due := [controllers]struct {
		every time.Duration
		next  time.Duration
	}{
		Placement: {every: tick}, Forecast: {every: forecastInterval}, Expiry: {every: expiryInterval}, Orphans: {every: orphansInterval},
		Aging: {every: agingInterval}, Roles: {every: rolesInterval}, Loads: {every: ordersInterval},
	}
	interval := tick
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := s.now()
		pools := s.active()
		if next := nextTick(pools); next != interval {
			interval = next
			t.Reset(interval)
		}
		for c := range due {
			if now < due[c].next {
				continue
			}
			due[c].next = now + due[c].every
			for _, a := range pools {
				s.signal(a, Controller(c))
			}
		}
	}
}

func nextTick(pools []*activePool) time.Duration {
	for _, a := range pools {
		if a.core.Busy() {
			return tick
		}
	}
	return idleTick
}

// perform carries out the actions of a core.
func (s *Scheduler) perform(a *activePool, actions []Action) {
	for _, act := range actions {
		switch x := act.(type) {
		case Answer:
			s.deliver(a, x)
		case OrderResult:
			a.finishOrder(x)
		case Note:
			s.opts.Logger.Info().Str("event", x.Kind).Str("id", x.RequestID).Uint32("attempt", x.Attempt).
				Str("upstream", x.Upstream).Str("lease", a.lease).Str("detail", x.Detail).Msg("")
			s.opts.Recorder.Record(&pb.Event{Kind: x.Kind, RequestId: x.RequestID, Attempt: x.Attempt, Upstream: x.Upstream, Lease: a.lease}, "detail", x.Detail)
		case CancelWork, CancelOrphan, ListRunning, SendOrder:
			s.enqueueCall(a, act)
		}
	}
}

// deliver hands an answer to its waiter. When the waiter has gone away a grant
// is given back.
func (s *Scheduler) deliver(a *activePool, x Answer) {
	if x.Response.GetGrant() != nil && !s.holds(a) {
		s.giveBack(a, x.Response)
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
	s.giveBack(a, x.Response)
}

// giveBack releases the hold of a grant that nobody receives.
func (s *Scheduler) giveBack(a *activePool, resp *pb.SubmitResponse) {
	g := resp.GetGrant()
	if g == nil {
		return
	}
	a.core.Release(&pb.ReleaseRequest{HoldId: g.HoldId, Outcome: pb.ReleaseRequest_NOT_STARTED}, s.now())
	s.signal(a, Placement)
}

func (a *activePool) finishOrder(r OrderResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch := a.orders[r.ID]; ch != nil {
		ch <- r
		delete(a.orders, r.ID)
	}
}
