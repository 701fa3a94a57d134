package replica

import (
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// GroupID names one raft group of the process.
type GroupID = wal.GroupID

// MemberID names one member with its disk.
type MemberID = raft.MemberID

// StateMachine is the replicated state of one group. The node calls it from
// one goroutine. Apply must depend on nothing but the state and its arguments.
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

// StartMode tells what Start expects on the disk.
type StartMode uint8

const (
	// StartExisting continues from the state on the disk, which must be there.
	StartExisting StartMode = iota
	// StartBootstrap creates the state of a founding member on an empty disk.
	// It must be requested for the first start only and never be a permanent
	// setting: a member that lost its disk and is founded again under its old
	// id can undo acknowledged commands.
	StartBootstrap
	// StartJoining creates the state of a new member on an empty disk. The
	// id must never have been used. The member is then added as a learner.
	StartJoining
)

// Defaults of Options.
const (
	DefaultTick = 50 * time.Millisecond
	// DefaultSnapshotBytes is the applied data after which a group takes a
	// snapshot, or half the size of its state if that is more. It bounds the
	// entries held in memory.
	DefaultSnapshotBytes = 4 << 20
	// DefaultKeepEntries is how many entries before a snapshot remain in
	// memory for members slightly behind.
	DefaultKeepEntries = 1024
	// DefaultMaxPending bounds the proposals and reads that wait for the
	// node's goroutine.
	DefaultMaxPending = 16384
	// maxInboxMessages bounds the arriving messages that wait. Raft tolerates
	// the loss of those above it.
	maxInboxMessages = 16384
	// maxSegments is the number of log segments above which the groups that
	// keep the oldest one take a snapshot.
	maxSegments = 4
	// diskFullRetry is the time between attempts to write to a full disk.
	diskFullRetry = 100 * time.Millisecond
)

// Options holds the settings of a Node.
type Options struct {
	// ID is the member's id. Zero takes the id on the disk, or for
	// StartJoining a random one.
	ID    MemberID
	Start StartMode
	// Voters lists the founding members for StartBootstrap, the same at all.
	Voters []MemberID
	Groups map[GroupID]StateMachine
	Sender Sender

	Dir          string
	FS           wal.FS
	SegmentBytes int64

	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// Seed of the random part of election timeouts.
	Seed          uint64
	SnapshotBytes int
	KeepEntries   uint64
	MaxPending    int
	// SyncBeforeSend makes a leader wait for its own sync before it sends
	// entries. By default it sends them while the sync runs.
	SyncBeforeSend bool

	// OnLeadership is called when this member starts or stops leading a
	// group. It runs on the node's goroutine and must not block.
	OnLeadership func(group GroupID, term uint64, leading bool)
	// OnFatal is called once when the node can't continue, for example after
	// a failed sync. The process must terminate.
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
	if o.OnFatal == nil {
		o.OnFatal = func(error) {}
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: discard{}}}
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

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
