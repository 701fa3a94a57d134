package scheduler

import (
	"context"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// watchPoll is how often the upstream table is looked at for changes to
	// push to entries.
	watchPoll = 100 * time.Millisecond
	// watchRefresh is the time after which an unchanged table is sent again.
	watchRefresh = 10 * time.Second
	// queuedInterval is the time between signs of life to a request that waits.
	// An entry takes a scheduler for gone after missing two of them.
	queuedInterval = 150 * time.Millisecond
)

// Register registers the calls of a scheduler.
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

// entryID returns the id under which the end of the entry's session will be
// reported: that of the session's peer when it named itself.
func entryID(ctx context.Context, stated string) string {
	if id := transport.PeerFrom(ctx).DaemonId; id != "" {
		return id
	}
	return stated
}

// handleSubmit blocks until the request is granted or refused. The entry
// closes the stream to withdraw the request.
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
	resp, err := s.submitWithSigns(ctx, st, req)
	if err != nil {
		return err
	}
	// After a failed send the entry may have the grant all the same, so the
	// hold is not given back here: it expires as not started, and the expiry
	// cancels at both engines before it frees the memory.
	return st.Send(resp)
}

// submitWithSigns tells the entry in intervals that its request still waits.
func (s *Scheduler) submitWithSigns(ctx context.Context, st *transport.Stream, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	type answer struct {
		resp *pb.SubmitResponse
		err  error
	}
	done := make(chan answer, 1)
	go func() {
		resp, err := s.Submit(ctx, req)
		done <- answer{resp, err}
	}()
	ticker := time.NewTicker(queuedInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-done:
			return a.resp, a.err
		case <-ticker.C:
		}
		// A failed send shows as the end of ctx.
		_ = st.Send(&pb.SubmitResponse{Result: &pb.SubmitResponse_Queued{Queued: &pb.Queued{}}})
	}
}

// Submit blocks until the request is granted or refused, or ctx ends.
func (s *Scheduler) Submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	resp, err := s.submit(ctx, req)
	if err == nil {
		s.vars.answered(resp)
	}
	return resp, err
}

func (s *Scheduler) submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	a := s.pool(req.Pool)
	if a == nil {
		return notHolder(req.Pool), nil
	}
	ticket := s.tickets.Add(1)
	ch := a.wait(ticket)
	if ch == nil {
		return notHolder(req.Pool), nil
	}
	s.perform(a, a.core.Submit(ticket, req, s.now()))
	s.signal(a, Placement)
	select {
	case resp := <-ch:
		return resp, nil
	case <-ctx.Done():
		s.withdraw(a, ticket, ch)
		return nil, transport.Errorf(pb.Status_DEADLINE, "submit withdrawn: %v", ctx.Err())
	}
}

// wait registers a waiter; nil when the pool has been deactivated.
func (a *activePool) wait(ticket uint64) chan *pb.SubmitResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	ch := make(chan *pb.SubmitResponse, 1)
	a.waiters[ticket] = ch
	return ch
}

// withdraw removes a waiter. A grant that crossed it is given back.
func (s *Scheduler) withdraw(a *activePool, ticket uint64, ch chan *pb.SubmitResponse) {
	a.core.Withdraw(ticket)
	a.mu.Lock()
	_, waiting := a.waiters[ticket]
	delete(a.waiters, ticket)
	a.mu.Unlock()
	if !waiting {
		// deliver removed the waiter and sends without blocking.
		s.giveBack(a, <-ch)
	}
}

func (s *Scheduler) handleProgress(ctx context.Context, req *pb.ProgressRequest) (*pb.Empty, error) {
	a := s.poolOfHold(req.HoldId)
	if a == nil {
		return nil, errNotHolder(req.HoldId)
	}
	if !a.core.Progress(req, s.now()) {
		return nil, transport.Errorf(pb.Status_NOT_FOUND, "hold %s is not known", req.HoldId)
	}
	if req.Stage != pb.ProgressRequest_PREFILL_STARTED {
		s.signal(a, Placement)
	}
	return &pb.Empty{}, nil
}

