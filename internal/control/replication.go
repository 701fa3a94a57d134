package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Replication orders commands among the members. Package replica implements it
// for several members; Memory implements it for one.
type Replication interface {
	// Propose commits data to a group and returns the result of its Apply on
	// this member. It fails on a member that does not lead the group. After
	// any other error the command may still be committed.
	Propose(ctx context.Context, group uint32, data []byte) (any, error)
	// ReadIndex returns once this member has confirmed, after the call began,
	// that it leads the group, and has applied every command that was
	// committed before the call.
	ReadIndex(ctx context.Context, group uint32) error
	// Leader returns the id of the leader, 0 when unknown, whether that is
	// this member, and the current term.
	Leader(group uint32) (id uint64, isSelf bool, term uint64)
}

// StateMachine is the replicated state of one group.
type StateMachine interface {
	// Apply executes a committed command. Calls are not concurrent.
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// ErrNotLeader is returned by Propose and ReadIndex on a member that does not
// lead the group. The command was not and will not be committed.
var ErrNotLeader = errors.New("not the leader")

// Memory is a Replication of one member without persistence.
type Memory struct {
	id       uint64
	machines []StateMachine

	mu    sync.Mutex
	index []uint64
}

// NewMemory returns a Memory that always leads all groups.
func NewMemory(id uint64, machines []StateMachine) *Memory {
	return &Memory{id: id, machines: machines, index: make([]uint64, len(machines))}
}

// Propose implements Replication.
func (m *Memory) Propose(ctx context.Context, group uint32, data []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index[group]++
	return m.machines[group].Apply(m.index[group], data), nil
}

// ReadIndex implements Replication.
func (m *Memory) ReadIndex(ctx context.Context, _ uint32) error {
	return ctx.Err()
}

// Leader implements Replication.
func (m *Memory) Leader(uint32) (uint64, bool, uint64) {
	return m.id, true, 1
}
