package forward

import (
	"sync"
	"time"
)

// callerBudgets knows, for each route, how long its callers wait when they first
// send a request. A caller that was refused and comes back has less time left.
type callerBudgets struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returnedShare is the share of the usual time from which on a shorter one is put
// down to earlier attempts.
const returnedShare = 0.97

// waitedBefore returns how long the caller of a request with the given time left
// has probably waited for earlier attempts; 0 for a first attempt. budget is 0 if
// the caller states none.
func (b *callerBudgets) waitedBefore(route string, budget time.Duration) time.Duration {
	if budget <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := b.longest[route]
	if budget > longest {
		if b.longest == nil {
			b.longest = map[string]time.Duration{}
		}
		b.longest[route] = budget
		return 0
	}
	if float64(budget) >= returnedShare*float64(longest) {
		return 0
	}
	return longest - budget
}

// keep forgets the routes that a configuration does not have.
func (b *callerBudgets) keep(c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := map[string]time.Duration{}
	for i := range c.Routes {
		if d, ok := b.longest[c.Routes[i].Name]; ok {
			kept[c.Routes[i].Name] = d
		}
	}
	b.longest = kept
}
