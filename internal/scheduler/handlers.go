package scheduler

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// watchPollInterval is how often the upstream table is checked for changes
	// to send to entries.
	watchPollInterval = 100 * time.Millisecond
	// watchRefreshInterval is the time after which an unchanged table is sent
	// again.
	watchRefreshInterval = 10 * time.Second
	// queuedHeartbeatInterval is the time between heartbeats to a queued
	// request. An entry considers the scheduler unreachable after two missed
	// heartbeats.
	queuedHeartbeatInterval = 150 * time.Millisecond
)

// Register registers the RPC handlers of the scheduler.
func (s *Scheduler) Register(srv *transport.Server) {
	srv.Handle(transport.MethodSubmit, s.handleSubmit)
	srv.Handle(transport.MethodWatchUpstreams, s.handleWatch)
	transport.HandleUnary(srv, transport.MethodProgress, s.handleProgress)
	transport.HandleUnary(srv, transport.MethodRelease, s.handleRelease)
	transport.HandleUnary(srv, transport.MethodRestate, s.handleRestate)
	transport.HandleUnary(srv, transport.MethodAnnounce, s.handleAnnounce)
	transport.HandleUnary(srv, transport.MethodSchedulerState, s.handleState)
	transport.HandleUnary(srv, transport.MethodOrder, s.handleOrder)
}

func errNotHolder(pool string) error {
	return transport.Errorf(pb.Status_NOT_HOLDER, "this process does not hold the lease of pool %q", pool)
}

// entryID returns the id with which EntrySessionEnded is called when the
// caller's session ends: the id in the session's handshake, or fallback when
// that has none.
func entryID(ctx context.Context, fallback string) string {
	if id := transport.PeerFromContext(ctx).DaemonId; id != "" {
		return id
	}
	return fallback
}

// handleSubmit blocks until the request is granted or refused. The entry closes
// the stream to withdraw the request.
func (s *Scheduler) handleSubmit(ctx context.Context, st *transport.Stream) error {
	req := &pb.SubmitRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	req.EntryId = entryID(ctx, req.EntryId)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The entry sends nothing more, so Recv returns when the stream ends,
		// at the latest when this handler returns.
		_ = st.Recv(&pb.Empty{})
		cancel()
	}()
	resp, err := s.submitWithHeartbeats(ctx, st, req)
	if err != nil {
		return err
	}
	// The entry may have received the grant although Send failed, so the hold
	// is not released here. It expires as not started, and expiry cancels at
	// both engines before it frees the memory.
	return st.Send(resp)
}

// submitWithHeartbeats tells the entry at intervals that its request is still
// queued.
func (s *Scheduler) submitWithHeartbeats(ctx context.Context, st *transport.Stream, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	type result struct {
		resp *pb.SubmitResponse
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := s.Submit(ctx, req)
		done <- result{resp, err}
	}()
	ticker := time.NewTicker(queuedHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-done:
			return a.resp, a.err
		case <-ticker.C:
		}
		// A failed send also ends ctx.
		_ = st.Send(&pb.SubmitResponse{Result: &pb.SubmitResponse_Queued{Queued: &pb.Queued{}}})
	}
}

// Submit blocks until the request is granted or refused, or ctx ends.
func (s *Scheduler) Submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	resp, err := s.submit(ctx, req)
	if err == nil {
		s.vars.countResponse(resp)
	}
	return resp, err
}

func (s *Scheduler) submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	a := s.activePool(req.Pool)
	if a == nil {
		return notHolder(req.Pool), nil
	}
	ticket := s.tickets.Add(1)
	ch := a.addWaiter(ticket)
	if ch == nil {
		return notHolder(req.Pool), nil
	}
	submit := a.pool.Submit
	if !protocol.Of(transport.PeerFromContext(ctx)).KeepsRunVersions() {
		expandRunText(req)
		submit = a.pool.SubmitUnchecked
	}
	s.perform(a, submit(ticket, req, s.now()))
	s.requestRun(a, Placement)
	select {
	case resp := <-ch:
		return resp, nil
	case <-ctx.Done():
		s.withdraw(a, ticket, ch)
		return nil, transport.Errorf(pb.Status_DEADLINE, "submit withdrawn: %v", ctx.Err())
	}
}

