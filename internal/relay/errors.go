package relay

import (
	"os"
	"syscall"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// ErrNoHelper means that no daemon could be asked to relay, or that none has room: nothing
// is known about the upstream.
var ErrNoHelper = errors.New("no daemon relays the connection")

// ErrUnable is the ErrNoHelper of a system in which no daemon relays, because the builds of
// all do not know how: no other attempt than the entry's own can be made.
var ErrUnable = errors.WithMessage(ErrNoHelper, "the builds of all daemons")

// ErrLost means that the daemon that relayed a connection, or the session with it, was lost:
// nothing is known about the upstream.
var ErrLost = errors.New("the daemon that relayed the connection was lost")

// DialError means that a daemon tried to connect to an upstream and failed.
type DialError struct {
	Helper string
	Result pb.RelayResponse_Result
}

// Error implements error.
func (e *DialError) Error() string {
	return "relayed by " + e.Helper + ": " + e.Unwrap().Error()
}

// Unwrap returns the error that a direct attempt would have had.
func (e *DialError) Unwrap() error {
	switch e.Result {
	case pb.RelayResponse_REFUSED:
		return syscall.ECONNREFUSED
	case pb.RelayResponse_RESET:
		return syscall.ECONNRESET
	}
	return os.ErrDeadlineExceeded
}

// State is the state of a relayed connection.
type State uint8

// States of a relayed connection.
const (
	StateOpen State = iota + 1
	// StateEnded: the upstream has ended its direction.
	StateEnded
	// StateReset: the connection between the other daemon and the upstream was reset.
	StateReset
	// StateLost: see ErrLost.
	StateLost
)
