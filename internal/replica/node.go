package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// Node runs the raft groups of one process. Its methods are safe for concurrent
// use.
type Node struct {
	options Options
	member  identity
	log     *wal.Log
	groups  map[GroupID]*group
	// sortedGroups is ordered by group id, so that each iteration of the loop
	// processes the groups in a deterministic order.
	sortedGroups []*group

	// mu guards stopped and the inbox, whose queues callers fill and the node's
	// goroutine drains.
	mu      sync.Mutex
	calls   []*call
	inbound []inboundMessage
	tasks   []func() error
	stopped bool

	// wake has a capacity of 1, so that a wake-up is never lost and never
	// blocks.
	wake     chan struct{}
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	err      error
	diskFull atomic.Bool

	ticker *time.Ticker
	// ranAt is when the node's goroutine last ran, by options.BootTime.
	ranAt time.Duration
	batch wal.Batch
	// snapshotWriters tracks background snapshot writes, which must finish
	// before the log is closed.
	snapshotWriters sync.WaitGroup
}

// inboundMessage is a decoded message from another member.
type inboundMessage struct {
	group   *group
	message raft.Message
}

// Start restores the groups from the disk and starts the node's goroutine, which
// runs until Stop or a fatal error.
func Start(options Options) (*Node, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	l, err := wal.Open(options.Dir, wal.Options{FS: options.FS, SegmentBytes: options.SegmentBytes})
	if err != nil {
		return nil, err
	}
	n, err := newNode(options, l)
	if err != nil {
		_ = l.Close()
		return nil, errors.Wrap(err, "starting replica")
	}
	go n.run()
	return n, nil
}

func newNode(options Options, l *wal.Log) (*Node, error) {
	member, err := loadIdentity(l, &options)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:  options,
		member:   member,
		log:      l,
		groups:   map[GroupID]*group{},
		wake:     make(chan struct{}, 1),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		ticker:   time.NewTicker(options.Tick),
		ranAt:    options.BootTime(),
	}
	for _, id := range slices.Sorted(maps.Keys(options.Groups)) {
		g, err := newGroup(id, l, member, &n.options)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d", id)
		}
		n.groups[id] = g
		n.sortedGroups = append(n.sortedGroups, g)
	}
	n.wakeUp()
	return n, nil
}

// ID returns the member's id.
func (n *Node) ID() MemberID { return n.member.id }

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err waits until the node has stopped and returns the error that stopped it, or
// nil after Stop.
func (n *Node) Err() error {
	<-n.done
	return n.err
}

// Stop stops the node and closes the log. Pending calls fail with ErrStopped when
// they had no effect, otherwise with ErrOutcomeUnknown.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() { close(n.stopping) })
	<-n.done
	return n.err
}

// Propose replicates a command and returns the result of StateMachine.Apply.
// Every error other than ErrOutcomeUnknown means that the command had no effect
// and never will. The node retains data; the caller must not modify it.
func (n *Node) Propose(ctx context.Context, group GroupID, data []byte) (any, error) {
	if n.diskFull.Load() {
		return nil, ErrDiskFull
	}
	return n.do(ctx, &call{group: group, kind: callPropose, data: data})
}

// ReadIndex returns nil once the local state machine includes everything that
// was committed when ReadIndex was called. It succeeds only at the leader.
func (n *Node) ReadIndex(ctx context.Context, group GroupID) error {
	_, err := n.do(ctx, &call{group: group, kind: callRead})
	return err
}

// ChangeMembers changes the membership of one group and returns when the change
// is committed. Errors are those of Propose and of raft.Core.ChangeMembership.
func (n *Node) ChangeMembers(ctx context.Context, group GroupID, change raft.MembershipChange) error {
	if n.diskFull.Load() {
		return ErrDiskFull
	}
	_, err := n.do(ctx, &call{group: group, kind: callChange, change: change})
	return err
}

