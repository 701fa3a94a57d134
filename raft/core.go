package raft

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

// Errors of the Core's methods.
var (
	// ErrNotLeader means that the member is not the leader; nothing was done.
	ErrNotLeader = errors.New("not the leader")
	// ErrTransferring means that a leadership transfer is under way.
	ErrTransferring = errors.New("leadership transfer in progress")
	// ErrChangePending means that a membership change can't be accepted yet.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrInvalidChange means that the membership change makes no sense for
	// the current membership.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrLearnerBehind means that the learner has not caught up.
	ErrLearnerBehind = errors.New("learner has not caught up")
	// ErrUnknownMember means that the member is not a voter of the group.
	ErrUnknownMember = errors.New("unknown member")
)

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultMaxInflight bounds the appends sent ahead to one member.
	DefaultMaxInflight = 64
	// DefaultMaxAppendBytes bounds the data of one append.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxApplyBytes bounds the committed data of one Ready.
	DefaultMaxApplyBytes = 4 << 20
	// DefaultPromoteLag is how far behind the commit index a learner may be
	// when it is promoted. Each missing entry delays commits after a failure.
	DefaultPromoteLag = 256
	// snapshotElectionTimeouts is how many election timeouts a snapshot may
	// take before the leader probes the member again.
	snapshotElectionTimeouts = 10
)

// Config holds the settings of a Core. Zero values select the defaults.
type Config struct {
	ID MemberID
	// Seed of the random part of election timeouts. Members need different
	// seeds; the id is mixed in.
	Seed           uint64
	ElectionTicks  int
	HeartbeatTicks int
	MaxInflight    int
	MaxAppendBytes uint64
	MaxApplyBytes  uint64
	PromoteLag     uint64
}

func (c *Config) setDefaults() {
	if c.ElectionTicks == 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = DefaultHeartbeatTicks
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
	if c.PromoteLag == 0 {
		c.PromoteLag = DefaultPromoteLag
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

// Restored is the durable state that a member starts from. A founding member
// starts with only Snapshot.Membership set, the same at all of them. A member
// that joins starts with everything empty.
type Restored struct {
	HardState HardState
	// Snapshot that the state machine was restored from.
	Snapshot SnapshotMeta
	// Entries that follow the snapshot.
	Entries []Entry
}

// readRequest waits for a quorum to confirm the leader's authority.
type readRequest struct {
	context uint64
	index   uint64
	round   uint64
}

// Core is the state machine of one member of one group. It is not safe for
// concurrent use.
type Core struct {
	config Config
	rng    *rand.Rand
	log    *memoryLog

	term   uint64
	vote   MemberID
	role   Role
	leader MemberID

	// electionElapsed counts ticks since the leader was heard, or, at the
	// leader, since the last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	// electionTimeout is randomized at each change of role or term.
	electionTimeout int

	votes    map[MemberID]bool
	progress map[MemberID]*progress
	// termStart is the index of the leader's first entry in its term.
	termStart uint64
	// transferee is the target of a leadership transfer.
	transferee      MemberID
	transferElapsed int

	reads     []readRequest
	readRound uint64

	messages       []Message
	readStates     []ReadState
	snapshotToSave *Snapshot

	savedHardState HardState
	pending        pendingReady
}

// New returns a follower with the restored state.
func New(config Config, restored Restored) (*Core, error) {
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
		return nil, errors.Errorf("restoring raft state: term %d is before the last entry's term %d", c.term, log.lastTerm())
	}
	c.savedHardState = c.hardState()
	c.becomeFollower(c.term, None)
	return c, nil
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// canCampaign reports whether the member may start an election. A member whose
// own removal isn't known to be committed still may, because its log may be
// longer than that of all remaining voters, which then can't win one.
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
	c.termStart = c.log.lastIndex() + 1
	c.appendLocal(c.firstEntryOfTerm())
	c.broadcastAppend()
}

// firstEntryOfTerm returns an empty entry, or the founding membership when the
// log doesn't hold it yet: a member that joins later learns it from there.
func (c *Core) firstEntryOfTerm() Entry {
	if c.log.membershipIndex() > 0 {
		return Entry{Type: EntryNoop}
	}
	membership := c.log.membership()
	return Entry{Type: EntryMembership, Data: AppendMembership(nil, &membership)}
}

// syncProgress makes the leader track exactly the current members.
func (c *Core) syncProgress() {
	membership := c.log.membership()
	for id := range c.progress {
		if !membership.Contains(id) {
			delete(c.progress, id)
		}
	}
	for _, id := range slices.Concat(membership.Voters, membership.Learners) {
		if c.progress[id] == nil {
			// A new member counts as active until the next quorum check, so
			// that adding it doesn't make the leader step down.
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, active: true}
		}
	}
	if own := c.progress[c.config.ID]; own != nil {
		own.match = c.log.stable
		own.next = c.log.lastIndex() + 1
	}
}

// peers returns the other members in a fixed order, so that the messages of a
// run depend only on its inputs.
func (c *Core) peers() []MemberID {
	ids := slices.Sorted(maps.Keys(c.progress))
	return slices.DeleteFunc(ids, func(id MemberID) bool { return id == c.config.ID })
}

// appendLocal adds an entry of the leader to its log.
func (c *Core) appendLocal(e Entry) uint64 {
	e.Index = c.log.lastIndex() + 1
	e.Term = c.term
	if err := c.log.append(e); err != nil {
		panic("raft: appending an entry encoded by this member: " + err.Error())
	}
	return e.Index
}

// Propose appends commands to the log. It returns the index of the first one
// and the term. A command is decided once an entry at its index is committed:
// it took effect if that entry has the returned term, else it never will.
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

// Tick advances the time by one unit.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.electionElapsed = 0
		// A member that can't campaign also stops protecting a silent leader.
		c.leader = None
		c.campaign(true, false)
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
		if p.state != installing {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= snapshotElectionTimeouts*c.config.ElectionTicks {
			p.snapshotIndex = 0
			p.becomeProbing()
		}
	}
	if c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

// quorumActive reports whether a majority answered since the last call.
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

// Leader returns the known leader of the current term, or None.
func (c *Core) Leader() MemberID { return c.leader }

// Role returns the member's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }
