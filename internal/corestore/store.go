package corestore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/boottime"
	"godwitward.example/godwitward/internal/raftlink"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

const (
	// documentGroup is the only raft group of the store.
	documentGroup replica.GroupID = 1
	// tick, electionTicks and heartbeatTicks give election timeouts of 0.7 to
	// 1.3 s. That is well within the 3 s after a fault in which daemons may still
	// act on old state. A tick of 50 ms would wake the raft loop 20 instead of 10
	// times per second.
	tick           = 100 * time.Millisecond
	electionTicks  = 7
	heartbeatTicks = 2
	// snapshotTicks is the time after which a snapshot that was not acknowledged is
	// sent again. A document takes less than 100 ms to send, and a member that waits
	// for its snapshot neither confirms changes nor learns of them.
	snapshotTicks = 10
	// keepEntries is the number of log entries before a snapshot that stay in
	// memory. It is low because one document may take 4 MB.
	keepEntries = 16
	// statusPollInterval is the time between reads of the raft status.
	statusPollInterval = 200 * time.Millisecond
	// repairPollInterval replaces statusPollInterval while membership changes are
	// due. The loss of two disks takes six changes, and the next disk may be lost
	// 4 s after the VMs are back.
	repairPollInterval = 30 * time.Millisecond
	// statusMaxAge is the age up to which a status counts as current. The status
	// of a member whose disk stalls becomes older.
	statusMaxAge = time.Second
	// formationTimeout is how long after its start a store rejects documents
	// while the group has fewer voters than the fault tolerance needs. It ends
	// before traffic, which starts 10 s after the VMs.
	formationTimeout = 7 * time.Second
	// leaderRetryInterval is the time between attempts to reach the leader.
	leaderRetryInterval = 40 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader. The platform's operator
	// client tries another daemon after 1 s.
	leaderCallTimeout = 800 * time.Millisecond
)

// ErrUnavailable means that the newest document can be neither read nor changed
// at present. A document whose Put failed with it may still be stored later.
var ErrUnavailable = errors.New("no majority of the core answers")

// Options configure a Store.
type Options struct {
	// Dir is the folder of the raft log and the snapshots.
	Dir string
	FS  wal.FS
	// OnCommit is called at the leader with the time from the proposal of a
	// document to its commit by a majority. It may be nil.
	OnCommit func(time.Duration)
	// Address is the daemon's own session address.
	Address string
	// Seeds returns the session addresses of the seeds in the current settings.
	Seeds func() []string
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
	// FaultTolerance is the number of members that may be lost at once.
	FaultTolerance int
	Peers          *Peers
	Logger         *log.Logger
	// OnDocument is called with each new document. It must not block.
	OnDocument func(Document)
	// OnLeader is called when Leader returns another leader or term. It must not
	// block. It may be nil.
	OnLeader func()
	// OnFatal is called when the store cannot continue, such as after a failed
	// write to the log; the process must end.
	OnFatal func(error)
}

// Store is one core daemon's replica of the document.
type Store struct {
	opts    Options
	self    netip.AddrPort
	started time.Time
	state   *stateMachine

	// mu guards node, which is replaced when a removed member rejoins.
	mu   sync.Mutex
	node *replica.Node

	status atomic.Pointer[timedStatus]

	// leaderChanged wakes the monitor.
	leaderChanged chan struct{}

	// firstStart is set if the system starts for the first time and the disk was empty.
	firstStart bool

	// sender is the session address of a member that has sent to this daemon while it knew
	// no leader.
	sender atomic.Pointer[string]

	joinMu       sync.Mutex
	joinRequests map[replica.MemberID]time.Time
	// leaveRequests holds the voters that are about to stop; joinMu guards it as well.
	leaveRequests map[replica.MemberID]time.Time
	// leaves is set while this member is about to stop.
	leaves atomic.Bool

	stop chan struct{}
	done sync.WaitGroup
}

// timedStatus is a status with the time at which it was taken.
type timedStatus struct {
	raft.Status
	// takenAt is a boottime.
	takenAt time.Duration
}

// current reports whether the status is at most statusMaxAge old, suspensions of the
// machine included.
func (s *timedStatus) current() bool { return boottime.Now()-s.takenAt < statusMaxAge }

