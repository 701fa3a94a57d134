package replica

import (
	"sync"
)

// Network connects the nodes of one process, for tests and single-process use.
// It is safe for concurrent use.
type Network struct {
	mu    sync.RWMutex
	nodes map[MemberID]*Node
	cut   map[link]bool
}

// link is one direction between two members.
type link struct{ from, to MemberID }

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	return &Network{nodes: map[MemberID]*Node{}, cut: map[link]bool{}}
}

// Attach makes a node reachable, in place of an earlier one with its id.
func (n *Network) Attach(node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[node.ID()] = node
}

// Detach makes a member unreachable.
func (n *Network) Detach(id MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
}

// Cut drops the messages of one direction until Restore is called for it.
func (n *Network) Cut(from, to MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

// Restore ends a Cut.
func (n *Network) Restore(from, to MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link{from, to})
}

// Isolate cuts or restores all links of a member.
func (n *Network) Isolate(id MemberID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		if isolated {
			n.cut[link{id, other}] = true
			n.cut[link{other, id}] = true
			continue
		}
		delete(n.cut, link{id, other})
		delete(n.cut, link{other, id})
	}
}

// Sender returns the Sender of one member.
func (n *Network) Sender(from MemberID) Sender { return networkSender{n, from} }

type networkSender struct {
	network *Network
	from    MemberID
}

// Send implements Sender.
func (s networkSender) Send(to MemberID, messages []GroupMessage) {
	s.network.mu.RLock()
	node := s.network.nodes[to]
	cut := s.network.cut[link{s.from, to}]
	s.network.mu.RUnlock()
	if node == nil || cut {
		return
	}
	for _, m := range messages {
		// A refused message counts as lost.
		_ = node.Step(m.Group, m.Message)
	}
}
