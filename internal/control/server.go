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
	// storeGroup is the group of configuration and leases.
	storeGroup uint32 = 0
	// DefaultLedgerShards is the number of ledger groups.
	DefaultLedgerShards = 4
	// defaultForgetDaemonAfter is longer than the longest default deadline of
	// a request, 120 s, so that a cutover is not reported complete while a
	// daemon without a lease still works for it.
	defaultForgetDaemonAfter = 3 * time.Minute
	// leadInterval is the time between two looks at the leadership.
	leadInterval = 50 * time.Millisecond
	// leadTimeout bounds the start of a term.
	leadTimeout = 2 * time.Second
)

// Options configure a Server. Zero fields take defaults.
type Options struct {
	// ID is the member id, at least 1.
	ID uint64
	// Address is this member's internal listener; OperatorAddress its
	// operator listener. Both are told to clients of other members.
	Address         string
	OperatorAddress string
	// Shards is the number of ledger groups, at most bucket.Count. It must never
	// change for an existing store.
	Shards int
	// Cluster replicates over several members or, with one member, to its
	// disk. Nil means a Memory of one member without persistence.
	Cluster *ClusterOptions
	// Validate returns what is wrong with a route. Nil accepts every route.
	Validate func(*pb.Route) []*pb.Finding
	// ValidateChange returns what is wrong with a change to the given
	// configuration. It may replace or complement Validate.
	ValidateChange func(current *pb.Config, change *pb.ConfigChange) []*pb.Finding
	// Authorize decides on an operator's action; nil allows all. change is
	// false for reads.
	Authorize func(operator string, change bool) error

	ServingTTL        time.Duration
	LeaseTTL          time.Duration
	ForgetDaemonAfter time.Duration
	Ledger            ledger.Limits

	// Self and TLS are used for calls to schedulers.
	Self     *pb.Hello
	TLS      *tls.Config
	Recorder *timeline.Recorder
	Logger   *log.Logger

	// wrap replaces the replication in tests of lost answers.
	wrap func(Replication) Replication
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
	opts    Options
	repl    Replication
	cluster *Cluster
	store   *store
	shards  []*shard
	reader  *reader
	peers   *peers
	stop    context.CancelFunc
	stopped chan struct{}
	// proposals counts the commands that were committed.
	proposals atomic.Int64

	// electing serialises the start of a term.
	electing sync.Mutex

	mu   sync.Mutex
	lead leading
}

// New returns a member and starts its replication, which Close stops.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	if opts.Shards < 1 || opts.Shards > bucket.Count {
		return nil, errors.Errorf("control options: %d ledger shards, want 1 to %d", opts.Shards, bucket.Count)
	}
	s := &Server{opts: opts, store: newStore(opts.LeaseTTL), stopped: make(chan struct{})}
	s.lead = newLeading(0, 0, time.Now())
	s.peers = newPeers(transport.Options{Self: opts.Self, TLS: opts.TLS, Clock: opts.Recorder.Clock()})
	machines := []StateMachine{s.store}
	for range opts.Shards {
		sh := newShard(opts.Ledger)
		s.shards = append(s.shards, sh)
		machines = append(machines, sh)
	}
	if err := s.replicate(machines); err != nil {
		return nil, err
	}
	if opts.wrap != nil {
		s.repl = opts.wrap(s.repl)
	}
	s.reader = &reader{repl: s.repl, group: storeGroup}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.watchLeadership(ctx)
	return s, nil
}

func (s *Server) replicate(machines []StateMachine) error {
	if s.opts.Cluster == nil {
		s.repl = NewMemory(s.opts.ID, machines)
		return nil
	}
	opts := *s.opts.Cluster
	opts.ID = s.opts.ID
	c, err := startCluster(opts, machines, s.store)
	if err != nil {
		return err
	}
	s.cluster = c
	s.repl = c
	return nil
}

// handOverTimeout bounds the wait for another member to lead before a member
// stops. Without another voter there is nothing to wait for.
const handOverTimeout = time.Second

// Close hands over the leadership and stops the member, its replication and its
// connections to schedulers.
func (s *Server) Close() error {
	if s.cluster != nil {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		_ = s.cluster.handOver(ctx)
		cancel()
	}
	return s.halt()
}

