package corestore

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/raftlink"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

const (
	// documentGroup is the only raft group of the store.
	documentGroup replica.GroupID = 1
	// tick, electionTicks and heartbeatTicks give elections after 0.7 to
	// 1.4 s, well inside the 3 s after which a daemon counts as in contact,
	// at five timer wake-ups a second less than with a 50 ms tick.
	tick           = 100 * time.Millisecond
	electionTicks  = 7
	heartbeatTicks = 2
	// keepEntries is low because one document may take 4 MB.
	keepEntries = 16
	// statusInterval is the time between looks at the group.
	statusInterval = 200 * time.Millisecond
	// repairInterval replaces it while the membership changes: two lost disks
	// take six changes, and the next loss may come 4 s after the VMs are back.
	repairInterval = 30 * time.Millisecond
	// statusFresh is the age up to which a status counts as present. A member
	// whose disk stalls has an older one.
	statusFresh = time.Second
	// formingTime is how long after its start a store waits for the number of
	// voters that the fault tolerance needs before it takes documents. Traffic
	// starts 10 s after the VMs.
	formingTime = 7 * time.Second
	// retryPause separates attempts to find the leader.
	retryPause = 40 * time.Millisecond
	// forwardTimeout bounds one call to the leader. The operator moves on
	// after a second.
	forwardTimeout = 800 * time.Millisecond
)

// ErrUnavailable means that the store cannot tell or change the newest
// document now. A document that was to be stored may be stored later.
var ErrUnavailable = errors.New("no majority of the core answers")

// Options configure a Store.
type Options struct {
	// Dir is the folder of the log.
	Dir string
	FS  wal.FS
	// OnCommit is called with the time that a document took to be stored by a
	// majority, at the leader. It may be nil.
	OnCommit func(time.Duration)
	// Address is the daemon's own session address.
	Address string
	// Seeds returns the session addresses that the settings name at present.
	Seeds func() []string
	// Bootstrap tells that the whole system starts for the first time.
	Bootstrap bool
	// FaultTolerance is the number of members that may be lost at once.
	FaultTolerance int
	Peers          *Peers
	Logger         *log.Logger
	// OnDocument is called with each new document. It must not block.
	OnDocument func(Document)
	// OnFatal is called when the log fails; the process must end.
	OnFatal func(error)
}

// Store is one core daemon's part of the replicated document.
type Store struct {
	opts    Options
	self    netip.AddrPort
	started time.Time
	machine *machine

	// mu guards node, which changes when a removed member joins again.
	mu   sync.Mutex
	node *replica.Node

	status atomic.Pointer[observed]

	joinMu  sync.Mutex
	joiners map[replica.MemberID]time.Time

	stop chan struct{}
	done sync.WaitGroup
}

// observed is a status with the time at which it was taken.
type observed struct {
	raft.Status
	at time.Time
}

// Start restores, founds or joins the group and registers the calls between
// core daemons.
func Start(opts Options, server *transport.Server) (*Store, error) {
	self, err := parseSession(opts.Address)
	if err != nil {
		return nil, err
	}
	if opts.FS == nil {
		opts.FS = wal.OS{}
	}
	s := &Store{
		opts: opts, self: self, started: time.Now(), stop: make(chan struct{}),
		joiners: map[replica.MemberID]time.Time{},
		machine: &machine{onChange: opts.OnDocument},
	}
	s.status.Store(&observed{})
	if err := s.startNode(opts.Bootstrap); err != nil {
		return nil, err
	}
	s.register(server)
	s.done.Add(2)
	go s.observe()
	go s.stayMember()
	return s, nil
}

// startNode starts the replica in the mode that the disk and the settings ask
// for.
func (s *Store) startNode(bootstrap bool) error {
	hasState, err := replica.HasState(s.opts.FS, s.opts.Dir)
	if err != nil {
		return err
	}
	o := replica.Options{
		Groups: map[replica.GroupID]replica.StateMachine{documentGroup: s.machine},
		Sender: s.opts.Peers, Dir: s.opts.Dir, FS: s.opts.FS,
		Tick: tick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		Seed: uint64(time.Now().UnixNano()), KeepEntries: keepEntries,
		OnFatal: s.opts.OnFatal, Logger: s.opts.Logger,
	}
	seeds := s.seedMembers()
	mode := "restored"
	switch {
	case hasState:
		o.Start = replica.StartExisting
	case bootstrap && slices.Contains(seeds, foundingID(s.self)):
		o.Start, o.ID, o.Voters = replica.StartBootstrap, foundingID(s.self), seeds
		mode = "founding"
	default:
		o.Start, o.ID = replica.StartJoining, joiningID(s.self)
		mode = "joining"
	}
	node, err := replica.Start(o)
	if errors.Is(err, replica.ErrNoState) {
		// A crash between creating the log and storing the identity leaves
		// files of a member that never answered anybody.
		if err := s.clearDisk(); err != nil {
			return err
		}
		return s.startNode(bootstrap)
	}
	if err != nil {
		return err
	}
	s.opts.Logger.Info().Str("event", "store.started").Str("mode", mode).Uint64("member", uint64(node.ID())).
		Uint64("version", s.machine.document().Version).Msg("")
	s.mu.Lock()
	s.node = node
	s.mu.Unlock()
	if o.Start != replica.StartJoining {
		go s.campaignEarly(node)
	}
	return nil
}

