package replica

import (
	"sync"
)

// Network is an in-process network for tests and single-process use.
// It is safe for concurrent use.
type Network struct {
	mu    sync.RWMutex
	nodes map[MemberID]*Node
	cut   map[direction]bool
}

// direction is one direction of the link between two members.
type direction struct{ from, to MemberID }

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	return &Network{nodes: map[MemberID]*Node{}, cut: map[direction]bool{}}
}

// Attach makes a node reachable. It replaces a node with the same id.
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

// Cut drops the messages of one direction until Reconnect is called for it.
func (n *Network) Cut(from, to MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[direction{from, to}] = true
}

// Reconnect delivers the messages of one direction again after Cut.
func (n *Network) Reconnect(from, to MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, direction{from, to})
}

// SetIsolated cuts or reconnects both directions between a member and all other
// attached members.
func (n *Network) SetIsolated(id MemberID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		if isolated {
			n.cut[direction{id, other}] = true
			n.cut[direction{other, id}] = true
			continue
		}
		delete(n.cut, direction{id, other})
		delete(n.cut, direction{other, id})
	}
}

// Sender returns the Sender for messages from one member.
func (n *Network) Sender(from MemberID) Sender { return networkSender{n, from} }

type networkSender struct {
	network *Network
	from    MemberID
}

// Send implements Sender.
func (s networkSender) Send(to MemberID, messages []GroupMessage) {
	s.network.mu.RLock()
	node := s.network.nodes[to]
	cut := s.network.cut[direction{s.from, to}]
	s.network.mu.RUnlock()
	if node == nil || cut {
		return
	}
	for _, m := range messages {
		// A message that the node rejects counts as lost.
		_ = node.Step(m.Group, m.Message)
	}
}
