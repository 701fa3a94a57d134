package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// leasePollInterval is the pause between checks for a new lease of a pool and
	// between attempts to submit.
	leasePollInterval = 100 * time.Millisecond
	// rpcTimeout is the maximum time of one short call to a scheduler.
	rpcTimeout = 2 * time.Second
	// lateGrantTimeout is the longest wait for the reply to a withdrawn submission. A
	// grant in the reply must be released.
	lateGrantTimeout = 5 * time.Second
)

// SchedulerClientOptions configure SchedulerClients.
type SchedulerClientOptions struct {
	// EntryID identifies this entry to the schedulers.
	EntryID string
	// Lease returns the current lease of a pool, or false if none is known.
	Lease func(pool string) (*pb.PoolLease, bool)
	// SkipUpstreamList asks the schedulers not to send lists of upstreams, because
	// the entry gets them elsewhere. Upstreams then returns none.
	SkipUpstreamList bool
	// Transport configures the sessions to the schedulers.
	Transport transport.Options
}

// SchedulerClients implements Schedulers with a session to the scheduler that
// holds each pool's lease. It keeps the holds granted to this entry and
// restates them when the lease has a new fencing token or the session to its
// holder was lost.
type SchedulerClients struct {
	opts SchedulerClientOptions
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	pendingReleases atomic.Int64
	droppedProgress atomic.Int64

	mu      sync.Mutex
	pools   map[string]*pool
	clients map[string]*transport.Client
	closed  bool
}

var _ Schedulers = (*SchedulerClients)(nil)

// NewSchedulerClients returns SchedulerClients that watch no pool yet. Close
// ends its goroutines.
func NewSchedulerClients(opts SchedulerClientOptions) *SchedulerClients {
	ctx, stop := context.WithCancel(context.Background())
	return &SchedulerClients{opts: opts, ctx: ctx, stop: stop, pools: map[string]*pool{}, clients: map[string]*transport.Client{}}
}

// Close ends every session. Unacknowledged releases are dropped; their holds
// expire with the session.
func (sc *SchedulerClients) Close() {
	sc.mu.Lock()
	sc.closed = true
	sc.mu.Unlock()
	sc.stop()
	sc.mu.Lock()
	for _, c := range sc.clients {
		c.Close()
	}
	sc.mu.Unlock()
	sc.wg.Wait()
}

// SetPools implements Schedulers. Pools that are watched already and not named stay
// watched, because requests in flight may still have holds there.
func (sc *SchedulerClients) SetPools(names []string) {
	for _, name := range names {
		sc.pool(name)
	}
}

// Submit implements Schedulers.
func (sc *SchedulerClients) Submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	return sc.pool(req.Pool).submit(ctx, req)
}

// Progress implements Schedulers.
func (sc *SchedulerClients) Progress(name string, req *pb.ProgressRequest) {
	sc.pool(name).queueProgress(req)
}

// Release implements Schedulers.
func (sc *SchedulerClients) Release(name string, req *pb.ReleaseRequest) {
	sc.pool(name).queueRelease(req)
}

// Announce implements Schedulers.
func (sc *SchedulerClients) Announce(ctx context.Context, name string, req *pb.AnnounceRequest) error {
	lease, ok := sc.opts.Lease(name)
	if !ok {
		return &transport.Error{Code: pb.Status_UNAVAILABLE, Message: "no scheduler holds pool " + name}
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return sc.client(lease.Address).Call(ctx, transport.MethodAnnounce, req, &pb.Empty{})
}

// Upstreams implements Schedulers.
func (sc *SchedulerClients) Upstreams(name string) []*pb.UpstreamStatus {
	list := sc.pool(name).upstreams.Load()
	if list == nil {
		return nil
	}
	return *list
}

// Connected reports whether there is a session to the pool's scheduler.
func (sc *SchedulerClients) Connected(name string) bool { return sc.pool(name).current() != nil }

// Level returns what the build of the pool's scheduler can do, as far as its session told.
func (sc *SchedulerClients) Level(name string) protocol.Level {
	s := sc.pool(name).current()
	if s == nil {
		return protocol.Unstated
	}
	return protocol.Of(s.client.Peer())
}

// Pending implements Schedulers.
func (sc *SchedulerClients) Pending() int {
	return int(sc.pendingReleases.Load())
}

// Dropped returns the number of progress reports that were dropped because there was
// no session, a queue was full or the call failed.
func (sc *SchedulerClients) Dropped() int64 {
	return sc.droppedProgress.Load()
}

func (sc *SchedulerClients) pool(name string) *pool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if q, ok := sc.pools[name]; ok {
		return q
	}
	q := newPool(sc, name)
	sc.pools[name] = q
	if !sc.closed {
		q.start()
	}
	return q
}

func (sc *SchedulerClients) client(addr string) *transport.Client {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	c, ok := sc.clients[addr]
	if !ok {
		c = transport.NewClient(addr, sc.opts.Transport)
		if sc.closed {
			c.Close()
		}
		sc.clients[addr] = c
	}
	return c
}

