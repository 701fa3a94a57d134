package raft

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

// Errors returned by the methods of Core.
var (
	// ErrNotLeader means that the member is not the leader and the call had no
	// effect.
	ErrNotLeader = errors.New("not the leader")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("leadership transfer in progress")
	// ErrChangePending means that the previous membership change, or the first
	// entry of the leader's term, is not committed yet.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrInvalidChange means that the membership change can't be applied to
	// the current membership.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrLearnerBehind means that the learner lags too far behind to be
	// promoted.
	ErrLearnerBehind = errors.New("learner has not caught up")
	// ErrUnknownMember means that the member is not a voter of the group.
	ErrUnknownMember = errors.New("unknown member")
)

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultMaxInflight is the maximum number of unacknowledged MsgAppend
	// messages to one member.
	DefaultMaxInflight = 64
	// DefaultMaxAppendBytes is the maximum size of the entry data in one
	// MsgAppend. A single larger entry is still sent.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxApplyBytes is the maximum size of the committed entry data in
	// one Ready. A single larger entry is still returned.
	DefaultMaxApplyBytes = 4 << 20
	// DefaultMaxPromoteLag is the maximum number of entries that a learner may be
	// behind the commit index when it is promoted. Each missing entry delays
	// commits if another voter fails.
	DefaultMaxPromoteLag = 256
	// defaultSnapshotFactor is the default of SnapshotTicks in multiples of
	// ElectionTicks.
	defaultSnapshotFactor = 10
)

// Config holds the settings of a Core. Zero values select the defaults.
type Config struct {
	ID MemberID
	// Seed is the seed of the random part of election timeouts. Members should
	// have different seeds; ID is combined with it.
	Seed uint64
	// ElectionTicks is the minimum election timeout.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotTicks is the time after which the leader gives up on a snapshot and
	// probes the member again. Until then the member gets no entries.
	SnapshotTicks  int
	MaxInflight    int
	MaxAppendBytes uint64
	MaxApplyBytes  uint64
	MaxPromoteLag  uint64
}

func (c *Config) setDefaults() {
	if c.ElectionTicks == 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if c.SnapshotTicks == 0 {
		c.SnapshotTicks = defaultSnapshotFactor * c.ElectionTicks
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.MaxApplyBytes == 0 {
		c.MaxApplyBytes = DefaultMaxApplyBytes
	}
	if c.MaxPromoteLag == 0 {
		c.MaxPromoteLag = DefaultMaxPromoteLag
	}
}

func (c *Config) validate() error {
	if c.ID == None {
		return errors.New("raft config: id is zero")
	}
	if c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks {
		return errors.Errorf("raft config: election ticks %d must be more than heartbeat ticks %d", c.ElectionTicks, c.HeartbeatTicks)
	}
	if c.MaxInflight < 1 {
		return errors.Errorf("raft config: max inflight is %d", c.MaxInflight)
	}
	return nil
}

// RestoredState is the durable state that a member starts from. To bootstrap a
// group, its members start with only Snapshot.Membership set, which must be the
// same at all of them. A member that joins an existing group starts with the
// zero value.
type RestoredState struct {
	HardState HardState
	// Snapshot is the metadata of the snapshot that the state machine was
	// restored from.
	Snapshot SnapshotMeta
	// Entries are the stored entries after the snapshot.
	Entries []Entry
}

// readRequest is a read that waits for a quorum to confirm the leader.
type readRequest struct {
	context uint64
	// index must be applied before the read is served.
	index uint64
	// round is the heartbeat round that a majority must confirm.
	round uint64
}

// Core is the Raft state of one member of one group. It is not safe for
// concurrent use.
type Core struct {
	config Config
	rng    *rand.Rand
	log    *memoryLog

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	// electionElapsed is the number of ticks since the last message from the
	// leader or, at the leader, since the last quorum check.
	electionElapsed int
	// heartbeatElapsed is the number of ticks since the leader's last
	// heartbeat.
	heartbeatElapsed int
	// electionTimeout, in ticks, is randomized at each change of role or term.
	electionTimeout int

	votes    map[MemberID]bool
	progress map[MemberID]*progress
	// termStartIndex is the index of the leader's first entry in its term.
	termStartIndex uint64
	// transferee is the target of a leadership transfer, or None.
	transferee MemberID
	// transferElapsed is the number of ticks since the transfer was requested.
	transferElapsed int

	reads []readRequest
	// readRound is the number of the latest heartbeat round that confirms
	// reads.
	readRound uint64

	messages       []Message
	readStates     []ReadState
	snapshotToSave *Snapshot

	// savedHardState is the one that the caller persisted last.
	savedHardState HardState
	pending        pendingReady
}

// New returns a Core that starts as a follower with the restored state.
func New(config Config, restored RestoredState) (*Core, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	log, err := newMemoryLog(restored)
	if err != nil {
		return nil, err
	}
	c := &Core{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		log:    log,
		term:   restored.HardState.Term,
		vote:   restored.HardState.Vote,
	}
	if c.term < log.lastTerm() {
		return nil, errors.Errorf("restoring raft state: term %d is lower than the last entry's term %d", c.term, log.lastTerm())
	}
	c.savedHardState = c.hardState()
	c.becomeFollower(c.term, None)
	return c, nil
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// canCampaign reports whether the member may start an election. It must be a
// voter, or have been one until a removal that isn't known to be committed. In
// the latter case its log may be longer than that of all remaining voters, so
// that none of them could win an election.
func (c *Core) canCampaign() bool {
	for i := len(c.log.memberships) - 1; i >= 0; i-- {
		at := c.log.memberships[i]
		if at.membership.IsVoter(c.config.ID) {
			return true
		}
		if at.index <= c.log.committed {
			return false
		}
	}
	return false
}

func (c *Core) send(m Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) reset(term uint64) {
	if term != c.term {
		c.term = term
		c.vote = None
	}
	c.leader = None
	c.electionElapsed = 0
	c.heartbeatElapsed = 0
	c.electionTimeout = c.config.ElectionTicks + c.rng.IntN(c.config.ElectionTicks)
	c.votes = nil
	c.progress = nil
	c.transferee = None
	c.reads = nil
}

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	c.reset(term)
	c.role = Follower
	c.leader = leader
}

func (c *Core) becomeLeader() {
	c.reset(c.term)
	c.role = Leader
	c.leader = c.config.ID
	c.readRound = 0
	c.progress = make(map[MemberID]*progress)
	c.syncProgress()
	c.termStartIndex = c.log.lastIndex() + 1
	c.appendLocal(c.firstEntryOfTerm())
	c.broadcastAppend()
}

// firstEntryOfTerm returns a no-op entry, or an entry with the bootstrap
// membership if the log holds none yet: members that join later learn the
// membership from the log.
func (c *Core) firstEntryOfTerm() Entry {
	if c.log.membershipIndex() > 0 {
		return Entry{Type: EntryNoop}
	}
	membership := c.log.membership()
	return Entry{Type: EntryMembership, Data: AppendMembership(nil, &membership)}
}

// syncProgress makes the leader's progress entries match the current members.
func (c *Core) syncProgress() {
	membership := c.log.membership()
	for id := range c.progress {
		if !membership.Contains(id) {
			delete(c.progress, id)
		}
	}
	for _, id := range slices.Concat(membership.Voters, membership.Learners) {
		if c.progress[id] == nil {
			// A new member counts as active until the next quorum check.
			// Otherwise, adding it could make the leader step down.
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, active: true}
		}
	}
	if own := c.progress[c.config.ID]; own != nil {
		own.match = c.log.stable
		own.next = c.log.lastIndex() + 1
	}
}

