package control

import (
	"context"
	"crypto/tls"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/bucket"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/lease"
	"godwitward.example/godwitward/ledger"
)

const (
	// storeGroup is the group that holds configuration and leases.
	storeGroup uint32 = 0
	// DefaultLedgerShards is the default number of ledger groups.
	DefaultLedgerShards = 4
	// defaultForgetDaemonAfter exceeds the longest default deadline of a
	// request, 120 s, so that a cutover is not reported complete while a daemon
	// without a lease still processes requests for the old service.
	defaultForgetDaemonAfter = 3 * time.Minute
	// leadershipPollInterval is the time between two checks whether this member
	// leads.
	leadershipPollInterval = 50 * time.Millisecond
	// termStartTimeout bounds the commit that starts a term.
	termStartTimeout = 2 * time.Second
)

// Options configure a Server. Zero fields take defaults.
type Options struct {
	// ID is the member id, at least 1.
	ID uint64
	// Address and OperatorAddress are the addresses of this member's internal
	// and operator listeners. Other members redirect their clients to them.
	Address         string
	OperatorAddress string
	// Shards is the number of ledger groups, at most bucket.Count. It must not
	// change for an existing store.
	Shards int
	// Cluster configures replication over several members or, with one member,
	// persistence on its disk. Nil means a MemoryReplicator.
	Cluster *ClusterOptions
	// Validate returns the findings for an invalid route. Nil accepts every
	// route.
	Validate func(*pb.Route) []*pb.Finding
	// ValidateChange returns the findings for an invalid change to the given
	// configuration. It may replace or complement Validate.
	ValidateChange func(current *pb.Config, change *pb.ConfigChange) []*pb.Finding
	// Authorize returns an error when the operator lacks permission. change is
	// false for reads. Nil allows everything.
	Authorize func(operator string, change bool) error

	// ServingTTL and LeaseTTL are the TTLs of serving leases and pool leases.
	ServingTTL time.Duration
	LeaseTTL   time.Duration
	// ForgetDaemonAfter is how long after the expiry of a serving lease the
	// daemon's requests in flight still count.
	ForgetDaemonAfter time.Duration
	Ledger            ledger.Limits

	// Self and TLS are used for calls to schedulers.
	Self     *pb.Hello
	TLS      *tls.Config
	Recorder *timeline.Recorder
	Logger   *log.Logger

	// wrapReplicator lets tests replace the Replicator, for example to inject
	// lost responses.
	wrapReplicator func(Replicator) Replicator
}

func (o *Options) setDefaults() {
	if o.ID == 0 {
		o.ID = 1
	}
	if o.Shards == 0 {
		o.Shards = DefaultLedgerShards
	}
	if o.ServingTTL == 0 {
		o.ServingTTL = lease.DefaultTTL
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = lease.DefaultTTL
	}
	if o.ForgetDaemonAfter == 0 {
		o.ForgetDaemonAfter = defaultForgetDaemonAfter
	}
	if o.Self == nil {
		o.Self = &pb.Hello{DaemonId: "control-" + strconv.FormatUint(o.ID, 10)}
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
}

// Server is one member of the control store.
type Server struct {
	opts       Options
	replicator Replicator
	cluster    *Cluster
	store      *store
	shards     []*shard
	readIndex  *readIndexBatcher
	schedulers *schedulerClients
	stop       context.CancelFunc
	stopped    chan struct{}
	// proposals counts the commands that this member proposed and committed.
	proposals atomic.Int64

	// termStartMu serialises starts of a term.
	termStartMu sync.Mutex

	mu     sync.Mutex
	leader leaderState
}

// New creates a member and starts its replication, which Close stops.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	if opts.Shards < 1 || opts.Shards > bucket.Count {
		return nil, errors.Errorf("control options: %d ledger shards, want 1 to %d", opts.Shards, bucket.Count)
	}
	s := &Server{opts: opts, store: newStore(opts.LeaseTTL), stopped: make(chan struct{})}
	s.leader = newLeaderState(0, 0, time.Now())
	s.schedulers = newSchedulerClients(transport.Options{Self: opts.Self, TLS: opts.TLS, Clock: opts.Recorder.Clock()})
	machines := []StateMachine{s.store}
	for range opts.Shards {
		sh := newShard(opts.Ledger)
		s.shards = append(s.shards, sh)
		machines = append(machines, sh)
	}
	if err := s.startReplication(machines); err != nil {
		return nil, err
	}
	if opts.wrapReplicator != nil {
		s.replicator = opts.wrapReplicator(s.replicator)
	}
	s.readIndex = &readIndexBatcher{replicator: s.replicator, group: storeGroup}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.watchLeadership(ctx)
	return s, nil
}

func (s *Server) startReplication(machines []StateMachine) error {
	if s.opts.Cluster == nil {
		s.replicator = NewMemoryReplicator(s.opts.ID, machines)
		return nil
	}
	opts := *s.opts.Cluster
	opts.ID = s.opts.ID
	c, err := startCluster(opts, machines, s.store)
	if err != nil {
		return err
	}
	s.cluster = c
	s.replicator = c
	return nil
}

// stepDownTimeout bounds the transfer of the leadership before a member stops.
// Without another voter the transfer fails at once.
const stepDownTimeout = time.Second

