package replica

import (
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/boottime"
	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// GroupID identifies one raft group of the process.
type GroupID = wal.GroupID

// MemberID identifies one member together with its disk: a member that lost its
// disk needs a new id.
type MemberID = raft.MemberID

// StateMachine is the replicated state of one group. The node calls it from one
// goroutine. Apply must be deterministic: it may depend only on the state and its
// arguments.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// GroupMessage is one encoded raft message of a group.
type GroupMessage struct {
	Group   GroupID
	Message []byte
}

// Sender delivers messages to the other members. Send must not block; it may
// drop messages.
type Sender interface {
	Send(to MemberID, messages []GroupMessage)
}

// StartMode selects what state Start expects on the disk.
type StartMode uint8

const (
	// StartExisting continues from the existing state on the disk.
	StartExisting StartMode = iota
	// StartBootstrap creates the state of an initial voter on an empty disk. It
	// must be used only for the first start and never be a permanent setting: a
	// member that lost its disk and is bootstrapped again under its old id can
	// undo acknowledged commands.
	StartBootstrap
	// StartJoin creates the state of a joining member on an empty disk. Its
	// id must never have been used. After the start it must be added to the
	// groups as a learner.
	StartJoin
)

// Defaults of Options.
const (
	DefaultTick = 50 * time.Millisecond
	// DefaultSnapshotBytes is the size of applied entries after which a group
	// takes a snapshot. The threshold is half the size of the group's newest
	// snapshot if that is larger. It bounds the entries held in memory.
	DefaultSnapshotBytes = 4 << 20
	// DefaultKeepEntries is the number of entries before a snapshot that remain
	// in memory, so that members slightly behind need no snapshot.
	DefaultKeepEntries = 1024
	// DefaultMaxPending bounds the calls queued for the node's goroutine.
	DefaultMaxPending = 16384
	// maxInboxMessages bounds the received messages queued for the node's
	// goroutine. Messages above it are dropped, which raft tolerates.
	maxInboxMessages = 16384
	// maxSegments is the number of log segments above which the groups that
	// prevent the removal of the oldest one take a snapshot.
	maxSegments = 4
	// diskFullRetryInterval is the time between write attempts to a full disk.
	diskFullRetryInterval = 100 * time.Millisecond
)

// Options holds the settings of a Node.
type Options struct {
	// ID is the member's id. Zero selects the id on the disk, or a random one
	// for StartJoin.
	ID    MemberID
	Start StartMode
	// Voters lists the initial voters for StartBootstrap. It must be the same
	// on all of them.
	Voters []MemberID
	Groups map[GroupID]StateMachine
	Sender Sender

	Dir          string
	FS           wal.FS
	SegmentBytes int64

	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotTicks is the time after which a leader sends a snapshot again that was
	// not acknowledged; 0 selects the default of raft.
	SnapshotTicks int
	// Seed seeds the random part of election timeouts.
	Seed          uint64
	SnapshotBytes int
	KeepEntries   uint64
	MaxPending    int
	// SyncBeforeSend makes a leader sync its log before it sends entries. By
	// default it sends them first, so that its sync overlaps with those of the
	// followers.
	SyncBeforeSend bool

	// OnLeadership is called with the current term when this member becomes
	// leader of a group, loses leadership or leads in a new term. Stopping the
	// node does not call it. It runs on the node's goroutine and must not block.
	OnLeadership func(group GroupID, term uint64, leading bool)
	// BootTime is a clock that also advances while the machine is suspended; nil
	// means boottime.Now.
	BootTime func() time.Duration
	// OnLeader is called when the leader that this member knows of, or its term,
	// has changed. It runs on the node's goroutine and must not block.
	OnLeader func(group GroupID)
	// OnFatal is called once when the node stops because of an error, for
	// example a failed sync. The process must then terminate.
	OnFatal func(err error)
	Logger  *log.Logger
}

func (o *Options) setDefaults() {
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	if o.MaxPending == 0 {
		o.MaxPending = DefaultMaxPending
	}
	if o.OnLeadership == nil {
		o.OnLeadership = func(GroupID, uint64, bool) {}
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = raft.DefaultElectionTicks
	}
	if o.BootTime == nil {
		o.BootTime = boottime.Now
	}
	if o.OnLeader == nil {
		o.OnLeader = func(GroupID) {}
	}
	if o.OnFatal == nil {
		o.OnFatal = func(error) {}
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: discardWriter{}}}
	}
}

func (o *Options) validate() error {
	if len(o.Groups) == 0 {
		return errors.New("replica options: no groups")
	}
	if o.Sender == nil {
		return errors.New("replica options: no sender")
	}
	if o.Dir == "" {
		return errors.New("replica options: no directory")
	}
	return nil
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
