package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Replicator commits commands to replicated groups. Cluster implements it with
// package replica; MemoryReplicator implements it for a single member.
type Replicator interface {
	// Propose commits data to a group and returns the result of its Apply on
	// this member. It returns ErrNotLeader on a member that does not lead the
	// group. After any other error the command may still be committed.
	Propose(ctx context.Context, group uint32, data []byte) (any, error)
	// ReadIndex returns once this member has confirmed, after the start of the
	// call, that it leads the group, and has applied every command that was
	// committed before the call.
	ReadIndex(ctx context.Context, group uint32) error
	// Leader returns the id of the leader (0 when unknown), whether it is this
	// member, and the current term.
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

// MemoryReplicator is a Replicator for a single member without persistence.
type MemoryReplicator struct {
	id       uint64
	machines []StateMachine

	mu    sync.Mutex
	index []uint64
}

// NewMemoryReplicator returns a MemoryReplicator that always leads all groups.
func NewMemoryReplicator(id uint64, machines []StateMachine) *MemoryReplicator {
	return &MemoryReplicator{id: id, machines: machines, index: make([]uint64, len(machines))}
}

// Propose implements Replicator.
func (m *MemoryReplicator) Propose(ctx context.Context, group uint32, data []byte) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index[group]++
	return m.machines[group].Apply(m.index[group], data), nil
}

// ReadIndex implements Replicator.
func (m *MemoryReplicator) ReadIndex(ctx context.Context, _ uint32) error {
	return ctx.Err()
}

// Leader implements Replicator.
func (m *MemoryReplicator) Leader(uint32) (uint64, bool, uint64) {
	return m.id, true, 1
}