// peers returns the other members in ascending order, so that the output is
// deterministic.
func (c *Core) peers() []MemberID {
	ids := slices.Sorted(maps.Keys(c.progress))
	return slices.DeleteFunc(ids, func(id MemberID) bool { return id == c.config.ID })
}

// appendLocal appends an entry to the leader's own log and returns its index.
func (c *Core) appendLocal(e Entry) uint64 {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	if err := c.log.append(e); err != nil {
		panic("raft: appending an entry created by this member: " + err.Error())
	}
	return e.Index
}

// Propose appends commands to the log and returns the index of the first one
// and their term. Once an entry at a command's index is committed, its outcome is
// known: if that entry has the returned term, the command was committed;
// otherwise it was discarded.
func (c *Core) Propose(commands ...[]byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != None {
		return 0, 0, ErrTransferring
	}
	index = c.log.lastIndex() + 1
	for _, data := range commands {
		c.appendLocal(Entry{Type: EntryNormal, Data: data})
	}
	c.broadcastAppend()
	return index, c.term, nil
}

// Tick advances time by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.electionElapsed = 0
		// Cleared here because campaign does nothing for a member that can't
		// campaign, and such a member would go on ignoring vote requests.
		c.leader = None
		c.campaign(true, false)
	}
}

// Interrupted tells the core that its process did not run for ElectionTicks or
// longer. Another member may have been elected meanwhile, and no tick has told a
// leader so: it steps down before it does anything else.
func (c *Core) Interrupted() {
	if c.role == Leader {
		c.becomeFollower(c.term, None)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.electionElapsed >= c.config.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, None)
			return
		}
	}
	if c.transferee != None {
		c.transferElapsed++
		if c.transferElapsed >= c.config.ElectionTicks {
			c.transferee = None
		}
	}
	for _, id := range c.peers() {
		p := c.progress[id]
		p.silentTicks++
		if p.state != installing {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= c.config.SnapshotTicks {
			p.snapshotIndex = 0
			p.becomeProbing()
		}
	}
	if c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

// quorumActive reports whether a majority of the voters responded since the last
// call.
func (c *Core) quorumActive() bool {
	voters := c.log.membership().Voters
	active := 0
	for _, id := range voters {
		if id == c.config.ID || c.progress[id].active {
			active++
		}
	}
	for _, p := range c.progress {
		p.active = false
	}
	return active > len(voters)/2
}

// Leader returns the leader of the current term, or None if it is not known.
func (c *Core) Leader() MemberID { return c.leader }

func (c *Core) Role() Role { return c.role }

func (c *Core) Term() uint64 { return c.term }