// Start restores the member from disk, bootstraps the group or joins it, and
// registers the handlers of the calls between core daemons.
func Start(opts Options, server *transport.Server) (*Store, error) {
	self, err := parseSessionAddress(opts.Address)
	if err != nil {
		return nil, err
	}
	if opts.FS == nil {
		opts.FS = wal.OS{}
	}
	s := &Store{
		opts: opts, self: self, started: time.Now(), stop: make(chan struct{}),
		joinRequests: map[replica.MemberID]time.Time{}, leaveRequests: map[replica.MemberID]time.Time{}, leaderChanged: make(chan struct{}, 1),
		state: &stateMachine{onChange: opts.OnDocument},
	}
	s.status.Store(&timedStatus{})
	if err := s.startNode(opts.Bootstrap); err != nil {
		return nil, err
	}
	s.register(server)
	s.done.Add(2)
	go s.monitor()
	go s.remainMember()
	return s, nil
}

// startNode starts the replica. The state on disk and the settings decide
// whether it is restored, bootstraps the group or joins.
func (s *Store) startNode(bootstrap bool) error {
	if err := s.finishClearing(); err != nil {
		return err
	}
	hasState, err := replica.HasState(s.opts.FS, s.opts.Dir)
	if err != nil {
		return err
	}
	o := replica.Options{
		Groups: map[replica.GroupID]replica.StateMachine{documentGroup: s.state},
		Sender: s.opts.Peers, Dir: s.opts.Dir, FS: s.opts.FS,
		Tick: tick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, SnapshotTicks: snapshotTicks,
		Seed: uint64(time.Now().UnixNano()), KeepEntries: keepEntries,
		OnFatal: s.opts.OnFatal, OnLeader: s.wakeMonitor, Logger: s.opts.Logger,
	}
	s.firstStart = bootstrap && !hasState
	seeds := s.seedMembers()
	mode := "restored"
	switch {
	case hasState:
		o.Start = replica.StartExisting
	case bootstrap && slices.Contains(seeds, bootstrapID(s.self)):
		o.Start, o.ID, o.Voters = replica.StartBootstrap, bootstrapID(s.self), seeds
		mode = "founding"
	default:
		o.Start, o.ID = replica.StartJoin, joiningID(s.self)
		mode = "joining"
	}
	node, err := replica.Start(o)
	if errors.Is(err, replica.ErrNoState) {
		// A crash between creating the log and storing the identity leaves the
		// files of a member that has not taken part in the group. They can be
		// deleted.
		if err := s.clearDir(); err != nil {
			return err
		}
		return s.startNode(bootstrap)
	}
	if err != nil {
		return err
	}
	s.opts.Logger.Info().Str("event", "store.started").Str("mode", mode).Uint64("member", uint64(node.ID())).
		Uint64("version", s.state.document().Version).Msg("")
	s.mu.Lock()
	s.node = node
	s.mu.Unlock()
	if o.Start != replica.StartJoin {
		go s.initialCampaign(node)
	}
	return nil
}

// initialCampaignDelay scales the delay before the first campaign, which is
// random between 0.25 and 1.25 times this value. When all members start at once,
// there is no leader, and waiting for an election timeout would leave entries
// without a configuration for a second.
const initialCampaignDelay = 400 * time.Millisecond

func (s *Store) initialCampaign(node *replica.Node) {
	select {
	case <-s.stop:
		return
	case <-time.After(initialCampaignDelay/4 + rand.N(initialCampaignDelay)):
	}
	// Campaign fails only if the node has stopped, and then there is nothing to
	// do.
	_ = node.Campaign(documentGroup)
}

// FirstStart reports whether the whole system starts for the first time, and this daemon
// with an empty disk.
func (s *Store) FirstStart() bool { return s.firstStart }

func (s *Store) seedMembers() []replica.MemberID {
	var members []replica.MemberID
	for _, seed := range s.opts.Seeds() {
		if a, err := parseSessionAddress(seed); err == nil {
			members = append(members, bootstrapID(a))
		}
	}
	return members
}

