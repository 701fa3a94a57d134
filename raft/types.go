package raft

import (
	"slices"
)

// MemberID identifies one member and the disk that holds its state. A member
// that lost its disk takes a new id.
type MemberID uint64

// None is the absent member.
const None MemberID = 0

// Role is the role of a member in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
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

// EntryType tells what the data of an entry is.
type EntryType uint8

// Types of entries.
const (
	// EntryNormal carries a command for the state machine.
	EntryNormal EntryType = iota
	// EntryNoop is appended by each new leader and carries nothing.
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

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote MemberID
	// Commit may lag behind on disk; it only shortens a restart.
	Commit uint64
}

// Membership lists the members of a group.
type Membership struct {
	Voters   []MemberID
	Learners []MemberID
	// Removed lists former members. Their ids are never used again.
	Removed []MemberID
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id MemberID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id MemberID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id MemberID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Empty reports whether no member is known.
func (m Membership) Empty() bool { return len(m.Voters) == 0 && len(m.Learners) == 0 }

// Clone returns a deep copy.
func (m Membership) Clone() Membership {
	return Membership{
		Voters:   slices.Clone(m.Voters),
		Learners: slices.Clone(m.Learners),
		Removed:  slices.Clone(m.Removed),
	}
}

// SnapshotMeta describes the state that a snapshot holds.
type SnapshotMeta struct {
	// Index and Term of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Membership in force at Index.
	Membership Membership
}

// Snapshot is a state machine's state at one index.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType is the kind of a Message.
type MessageType uint8

// Kinds of messages. The comment names the fields used besides From, To and
// Term.
const (
	// MsgPreVote asks whether a vote would be granted. Term is the term that
	// the sender would campaign in. Index and LogTerm name its last entry.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteResponse answers MsgPreVote. Reject.
	MsgPreVoteResponse
	// MsgVote asks for a vote. Index, LogTerm, Transfer.
	MsgVote
	// MsgVoteResponse answers MsgVote. Reject.
	MsgVoteResponse
	// MsgAppend replicates Entries after the entry (Index, LogTerm). Commit.
	MsgAppend
	// MsgAppendResponse answers MsgAppend and MsgInstallSnapshot. Accepted:
	// Index is the last index known to match. Reject: Index is the rejected
	// previous index; Hint and LogTerm name the entry to try next.
	MsgAppendResponse
	// MsgHeartbeat keeps the leader's authority. Commit, Context.
	MsgHeartbeat
	// MsgHeartbeatResponse answers MsgHeartbeat. Context.
	MsgHeartbeatResponse
	// MsgInstallSnapshot replaces the receiver's log. Snapshot.
	MsgInstallSnapshot
	// MsgTimeoutNow tells the receiver to campaign at once.
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

// String returns the name of the type.
func (t MessageType) String() string {
	if t == 0 || t >= messageTypeEnd {
		return "Unknown"
	}
	return messageTypeNames[t]
}

// Message is exchanged between the members of one group.
type Message struct {
	Type    MessageType
	From    MemberID
	To      MemberID
	Term    uint64
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Hint    uint64
	// Context is the sequence number of a round of read confirmations.
	Context uint64
	Reject  bool
	// Transfer marks a vote request that the leader asked for, which leader
	// stickiness must not suppress.
	Transfer bool
	Entries  []Entry
	Snapshot *Snapshot
}

// SendableBeforeSync reports whether the message makes no claim about the
// sender's own durable state. See the package documentation.
func (m *Message) SendableBeforeSync() bool {
	return m.Type == MsgAppend || m.Type == MsgHeartbeat
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a member that receives entries and doesn't vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner that has caught up a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner for good.
	RemoveMember
)

// MembershipChange adds, promotes or removes one member.
type MembershipChange struct {
	Kind   ChangeKind
	Member MemberID
}

// ReadState confirms that the member was leader after ReadIndex was called
// with Context. A read that waits until Index is applied is linearizable.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready lists the work that the caller does before Advance.
type Ready struct {
	// Snapshot replaces the stored log and the state machine's state.
	Snapshot *Snapshot
	Entries  []Entry
	// HardState is nil when unchanged.
	HardState *HardState
	// MustSync tells that the above must be durable before Messages are sent.
	MustSync bool
	// VoteChanged tells that the term or the vote changed.
	VoteChanged      bool
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
}
