package replica

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of Node.
var (
	// ErrNotLeader means that the call had no effect because this member is
	// not the group's leader. The error is a *NotLeaderError with the
	// leader's id.
	ErrNotLeader = errors.New("not the leader")
	// ErrStopped means that the node stopped before the call took effect.
	ErrStopped = errors.New("node stopped")
	// ErrOutcomeUnknown means that the command may or may not be committed.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBusy means that the call or message was rejected because a queue of
	// the node is full.
	ErrBusy = errors.New("too many pending calls")
	// ErrDiskFull means that the call had no effect because the disk is full.
	ErrDiskFull = errors.New("disk full")
	// ErrUnknownGroup means that the group is not in Options.Groups.
	ErrUnknownGroup = errors.New("unknown group")
	// ErrNoState means that StartExisting found no member state on the disk.
	ErrNoState = errors.New("no state on the disk; a member that lost its disk must join under a new id")
	// ErrStateExists means that StartBootstrap or StartJoin found the
	// state of a member on the disk.
	ErrStateExists = errors.New("the disk already holds a member's state")
	// ErrIdentityMismatch means that the member id, groups or voters in the
	// options contradict each other or the state on the disk.
	ErrIdentityMismatch = errors.New("options don't match the state on the disk")
)

// NotLeaderError is an ErrNotLeader that names the known leader.
type NotLeaderError struct {
	Group GroupID
	// Leader is raft.None when no leader is known.
	Leader MemberID
}

// Error implements the error interface.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return fmt.Sprintf("group %d: not the leader, no leader known", e.Group)
	}
	return fmt.Sprintf("group %d: not the leader, member %d leads", e.Group, e.Leader)
}

// Is makes errors.Is(err, ErrNotLeader) report true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