// Close transfers the leadership to another member, then stops the replication
// and closes the connections to schedulers.
func (s *Server) Close() error {
	if s.cluster != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stepDownTimeout)
		_ = s.cluster.stepDown(ctx)
		cancel()
	}
	return s.halt()
}

// halt stops the member without transferring the leadership.
func (s *Server) halt() error {
	s.stop()
	<-s.stopped
	s.schedulers.close()
	if s.cluster == nil {
		return nil
	}
	return s.cluster.Stop()
}

// Ready returns nil when a leader is known.
func (s *Server) Ready() error {
	if id, _, _ := s.replicator.Leader(storeGroup); id == 0 {
		return errors.New("no leader of the control store is known")
	}
	return nil
}

// Register registers the handlers for calls of daemons and other members.
func (s *Server) Register(t *transport.Server) {
	t.Handle(transport.MethodWatch, s.watch)
	transport.HandleUnary(t, transport.MethodRenewServing, s.renewServing)
	transport.HandleUnary(t, transport.MethodAcquireLease, s.acquireLease)
	transport.HandleUnary(t, transport.MethodRenewLease, s.renewLease)
	transport.HandleUnary(t, transport.MethodReleaseLease, s.releaseLease)
	transport.HandleUnary(t, transport.MethodClaim, s.claim)
	transport.HandleUnary(t, transport.MethodRecord, s.record)
	if s.cluster != nil {
		s.cluster.registerRaft(t)
	}
}

// watchLeadership starts each term without waiting for a call, so that the
// waiting periods for leases of an earlier term begin early. While this member
// leads, it also calls expireServing. It returns on Close.
func (s *Server) watchLeadership(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, self, _ := s.replicator.Leader(storeGroup); self {
			if err := s.ensureLeading(ctx); err != nil {
				s.opts.Logger.Warn().Str("event", "control.term_not_started").Err(err).Msg("")
			}
			s.expireServing(time.Now())
		}
	}
}

// ensureLeading makes this member serve as the leader of its current term, or
// fails when it does not lead. The first call of a term commits an entry, after
// which the store contains everything that earlier leaders committed.
func (s *Server) ensureLeading(ctx context.Context) error {
	_, self, term := s.replicator.Leader(storeGroup)
	if !self {
		return s.notLeaderError(storeGroup)
	}
	if s.leadsIn(term) {
		return nil
	}
	s.termStartMu.Lock()
	defer s.termStartMu.Unlock()
	if s.leadsIn(term) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, termStartTimeout)
	defer cancel()
	addresses := &pb.Hello{DaemonId: strconv.FormatUint(s.opts.ID, 10), Vm: s.opts.Address, Place: s.opts.OperatorAddress}
	data, err := encodeWithPrefix(commandLeaderAddresses, term, addresses)
	if err != nil {
		return err
	}
	if _, err := s.propose(ctx, storeGroup, data); err != nil {
		return err
	}
	return s.startTerm(term)
}

func (s *Server) startTerm(term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, self, currentTerm := s.replicator.Leader(storeGroup); !self || currentTerm != term {
		return s.notLeaderError(storeGroup)
	}
	now := time.Now()
	minVersion := s.store.startLeaseTerm(now)
	s.leader = newLeaderState(term, minVersion, now)
	s.recordEvent("control.leading", "", "term", strconv.FormatUint(term, 10), "version", strconv.FormatUint(minVersion, 10))
	return nil
}

func (s *Server) leadsIn(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader.term == term
}

// stillLeading reports whether this member leads in the term of its soft state.
// Called with mu held after confirmLeadership, it proves that the leadership
// was confirmed in that term.
func (s *Server) stillLeading() bool {
	_, self, term := s.replicator.Leader(storeGroup)
	return self && term == s.leader.term
}

// confirmLeadership returns nil once this member serves as the leader and has
// confirmed, after the start of the call, that it leads group 0.
func (s *Server) confirmLeadership(ctx context.Context) error {
	if err := s.ensureLeading(ctx); err != nil {
		return err
	}
	if err := s.readIndex.wait(ctx); err != nil {
		return s.replicationError(storeGroup, err)
	}
	return nil
}

// propose commits a command and converts errors of the replicator and of the
// state machine to transport errors.
func (s *Server) propose(ctx context.Context, group uint32, data []byte) (any, error) {
	res, err := s.replicator.Propose(ctx, group, data)
	if err != nil {
		return nil, s.replicationError(group, err)
	}
	s.proposals.Add(1)
	if err, ok := res.(error); ok {
		return nil, transport.Errorf(pb.Status_INVALID, "applying command: %v", err)
	}
	return res, nil
}

func (s *Server) replicationError(group uint32, err error) error {
	if errors.Is(err, ErrNotLeader) {
		return s.notLeaderError(group)
	}
	return transport.Errorf(pb.Status_UNAVAILABLE, "group %d: %v", group, err)
}

func (s *Server) notLeaderError(group uint32) error {
	id, self, _ := s.replicator.Leader(group)
	e := transport.Errorf(pb.Status_NOT_LEADER, "member %d does not lead group %d", s.opts.ID, group)
	if id != 0 && !self {
		e.Redirect = s.store.leaderAddress(id).GetVm()
	}
	return e
}

func (s *Server) recordEvent(kind, leaseName string, kv ...string) {
	s.opts.Recorder.Record(&pb.Event{Kind: kind, Lease: leaseName}, kv...)
}
