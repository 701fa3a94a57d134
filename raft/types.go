package raft

import (
	"slices"
)

// MemberID identifies a member together with the disk that holds its state. A
// member that lost its disk must take a new id.
type MemberID uint64

// None is the id that stands for no member.
const None MemberID = 0

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "unknown"
}

// EntryType says how the data of an entry is interpreted.
type EntryType uint8

// Types of entries.
const (
	// EntryNormal carries a command for the state machine.
	EntryNormal EntryType = iota
	// EntryNoop has no data. A new leader appends one at the start of its
	// term so that it can commit entries of earlier terms.
	EntryNoop
	// EntryMembership carries an encoded Membership.
	EntryMembership
	entryTypeEnd
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is the state that must be durable before any message that depends
// on it is sent.
type HardState struct {
	Term uint64
	Vote MemberID
	// Commit may be out of date on disk. It only lets a restarted member
	// apply known committed entries at once.
	Commit uint64
}

// Membership is the member list of a group.
type Membership struct {
	Voters   []MemberID
	Learners []MemberID
	// Removed lists former members, whose ids must not be reused.
	Removed []MemberID
}

func (m Membership) IsVoter(id MemberID) bool { return slices.Contains(m.Voters, id) }

func (m Membership) IsLearner(id MemberID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id MemberID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Empty reports whether m has neither voters nor learners.
func (m Membership) Empty() bool { return len(m.Voters) == 0 && len(m.Learners) == 0 }

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
		Removed:  slices.Clone(m.Removed),
	}
}

// SnapshotMeta is the metadata of a snapshot.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Membership is the one in effect at Index.
	Membership Membership
}

// Snapshot is the state of the state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType is the type of a Message.
type MessageType uint8

// Types of messages. Each comment ends with the fields used besides From, To
// and Term.
const (
	// MsgPreVote asks whether a vote would be granted. Term is the term that
	// the sender would campaign in, and Index and LogTerm identify its last
	// entry. Fields: Index, LogTerm.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResponse answers MsgPreVote. Fields: Reject.
	MsgPreVoteResponse
	// MsgVote asks for a vote. Index and LogTerm identify the sender's last
	// entry. Fields: Index, LogTerm, Transfer.
	MsgVote
	// MsgVoteResponse answers MsgVote. Fields: Reject.
	MsgVoteResponse
	// MsgAppend replicates Entries that follow the entry (Index, LogTerm).
	// Fields: Index, LogTerm, Entries, Commit.
	MsgAppend
	// MsgAppendResponse answers MsgAppend and MsgInstallSnapshot. If Reject
	// is false, Index is the last index known to match the leader's log.
	// Otherwise Index is the rejected previous index, and Hint and LogTerm
	// identify the entry to try next. Fields: Reject, Index, Hint, LogTerm.
	MsgAppendResponse
	// MsgHeartbeat keeps followers from starting an election and asks them to
	// confirm reads. Fields: Commit, Context.
	MsgHeartbeat
	// MsgHeartbeatResponse answers MsgHeartbeat. Fields: Context.
	MsgHeartbeatResponse
	// MsgInstallSnapshot replaces the receiver's log. Fields: Snapshot.
	MsgInstallSnapshot
	// MsgTimeoutNow tells the receiver to start an election at once, as part
	// of a leadership transfer.
	MsgTimeoutNow
	messageTypeEnd
)

var messageTypeNames = [...]string{
	MsgPreVote:           "PreVote",
	MsgPreVoteResponse:   "PreVoteResponse",
	MsgVote:              "Vote",
	MsgVoteResponse:      "VoteResponse",
	MsgAppend:            "Append",
	MsgAppendResponse:    "AppendResponse",
	MsgHeartbeat:         "Heartbeat",
	MsgHeartbeatResponse: "HeartbeatResponse",
	MsgInstallSnapshot:   "InstallSnapshot",
	MsgTimeoutNow:        "TimeoutNow",
}

func (t MessageType) String() string {
	if t == 0 || t >= messageTypeEnd {
		return "Unknown"
	}
	return messageTypeNames[t]
}

// Message is a message between two members of a group.
type Message struct {
	Type    MessageType
	From    MemberID
	To      MemberID
	Term    uint64
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Hint    uint64
	// Context is the sequence number of the leader's heartbeat round that
	// confirms reads. The response returns it.
	Context uint64
	Reject  bool
	// Transfer marks a vote request caused by a leadership transfer. It is
	// handled even while the receiver has an active leader.
	Transfer bool
	Entries  []Entry
	Snapshot *Snapshot
}

// SendableBeforeSync reports whether the message makes no claim about the
// sender's own durable state. See the package documentation.
func (m *Message) SendableBeforeSync() bool {
	return m.Type == MsgAppend || m.Type == MsgHeartbeat
}

// ChangeKind is the kind of a MembershipChange.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a member that receives entries but doesn't vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner turns a learner that has caught up into a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner permanently.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind   ChangeKind
	Member MemberID
}

// ReadState confirms that the member was still the leader after ReadIndex was
// called with Context. A read served after Index is applied is linearizable.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready lists the work that the caller must do before it calls Advance.
type Ready struct {
	// Snapshot replaces the stored log and the state machine's state.
	Snapshot *Snapshot
	Entries  []Entry
	// HardState is nil when unchanged.
	HardState *HardState
	// MustSync means that the fields above must be durable before Messages
	// are sent.
	MustSync bool
	// VoteChanged means that the term or the vote changed.
	VoteChanged      bool
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
}