// addWaiter registers a waiter and returns its channel, nil when the pool has
// been deactivated.
func (a *activePool) addWaiter(ticket uint64) chan *pb.SubmitResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	ch := make(chan *pb.SubmitResponse, 1)
	a.waiters[ticket] = ch
	return ch
}

// withdraw removes a waiter. A grant that was made meanwhile is released.
func (s *Scheduler) withdraw(a *activePool, ticket uint64, ch chan *pb.SubmitResponse) {
	a.pool.Withdraw(ticket)
	a.mu.Lock()
	_, waiting := a.waiters[ticket]
	delete(a.waiters, ticket)
	a.mu.Unlock()
	if !waiting {
		// deliver has removed the waiter and sends without blocking.
		s.releaseGrant(a, <-ch)
	}
}

func (s *Scheduler) handleProgress(ctx context.Context, req *pb.ProgressRequest) (*pb.Empty, error) {
	a := s.poolOfHold(req.HoldId)
	if a == nil {
		return nil, errNotHolder(req.HoldId)
	}
	if !a.pool.Progress(req, s.now()) {
		return nil, transport.Errorf(pb.Status_NOT_FOUND, "hold %s is not known", req.HoldId)
	}
	if req.Stage != pb.ProgressRequest_PREFILL_STARTED {
		s.requestRun(a, Placement)
	}
	return &pb.Empty{}, nil
}

func (s *Scheduler) handleRelease(ctx context.Context, req *pb.ReleaseRequest) (*pb.Empty, error) {
	a := s.poolOfHold(req.HoldId)
	if a == nil {
		return nil, errNotHolder(req.HoldId)
	}
	if !a.pool.Release(req, s.now()) {
		return nil, transport.Errorf(pb.Status_NOT_FOUND, "hold %s is not known", req.HoldId)
	}
	s.requestRun(a, Placement)
	return &pb.Empty{}, nil
}

func (s *Scheduler) handleRestate(ctx context.Context, req *pb.RestateRequest) (*pb.Empty, error) {
	a := s.activePool(req.Pool)
	if a == nil {
		return nil, errNotHolder(req.Pool)
	}
	req.EntryId = entryID(ctx, req.EntryId)
	s.perform(a, a.pool.Restate(req, s.now()))
	s.requestRun(a, Placement)
	return &pb.Empty{}, nil
}

// handleAnnounce applies announcements, which may belong to several pools.
func (s *Scheduler) handleAnnounce(ctx context.Context, req *pb.AnnounceRequest) (*pb.Empty, error) {
	byPool := map[string][]*pb.UpstreamState{}
	for _, u := range req.Upstreams {
		name := u.Service + "/" + u.Region
		byPool[name] = append(byPool[name], u)
	}
	var err error
	for name, states := range byPool {
		if !s.Announce(name, states) {
			err = errNotHolder(name)
		}
	}
	if err != nil {
		return nil, err
	}
	return &pb.Empty{}, nil
}

// Announce applies announcements of one pool's upstreams and keeps the
// messages. It reports whether the pool is served here.
func (s *Scheduler) Announce(pool string, states []*pb.UpstreamState) bool {
	a := s.activePool(pool)
	if a == nil {
		return false
	}
	s.perform(a, a.pool.Announce(states, s.now()))
	s.requestRun(a, Placement)
	return true
}

// MarkSilent reports that one start of an upstream has become silent.
func (s *Scheduler) MarkSilent(pool, id string, generation uint64) {
	if a := s.activePool(pool); a != nil {
		a.pool.MarkSilent(id, generation, s.now())
	}
}

