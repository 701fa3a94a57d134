package control

import (
	"sync"

	"godwitward.example/godwitward/internal/transport"
)

// maxPeers bounds the sessions to schedulers; addresses of replaced ones would
// accumulate otherwise.
const maxPeers = 64

// peers keeps sessions to the holders of pool leases.
type peers struct {
	opts transport.Options

	mu      sync.Mutex
	clients map[string]*transport.Client
}

func newPeers(opts transport.Options) *peers {
	return &peers{opts: opts, clients: map[string]*transport.Client{}}
}

func (p *peers) get(address string) *transport.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if len(p.clients) >= maxPeers {
		p.closeLocked()
	}
	c := transport.NewClient(address, p.opts)
	p.clients[address] = c
	return c
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}

func (p *peers) closeLocked() {
	for address, c := range p.clients {
		c.Close()
		delete(p.clients, address)
	}
}