func (s *Scheduler) handleRelease(ctx context.Context, req *pb.ReleaseRequest) (*pb.Empty, error) {
	a := s.poolOfHold(req.HoldId)
	if a == nil {
		return nil, errNotHolder(req.HoldId)
	}
	if !a.core.Release(req, s.now()) {
		return nil, transport.Errorf(pb.Status_NOT_FOUND, "hold %s is not known", req.HoldId)
	}
	s.signal(a, Placement)
	return &pb.Empty{}, nil
}

func (s *Scheduler) handleRestate(ctx context.Context, req *pb.RestateRequest) (*pb.Empty, error) {
	a := s.pool(req.Pool)
	if a == nil {
		return nil, errNotHolder(req.Pool)
	}
	req.EntryId = entryID(ctx, req.EntryId)
	s.perform(a, a.core.Restate(req, s.now()))
	s.signal(a, Placement)
	return &pb.Empty{}, nil
}

// handleAnnounce takes over announcements, which may be of several pools.
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

// Announce takes over announcements of one pool's upstreams. It reports
// whether the pool is served here, and keeps the messages.
func (s *Scheduler) Announce(pool string, states []*pb.UpstreamState) bool {
	a := s.pool(pool)
	if a == nil {
		return false
	}
	s.perform(a, a.core.Announce(states, s.now()))
	s.signal(a, Placement)
	return true
}

// MarkSilent passes on that one start of an upstream has fallen silent.
func (s *Scheduler) MarkSilent(pool, id string, generation uint64) {
	if a := s.pool(pool); a != nil {
		a.core.Silence(id, generation, s.now())
	}
}

// Statuses returns what the scheduler of a pool knows of its upstreams; nil when
// the pool is not served here.
func (s *Scheduler) Statuses(pool string) []*pb.UpstreamStatus {
	a := s.pool(pool)
	if a == nil {
		return nil
	}
	statuses, _ := a.core.Statuses()
	return statuses
}

// handleWatch pushes the upstream table of a pool after each change.
func (s *Scheduler) handleWatch(ctx context.Context, st *transport.Stream) error {
	req := &pb.WatchUpstreamsRequest{}
	if err := st.Recv(req); err != nil {
		return err
	}
	req.EntryId = entryID(ctx, req.EntryId)
	a := s.pool(req.Pool)
	if a == nil {
		return errNotHolder(req.Pool)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Ends with the stream, at the latest when this handler returns.
		_ = st.Recv(&pb.Empty{})
		cancel()
	}()
	s.entryConnected(req.EntryId)
	defer s.entryDisconnected(req.EntryId)
	if req.WithoutList {
		return waitForEnd(ctx, a)
	}
	return s.pushTable(ctx, a, st)
}

// waitForEnd returns when the entry leaves or the pool is served here no more.
func waitForEnd(ctx context.Context, a *activePool) error {
	select {
	case <-ctx.Done():
		return nil
	case <-a.done:
		return errNotHolder(a.name)
	}
}

func (s *Scheduler) pushTable(ctx context.Context, a *activePool, st *transport.Stream) error {
	t := time.NewTicker(watchPoll)
	defer t.Stop()
	sent := false
	var revision uint64
	var sentAt time.Duration
	for {
		if !sent || a.core.Revision() != revision || s.now()-sentAt >= watchRefresh {
			list, rev := a.core.Statuses()
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
	a := s.pool(req.Pool)
	if a == nil {
		return nil, errNotHolder(req.Pool)
	}
	list, _ := a.core.Statuses()
	return &pb.SchedulerState{
		Pool: a.name, FencingToken: a.core.token, Upstreams: list, Holds: a.core.Holds(), Queued: uint32(a.core.Queued()),
	}, nil
}

// handleOrder blocks until the order was carried out or failed.
func (s *Scheduler) handleOrder(ctx context.Context, req *pb.EngineOrder) (*pb.OrderEngineResponse, error) {
	for _, a := range s.active() {
		ch := make(chan OrderResult, 1)
		id, known := s.addOrder(a, req, ch)
		if !known {
			continue
		}
		s.signal(a, Loads)
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

// addOrder registers the waiter together with the order, so that its result
// cannot come before the waiter is known.
func (s *Scheduler) addOrder(a *activePool, req *pb.EngineOrder, ch chan OrderResult) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, false
	}
	id, known := a.core.Order(req, s.now())
	if known {
		a.orders[id] = ch
	}
	return id, known
}
