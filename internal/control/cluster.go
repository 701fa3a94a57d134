package control

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/raftlink"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/wal"
)

// ClusterOptions configure a Cluster.
type ClusterOptions struct {
	// ID is this member's id.
	ID uint64
	// Dir holds the log and the snapshots.
	Dir string
	// Start selects whether the member bootstraps a store, joins one or
	// restarts from Dir.
	Start replica.StartMode
	// Members maps member ids to internal addresses: the bootstrap members, or
	// the existing members when this one joins.
	Members map[uint64]string

	Self     *pb.Hello
	TLS      *tls.Config
	Clock    *timeline.Clock
	Logger   *log.Logger
	Recorder *timeline.Recorder
	// OnFatal is called once when the member cannot continue, for example after
	// a failed sync of the log; the process must then exit.
	OnFatal func(error)

	// Tick, Seed and SnapshotBytes are passed to package replica.
	Tick          time.Duration
	Seed          uint64
	SnapshotBytes int
}

// Cluster replicates commands with package replica. It implements Replicator
// and changes the membership.
type Cluster struct {
	opts   ClusterOptions
	node   *replica.Node
	fs     *timedFS
	groups int
	stop   chan struct{}
	done   chan struct{}

	mu        sync.Mutex
	addresses map[uint64]string
	links     map[uint64]*memberLink
	closed    bool
}

// memberLink sends raft messages to one member over its own session.
type memberLink struct {
	*raftlink.Link
	client *transport.Client
}

func newMemberLink(address string, opts transport.Options) *memberLink {
	client := transport.NewClient(address, opts)
	return &memberLink{Link: raftlink.New(client), client: client}
}

func (l *memberLink) close() {
	l.client.Close()
	l.Link.Close()
}

// colocateInterval is the time between two checks that all groups have the
// same leader.
const colocateInterval = 250 * time.Millisecond

// startCluster starts replication of the given state machines; the index of a
// machine is the id of its group.
func startCluster(opts ClusterOptions, machines []StateMachine, st *store) (*Cluster, error) {
	c := &Cluster{
		opts: opts, fs: &timedFS{FS: wal.OS{}}, groups: len(machines), stop: make(chan struct{}), done: make(chan struct{}),
		addresses: map[uint64]string{}, links: map[uint64]*memberLink{},
	}
	var voters []replica.MemberID
	for id, address := range opts.Members {
		c.addresses[id] = address
		voters = append(voters, replica.MemberID(id))
	}
	st.onMemberAdded = c.setAddress
	groups := map[replica.GroupID]replica.StateMachine{}
	for i, m := range machines {
		groups[replica.GroupID(i)] = m
	}
	node, err := replica.Start(replica.Options{
		ID: replica.MemberID(opts.ID), Start: opts.Start, Voters: voters, Groups: groups, Sender: c,
		Dir: opts.Dir, FS: c.fs, Tick: opts.Tick, Seed: opts.Seed, SnapshotBytes: opts.SnapshotBytes,
		OnFatal: opts.OnFatal, Logger: opts.Logger,
	})
	if err != nil {
		return nil, err
	}
	c.node = node
	go c.colocateLeaders()
	return c, nil
}

// Stop stops the node and closes its log and links.
func (c *Cluster) Stop() error {
	close(c.stop)
	<-c.done
	err := c.node.Stop()
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = map[uint64]*memberLink{}
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	return err
}

// Propose implements Replicator.
func (c *Cluster) Propose(ctx context.Context, group uint32, data []byte) (any, error) {
	res, err := c.node.Propose(ctx, replica.GroupID(group), data)
	return res, clusterError(err)
}

// ReadIndex implements Replicator.
func (c *Cluster) ReadIndex(ctx context.Context, group uint32) error {
	return clusterError(c.node.ReadIndex(ctx, replica.GroupID(group)))
}

// Leader implements Replicator.
func (c *Cluster) Leader(group uint32) (id uint64, isSelf bool, term uint64) {
	term, isSelf = c.node.Leads(replica.GroupID(group))
	return uint64(c.node.Leader(replica.GroupID(group))), isSelf, term
}

func clusterError(err error) error {
	if errors.Is(err, replica.ErrNotLeader) {
		return ErrNotLeader
	}
	return err
}

// Send implements replica.Sender.
func (c *Cluster) Send(to replica.MemberID, messages []replica.GroupMessage) {
	if l := c.link(uint64(to)); l != nil {
		l.Send(messages)
	}
}

// link returns the link to a member, nil when its address is unknown.
func (c *Cluster) link(id uint64) *memberLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if l := c.links[id]; l != nil {
		return l
	}
	address := c.addresses[id]
	if address == "" {
		return nil
	}
	l := newMemberLink(address, transport.Options{Self: c.opts.Self, TLS: c.opts.TLS, Clock: c.opts.Clock, Logger: c.opts.Logger})
	c.links[id] = l
	return l
}

// setAddress records the internal address of a member and replaces a link to
// its previous address.
func (c *Cluster) setAddress(id uint64, address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	old := c.links[id]
	same := c.addresses[id] == address
	c.addresses[id] = address
	if !same {
		delete(c.links, id)
	}
	c.mu.Unlock()
	if !same && old != nil {
		// The calling goroutine may be the node's, which must not block.
		go old.close()
	}
}

// registerRaft registers the handler for raft messages from other members.
func (c *Cluster) registerRaft(t *transport.Server) {
	t.Handle(transport.MethodRaft, func(ctx context.Context, st *transport.Stream) error {
		return raftlink.Receive(st, func(group uint32, message []byte) {
			// A rejected message is treated as lost, which raft tolerates.
			_ = c.node.Step(replica.GroupID(group), message)
		})
	})
}

// colocateLeaders transfers the leadership of the ledger groups to the leader of
// group 0, so that daemons reach one member for all calls and one member can
// change the membership of all groups. It returns when Stop is called.
func (c *Cluster) colocateLeaders() {
	defer close(c.done)
	ticker := time.NewTicker(colocateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		to := c.node.Leader(replica.GroupID(storeGroup))
		if to == 0 || uint64(to) == c.opts.ID {
			continue
		}
		for g := 1; g < c.groups; g++ {
			if _, leads := c.node.Leads(replica.GroupID(g)); leads {
				// A failed transfer is retried on the next tick.
				_ = c.node.TransferLeadership(replica.GroupID(g), to)
			}
		}
	}
}
