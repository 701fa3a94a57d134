package corestore

import (
	"sync"

	"godwitward.example/godwitward/internal/raftlink"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
)

// Peers keeps one session to each other core daemon. It implements
// replica.Sender.
type Peers struct {
	opts transport.Options
	self string
	port uint16

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

type peer struct {
	client *transport.Client
	// link is created when the first raft message is sent.
	link *raftlink.Link
}

// NewPeers returns Peers without sessions. self is the daemon's own session
// address, and port the one on which all core daemons listen for sessions.
func NewPeers(self string, port uint16, opts transport.Options) *Peers {
	return &Peers{opts: opts, self: self, port: port, peers: map[string]*peer{}}
}

// Send implements replica.Sender.
func (p *Peers) Send(to replica.MemberID, messages []replica.GroupMessage) {
	if link := p.raftLink(memberAddress(to, p.port)); link != nil {
		link.Send(messages)
	}
}

func (p *Peers) raftLink(address string) *raftlink.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.getOrCreate(address)
	if remote == nil {
		return nil
	}
	if remote.link == nil {
		remote.link = raftlink.New(remote.client)
	}
	return remote.link
}

// Client returns the session to an address. It returns nil after Close, for the
// daemon's own address and for an empty one.
func (p *Peers) Client(address string) *transport.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if remote := p.getOrCreate(address); remote != nil {
		return remote.client
	}
	return nil
}

func (p *Peers) getOrCreate(address string) *peer {
	if p.closed || address == p.self || address == "" {
		return nil
	}
	remote := p.peers[address]
	if remote == nil {
		remote = &peer{client: transport.NewClient(address, p.opts)}
		p.peers[address] = remote
	}
	return remote
}

// Retain ends the sessions to daemons that are not in the list.
func (p *Peers) Retain(addresses []string) {
	wanted := map[string]bool{}
	for _, a := range addresses {
		wanted[a] = true
	}
	p.mu.Lock()
	var dropped []*peer
	for address, remote := range p.peers {
		if !wanted[address] {
			dropped = append(dropped, remote)
			delete(p.peers, address)
		}
	}
	p.mu.Unlock()
	for _, remote := range dropped {
		remote.close()
	}
}

// Close ends all sessions.
func (p *Peers) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mu.Unlock()
	for _, remote := range peers {
		remote.close()
	}
}

func (p *peer) close() {
	p.client.Close()
	if p.link != nil {
		p.link.Close()
	}
}