// earlyCampaign bounds the random wait before the first campaign. When all
// members start at once, nobody leads, and waiting for an election timeout
// would keep entries without a configuration for a second.
const earlyCampaign = 400 * time.Millisecond

func (s *Store) campaignEarly(node *replica.Node) {
	select {
	case <-s.stop:
		return
	case <-time.After(earlyCampaign/4 + rand.N(earlyCampaign)):
	}
	// A node that has ended needs no leader.
	_ = node.Campaign(documentGroup)
}

func (s *Store) seedMembers() []replica.MemberID {
	var members []replica.MemberID
	for _, seed := range s.opts.Seeds() {
		if a, err := parseSession(seed); err == nil {
			members = append(members, foundingID(a))
		}
	}
	return members
}

func (s *Store) clearDisk() error {
	names, err := s.opts.FS.ReadDir(s.opts.Dir)
	if err != nil {
		return errors.Wrap(err, "clearing the disk")
	}
	for _, name := range names {
		if err := s.opts.FS.Remove(s.opts.Dir + "/" + name); err != nil {
			return errors.Wrap(err, "clearing the disk")
		}
	}
	return errors.Wrap(s.opts.FS.SyncDir(s.opts.Dir), "clearing the disk")
}

func (s *Store) currentNode() *replica.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// register adds the calls between core daemons to the transport server.
func (s *Store) register(server *transport.Server) {
	server.Handle(transport.MethodRaft, func(_ context.Context, st *transport.Stream) error {
		return raftlink.Receive(st, func(group uint32, message []byte) {
			// A refused message counts as lost.
			_ = s.currentNode().Step(replica.GroupID(group), message)
		})
	})
	transport.HandleUnary(server, transport.MethodPutDocument, s.handlePut)
	transport.HandleUnary(server, transport.MethodGetDocument, s.handleGet)
	transport.HandleUnary(server, transport.MethodJoin, s.handleJoin)
}

// Current returns the newest document that this daemon knows. Only Get proves
// that it is the newest.
func (s *Store) Current() Document { return s.machine.document() }

// HasQuorum reports whether this member hears the leader of a majority.
func (s *Store) HasQuorum() bool {
	st := s.status.Load()
	return st.Leader != raft.None && time.Since(st.at) < statusFresh
}

// Leader returns the session address of the leader and its term, "" when none
// is known, and whether this member leads.
func (s *Store) Leader() (address string, term uint64, self bool) {
	node := s.currentNode()
	if term, leads := node.Leads(documentGroup); leads && s.HasQuorum() {
		return s.opts.Address, term, true
	}
	st := s.status.Load()
	if st.Leader == raft.None || st.Leader == node.ID() || time.Since(st.at) >= statusFresh {
		return "", 0, false
	}
	return memberAddress(st.Leader, s.self.Port()), st.Term, false
}

// Members returns the session addresses of all members that this one knows.
func (s *Store) Members() []string {
	st := s.status.Load()
	members := []string{s.opts.Address}
	for _, list := range [][]replica.MemberID{st.Membership.Voters, st.Membership.Learners} {
		for _, id := range list {
			if a := memberAddress(id, s.self.Port()); !slices.Contains(members, a) {
				members = append(members, a)
			}
		}
	}
	return members
}

// observe keeps the status up to date and, at the leader, the membership in
// repair. It ends with Stop.
func (s *Store) observe() {
	defer s.done.Done()
	timer := time.NewTimer(statusInterval)
	defer timer.Stop()
	r := newRepairer(s)
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
		}
		timer.Reset(statusInterval)
		node := s.currentNode()
		st, err := node.Status(documentGroup)
		if err != nil {
			continue
		}
		s.status.Store(&observed{Status: st, at: time.Now()})
		s.opts.Peers.Keep(append(s.Members(), s.opts.Seeds()...))
		if r.step(node, &st) {
			timer.Reset(repairInterval)
		}
	}
}

// StepDown moves the leadership to another member before a planned stop.
func (s *Store) StepDown(ctx context.Context) error {
	return s.currentNode().StepDown(ctx)
}

// Stop ends the member. Its disk keeps the state.
func (s *Store) Stop() error {
	close(s.stop)
	err := s.currentNode().Stop()
	s.done.Wait()
	return err
}
