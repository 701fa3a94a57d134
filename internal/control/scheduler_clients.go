package control

import (
	"sync"

	"godwitward.example/godwitward/internal/transport"
)

// maxSchedulerClients bounds the sessions to schedulers. Without it, sessions to
// replaced schedulers would accumulate.
const maxSchedulerClients = 64

// schedulerClients caches sessions to the schedulers that hold pool leases, by
// address.
type schedulerClients struct {
	opts transport.Options

	mu      sync.Mutex
	clients map[string]*transport.Client
}

func newSchedulerClients(opts transport.Options) *schedulerClients {
	return &schedulerClients{opts: opts, clients: map[string]*transport.Client{}}
}

func (p *schedulerClients) get(address string) *transport.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if len(p.clients) >= maxSchedulerClients {
		p.closeLocked()
	}
	c := transport.NewClient(address, p.opts)
	p.clients[address] = c
	return c
}

func (p *schedulerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}

func (p *schedulerClients) closeLocked() {
	for address, c := range p.clients {
		c.Close()
		delete(p.clients, address)
	}
}