func (s *Store) currentNode() *replica.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// register adds the handlers of the calls between core daemons to the transport
// server.
func (s *Store) register(server *transport.Server) {
	server.Handle(transport.MethodRaft, func(_ context.Context, st *transport.Stream) error {
		return raftlink.Receive(st, func(group uint32, message []byte) {
			// Raft tolerates lost messages, so a rejected one is dropped.
			_ = s.currentNode().Step(replica.GroupID(group), message)
			s.learnSender(message)
		})
	})
	transport.HandleUnary(server, transport.MethodPutDocument, s.handlePut)
	transport.HandleUnary(server, transport.MethodGetDocument, s.handleGet)
	transport.HandleUnary(server, transport.MethodJoin, s.handleJoin)
	transport.HandleUnary(server, transport.MethodLeave, s.handleLeave)
}

// Current returns the newest document on this daemon. The group may have a newer
// one, which Get returns.
func (s *Store) Current() Document { return s.state.document() }

// HasQuorum reports whether this member is in contact with the leader of a
// majority.
func (s *Store) HasQuorum() bool {
	st := s.status.Load()
	return st.Leader != raft.None && st.current()
}

// Leader returns the session address and the term of the leader, and whether
// this member leads. The address is empty when no leader is known.
func (s *Store) Leader() (address string, term uint64, self bool) {
	node := s.currentNode()
	if term, leads := node.Leads(documentGroup); leads && s.HasQuorum() {
		return s.opts.Address, term, true
	}
	st := s.status.Load()
	if st.Leader == raft.None || st.Leader == node.ID() || !st.current() {
		return "", 0, false
	}
	return memberAddress(st.Leader, s.self.Port()), st.Term, false
}

// Members returns the session addresses of all members known to this daemon,
// its own first.
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

// monitor keeps the status up to date and, while this member leads, repairs the
// membership. It ends with Stop.
func (s *Store) monitor() {
	defer s.done.Done()
	timer := time.NewTimer(statusPollInterval)
	defer timer.Stop()
	r := newRepairer(s)
	leaderless := leaderlessLog{store: s}
	for {
		select {
		case <-s.stop:
			return
		case <-timer.C:
		case <-s.leaderChanged:
		}
		timer.Reset(statusPollInterval)
		node := s.currentNode()
		st, err := node.Status(documentGroup)
		if err != nil {
			continue
		}
		previous := s.status.Swap(&timedStatus{Status: st, takenAt: boottime.Now()})
		if s.opts.OnLeader != nil && (previous.Leader != st.Leader || previous.Term != st.Term) {
			s.opts.OnLeader()
		}
		leaderless.update(&st, time.Now())
		s.opts.Peers.Retain(append(s.Members(), s.opts.Seeds()...))
		if r.step(node, &st) {
			timer.Reset(repairPollInterval)
		}
	}
}

// leaderlessInterval is the time without a leader after which that is logged, and then
// between log lines.
const leaderlessInterval = 10 * time.Second

// leaderlessLog tells operators of a group that has had no leader for long: with too many
// of its voters lost for good it does not recover by itself.
type leaderlessLog struct {
	store *Store
	// since is when there was last a leader or a log line.
	since time.Time
}

func (l *leaderlessLog) update(st *raft.Status, now time.Time) {
	if st.Leader != raft.None || l.since.IsZero() {
		l.since = now
		return
	}
	if now.Sub(l.since) < leaderlessInterval {
		return
	}
	l.since = now
	var voters []string
	for _, id := range st.Membership.Voters {
		voters = append(voters, fmt.Sprintf("%d@%s", id, memberAddress(id, l.store.self.Port())))
	}
	l.store.opts.Logger.Warn().Str("event", "store.no_leader").Uint64("member", uint64(st.ID)).Strs("voters", voters).
		Uint64("version", l.store.Current().Version).Msg("")
}

// wakeMonitor makes the monitor read the status at once.
func (s *Store) wakeMonitor(replica.GroupID) {
	select {
	case s.leaderChanged <- struct{}{}:
	default:
	}
}

// StepDown prepares a planned stop: it transfers the leadership to another member and
// then, if another daemon has joined to replace one, waits until that one votes in place
// of this member.
func (s *Store) StepDown(ctx context.Context) error {
	if err := s.currentNode().StepDown(ctx); err != nil {
		return err
	}
	return s.leave(ctx)
}

// Stop stops the replica. Its state stays on disk.
func (s *Store) Stop() error {
	close(s.stop)
	err := s.currentNode().Stop()
	s.done.Wait()
	return err
}