// Statuses returns the state of a pool's upstreams, nil when the pool is not
// served here.
func (s *Scheduler) Statuses(pool string) []*pb.UpstreamStatus {
	a := s.activePool(pool)
	if a == nil {
		return nil
	}
	statuses, _ := a.pool.Statuses()
	return statuses
}

// handleWatch sends the upstream table of a pool after each change.
func (s *Scheduler) handleWatch(ctx context.Context, st *transport.Stream) error {
	req := &pb.WatchUpstreamsRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	req.EntryId = entryID(ctx, req.EntryId)
	a := s.activePool(req.Pool)
	if a == nil {
		return errNotHolder(req.Pool)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Recv returns when the stream ends, at the latest when this handler
		// returns.
		_ = st.Recv(&pb.Empty{})
		cancel()
	}()
	s.entryConnected(req.EntryId)
	defer s.entryDisconnected(req.EntryId)
	if req.WithoutList {
		return waitForEnd(ctx, a)
	}
	return s.pushUpstreams(ctx, a, st)
}

// waitForEnd returns when the entry disconnects or the pool is no longer served
// here.
func waitForEnd(ctx context.Context, a *activePool) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.done:
		return errNotHolder(a.name)
	}
}

func (s *Scheduler) pushUpstreams(ctx context.Context, a *activePool, st *transport.Stream) error {
	t := time.NewTicker(watchPollInterval)
	defer t.Stop()
	sent := false
	var revision uint64
	var sentAt time.Duration
	for {
		if !sent || a.pool.Revision() != revision || s.now()-sentAt >= watchRefreshInterval {
			list, rev := a.pool.Statuses()
			if err := st.Send(&pb.WatchUpstreamsUpdate{Pool: a.name, Upstreams: list}); err != nil {
				return err
			}
			sent, revision, sentAt = true, rev, s.now()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.done:
			return errNotHolder(a.name)
		case <-t.C:
		}
	}
}

func (s *Scheduler) handleState(ctx context.Context, req *pb.SchedulerStateRequest) (*pb.SchedulerState, error) {
	a := s.activePool(req.Pool)
	if a == nil {
		return nil, errNotHolder(req.Pool)
	}
	list, _ := a.pool.Statuses()
	return &pb.SchedulerState{
		Pool: a.name, FencingToken: a.pool.fencingToken, Upstreams: list, Holds: a.pool.Holds(), Queued: uint32(a.pool.Queued()),
	}, nil
}

// handleOrder blocks until the order was carried out or failed.
func (s *Scheduler) handleOrder(ctx context.Context, req *pb.EngineOrder) (*pb.OrderEngineResponse, error) {
	for _, a := range s.activePools() {
		ch := make(chan OrderResult, 1)
		id, known := s.addOrder(a, req, ch)
		if !known {
			continue
		}
		s.requestRun(a, Orders)
		select {
		case r := <-ch:
			if r.Failure != "" {
				return nil, transport.Errorf(pb.Status_UNAVAILABLE, "order to %s: %s", req.UpstreamId, r.Failure)
			}
			return &pb.OrderEngineResponse{Result: r.Result}, nil
		case <-ctx.Done():
			a.mu.Lock()
			delete(a.orders, id)
			a.mu.Unlock()
			return nil, transport.Errorf(pb.Status_DEADLINE, "order to %s: %v", req.UpstreamId, ctx.Err())
		}
	}
	return nil, transport.Errorf(pb.Status_NOT_FOUND, "no pool served here knows upstream %q", req.UpstreamId)
}

// addOrder queues an order and registers its waiter under one lock, so that the
// result cannot arrive before the waiter is registered.
func (s *Scheduler) addOrder(a *activePool, req *pb.EngineOrder, ch chan OrderResult) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, false
	}
	id, known := a.pool.Order(req, s.now())
	if known {
		a.orders[id] = ch
	}
	return id, known
}
