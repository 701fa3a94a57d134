package replica

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of Node.
var (
	// ErrNotLeader means that nothing was done because this member doesn't
	// lead the group. The error is a *NotLeaderError with the leader's id.
	ErrNotLeader = errors.New("not the leader")
	// ErrStopped means that the node was stopped before the call took effect.
	ErrStopped = errors.New("node stopped")
	// ErrOutcomeUnknown means that the command may or may not take effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBusy means that nothing was done because too many calls wait.
	ErrBusy = errors.New("too many pending calls")
	// ErrDiskFull means that nothing was done because the disk is full.
	ErrDiskFull = errors.New("disk full")
	// ErrUnknownGroup means that the node doesn't have the group.
	ErrUnknownGroup = errors.New("unknown group")
	// ErrNoState means that StartExisting found no state.
	ErrNoState = errors.New("no state on the disk; a member that lost its disk must join under a new id")
	// ErrStateExists means that a member was to be created on a used disk.
	ErrStateExists = errors.New("the disk already holds a member's state")
	// ErrIdentity means that the options don't fit the state on the disk.
	ErrIdentity = errors.New("options don't match the state on the disk")
)

// NotLeaderError is an ErrNotLeader with the known leader.
type NotLeaderError struct {
	Group GroupID
	// Leader is raft.None when unknown.
	Leader MemberID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return fmt.Sprintf("group %d: not the leader, no leader known", e.Group)
	}
	return fmt.Sprintf("group %d: not the leader, member %d leads", e.Group, e.Leader)
}

// Is makes errors.Is(err, ErrNotLeader) true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