// pool is the state of one pool. One goroutine keeps the session to its
// scheduler, and one for each sender delivers progress and releases.
// SchedulerClients.Close ends them.
type pool struct {
	owner     *SchedulerClients
	name      string
	upstreams atomic.Pointer[[]*pb.UpstreamStatus]
	senders   [sendersPerPool]*sender

	mu sync.Mutex
	// session is replaced when another scheduler holds the pool's lease or the
	// session was lost. The holds are restated to the new one.
	session *session
	holds   map[string]*pb.Hold
	// budgetUse counts what was submitted to this and earlier schedulers.
	budgetUse budgetUse
}

// session is the connection to one scheduler while it holds the pool's lease and is
// reachable.
type session struct {
	lease  *pb.PoolLease
	client *transport.Client
	ended  chan struct{}
}

func newPool(owner *SchedulerClients, name string) *pool {
	q := &pool{owner: owner, name: name, holds: map[string]*pb.Hold{}}
	for i := range q.senders {
		q.senders[i] = newSender(q)
	}
	return q
}

func (q *pool) start() {
	q.owner.wg.Go(q.watch)
	for _, s := range q.senders {
		q.owner.wg.Go(s.run)
	}
}

// current returns the session in use, or nil if there is none.
func (q *pool) current() *session {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.session
}

// watch opens a session to the holder of the pool's lease, and a new one whenever
// the session ends.
func (q *pool) watch() {
	ctx := q.owner.ctx
	for ctx.Err() == nil {
		if lease, ok := q.owner.opts.Lease(q.name); ok {
			q.logSession("scheduler.lost", lease, q.runSession(lease))
		}
		sleep(ctx, leasePollInterval)
	}
}

// logSession logs that a session to a scheduler started, ended or could not be opened.
func (q *pool) logSession(event string, lease *pb.PoolLease, err error) {
	if l := q.owner.opts.Transport.Logger; l != nil {
		l.Info().Str("event", event).Str("pool", q.name).Str("scheduler", lease.Address).
			Uint64("token", lease.FencingToken).Err(err).Msg("")
	}
}

// runSession opens a session, restates the holds and receives upstream lists until
// the stream ends or the lease changes.
func (q *pool) runSession(lease *pb.PoolLease) error {
	ctx := q.owner.ctx
	client := q.owner.client(lease.Address)
	stream, err := client.Open(ctx, transport.MethodWatchUpstreams)
	if err != nil {
		return err
	}
	defer stream.Close()
	s := &session{lease: lease, client: client, ended: make(chan struct{})}
	if err := q.restate(s); err != nil {
		return err
	}
	defer q.endSession(s)
	q.logSession("scheduler.attached", lease, nil)
	if err := stream.Send(&pb.WatchUpstreamsRequest{Pool: q.name, EntryId: q.owner.opts.EntryID, WithoutList: q.owner.opts.SkipUpstreamList}); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- q.receive(s, stream) }()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leasePollInterval):
		}
		if lease, ok := q.owner.opts.Lease(q.name); ok && !sameLease(lease, s.lease) {
			return errSessionEnded
		}
	}
}

// receive stores upstream lists until the stream ends. Closing a stream ends only
// its sending side at once, so a list may still arrive after the session has
// ended; it is dropped.
func (q *pool) receive(s *session, stream *transport.Stream) error {
	for {
		update := &pb.WatchUpstreamsUpdate{}
		if err := stream.Recv(update); err != nil {
			return err
		}
		if q.current() != s {
			return errSessionEnded
		}
		q.upstreams.Store(&update.Upstreams)
	}
}

func sameLease(a, b *pb.PoolLease) bool {
	return a.FencingToken == b.FencingToken && a.Address == b.Address
}

// restate sends all holds of this entry to the scheduler and makes s the session in
// use. No hold can be added in between, because trackHold rejects the grants of a
// session that is not in use.
func (q *pool) restate(s *session) error {
	q.mu.Lock()
	q.session = nil
	req := &pb.RestateRequest{EntryId: q.owner.opts.EntryID, Pool: q.name, FencingToken: s.lease.FencingToken}
	for _, h := range q.holds {
		req.Holds = append(req.Holds, h)
	}
	req.RetryBudgetUse = q.budgetUse.earlier(s.lease.FencingToken, time.Now())
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(q.owner.ctx, rpcTimeout)
	defer cancel()
	if err := s.client.Call(ctx, transport.MethodRestate, req, &pb.Empty{}); err != nil {
		return err
	}
	q.mu.Lock()
	q.session = s
	var released []string
	for _, h := range req.Holds {
		if _, ok := q.holds[h.HoldId]; !ok {
			released = append(released, h.HoldId)
		}
	}
	q.mu.Unlock()
	// These holds were released while the call was in progress.
	for _, id := range released {
		q.queueRelease(&pb.ReleaseRequest{HoldId: id, Outcome: pb.ReleaseRequest_CANCELLED})
	}
	return nil
}

func (q *pool) endSession(s *session) {
	close(s.ended)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.session == s {
		q.session = nil
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
