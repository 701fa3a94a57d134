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

func (s *schedulerClients) get(address string) *transport.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[address]; ok {
		return c
	}
	if len(s.clients) >= maxSchedulerClients {
		s.closeLocked()
	}
	c := transport.NewClient(address, s.opts)
	s.clients[address] = c
	return c
}

func (s *schedulerClients) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
}

func (s *schedulerClients) closeLocked() {
	for address, c := range s.clients {
		c.Close()
		delete(s.clients, address)
	}
}