// do queues a call and waits for its result.
func (n *Node) do(ctx context.Context, c *call) (any, error) {
	if n.groups[c.group] == nil {
		return nil, errors.Wrapf(ErrUnknownGroup, "group %d", c.group)
	}
	c.done = make(chan callResult, 1)
	if err := n.enqueue(c); err != nil {
		return nil, err
	}
	select {
	case result := <-c.done:
		return result.value, result.err
	case <-ctx.Done():
		return nil, n.abandon(c, ctx.Err())
	}
}

// abandon returns the error of a call whose context ended. A call that is still
// queued is marked as abandoned and has no effect. The outcome of a command that
// the node's goroutine has dequeued is unknown.
func (n *Node) abandon(c *call, cause error) error {
	if c.state.CompareAndSwap(callQueued, callAbandoned) || c.kind == callRead {
		return cause
	}
	return errors.Wrapf(ErrOutcomeUnknown, "group %d: %v", c.group, cause)
}

func (n *Node) enqueue(c *call) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return ErrStopped
	}
	if len(n.calls) >= n.options.MaxPending {
		return ErrBusy
	}
	n.calls = append(n.calls, c)
	n.wakeUp()
	return nil
}

// Step queues a message from another member. It does not block. The node retains
// message; the caller must not modify it.
func (n *Node) Step(group GroupID, message []byte) error {
	g := n.groups[group]
	if g == nil {
		return errors.Wrapf(ErrUnknownGroup, "group %d", group)
	}
	m, err := raft.DecodeMessage(message)
	if err != nil {
		return errors.Wrapf(err, "group %d", group)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return ErrStopped
	}
	if len(n.inbound) >= maxInboxMessages {
		return ErrBusy
	}
	n.inbound = append(n.inbound, inboundMessage{g, m})
	n.wakeUp()
	return nil
}

func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Leader returns the known leader of a group, or raft.None.
func (n *Node) Leader(group GroupID) MemberID {
	g := n.groups[group]
	if g == nil {
		return raft.None
	}
	return g.publishedLeadership.Load().leader
}

// Leads reports whether this member leads a group, and the current term. The
// result may be out of date; only ReadIndex confirms leadership.
func (n *Node) Leads(group GroupID) (term uint64, leads bool) {
	g := n.groups[group]
	if g == nil {
		return 0, false
	}
	l := g.publishedLeadership.Load()
	return l.term, l.role == raft.Leader
}

// Status returns the raft status of a group.
func (n *Node) Status(id GroupID) (raft.Status, error) {
	var status raft.Status
	err := n.runOnGroup(id, func(g *group) error {
		status = g.core.Status()
		return nil
	})
	return status, err
}

// Campaign starts a pre-vote without waiting for the election timeout, if no
// leader is known. It shortens the first election after all members have started
// at once.
func (n *Node) Campaign(id GroupID) error {
	return n.runOnGroup(id, func(g *group) error {
		if g.core.Leader() == raft.None {
			g.core.Campaign()
		}
		return nil
	})
}

// TransferLeadership starts a transfer of a group's leadership to another voter.
// It returns before the transfer is complete; Leader reports the new leader.
func (n *Node) TransferLeadership(id GroupID, to MemberID) error {
	return n.runOnGroup(id, func(g *group) error {
		err := g.core.TransferLeadership(to)
		if errors.Is(err, raft.ErrNotLeader) {
			return &NotLeaderError{Group: g.id, Leader: g.core.Leader()}
		}
		return err
	})
}

// runOnGroup runs f on the node's goroutine and returns its error.
func (n *Node) runOnGroup(id GroupID, f func(*group) error) error {
	g := n.groups[id]
	if g == nil {
		return errors.Wrapf(ErrUnknownGroup, "group %d", id)
	}
	result := make(chan error, 1)
	err := n.submit(func() error {
		result <- f(g)
		return nil
	})
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-n.done:
		return ErrStopped
	}
}

// submit queues a task for the node's goroutine. An error of the task stops the
// node.
func (n *Node) submit(task func() error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return ErrStopped
	}
	n.tasks = append(n.tasks, task)
	n.wakeUp()
	return nil
}