// halt stops without handing over.
func (s *Server) halt() error {
	s.stop()
	<-s.stopped
	s.peers.close()
	if s.cluster == nil {
		return nil
	}
	return s.cluster.Stop()
}

// Ready returns nil when a leader is known.
func (s *Server) Ready() error {
	if id, _, _ := s.repl.Leader(storeGroup); id == 0 {
		return errors.New("no leader of the control store is known")
	}
	return nil
}

// Register adds the daemons' calls to a transport server.
func (s *Server) Register(t *transport.Server) {
	t.Handle(transport.MethodWatch, s.watch)
	transport.HandleUnary(t, transport.MethodRenewServing, s.renewServing)
	transport.HandleUnary(t, transport.MethodAcquireLease, s.acquireLease)
	transport.HandleUnary(t, transport.MethodRenewLease, s.renewLease)
	transport.HandleUnary(t, transport.MethodReleaseLease, s.releaseLease)
	transport.HandleUnary(t, transport.MethodClaim, s.claim)
	transport.HandleUnary(t, transport.MethodRecord, s.record)
	if s.cluster != nil {
		s.cluster.register(t)
	}
}

// watchLeadership starts terms without waiting for a call, so that the waiting
// times which begin with a term begin early. It ends with Close.
func (s *Server) watchLeadership(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, self, _ := s.repl.Leader(storeGroup); self {
			if err := s.begin(ctx); err != nil {
				s.opts.Logger.Warn().Str("event", "control.term_not_started").Err(err).Msg("")
			}
			s.expireServing(time.Now())
		}
	}
}

// begin makes this member serve as the leader of its current term. The first
// call of a term commits an entry, after which the store holds everything that
// earlier leaders committed.
func (s *Server) begin(ctx context.Context) error {
	_, self, term := s.repl.Leader(storeGroup)
	if !self {
		return s.notLeader(storeGroup)
	}
	if s.leadsIn(term) {
		return nil
	}
	s.electing.Lock()
	defer s.electing.Unlock()
	if s.leadsIn(term) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leadTimeout)
	defer cancel()
	addresses := &pb.Hello{DaemonId: strconv.FormatUint(s.opts.ID, 10), Vm: s.opts.Address, Place: s.opts.OperatorAddress}
	data, err := encodeNumbered(commandLeader, term, addresses)
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
	if _, self, now := s.repl.Leader(storeGroup); !self || now != term {
		return s.notLeader(storeGroup)
	}
	now := time.Now()
	floor := s.store.elected(now)
	s.lead = newLeading(term, floor, now)
	s.event("control.leading", "", "term", strconv.FormatUint(term, 10), "version", strconv.FormatUint(floor, 10))
	return nil
}

func (s *Server) leadsIn(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lead.term == term
}

// stillLeading reports whether the soft state belongs to the present term of
// this member. Called with mu held after a confirmation, it proves that the
// confirmation was made in that term.
func (s *Server) stillLeading() bool {
	_, self, term := s.repl.Leader(storeGroup)
	return self && term == s.lead.term
}

// confirm returns once this member has begun its term and has confirmed, after
// the call began, that it leads group 0.
func (s *Server) confirm(ctx context.Context) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	if err := s.reader.read(ctx); err != nil {
		return s.replicationError(storeGroup, err)
	}
	return nil
}

// propose commits a command and turns errors of the replication and of the
// state machine into errors for peers.
func (s *Server) propose(ctx context.Context, group uint32, data []byte) (any, error) {
	res, err := s.repl.Propose(ctx, group, data)
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
		return s.notLeader(group)
	}
	return transport.Errorf(pb.Status_UNAVAILABLE, "group %d: %v", group, err)
}

func (s *Server) notLeader(group uint32) error {
	id, self, _ := s.repl.Leader(group)
	e := transport.Errorf(pb.Status_NOT_LEADER, "member %d does not lead group %d", s.opts.ID, group)
	if id != 0 && !self {
		e.Redirect = s.store.address(id).GetVm()
	}
	return e
}

func (s *Server) event(kind, leaseName string, kv ...string) {
	s.opts.Recorder.Record(&pb.Event{Kind: kind, Lease: leaseName}, kv...)
}
