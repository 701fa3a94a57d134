package control

import (
	"context"
	"sync"
	"time"
)

// readIndexTimeout bounds one ReadIndex call.
const readIndexTimeout = 2 * time.Second

// readIndexBatcher batches concurrent ReadIndex calls of one group: hundreds of
// daemons renew every second, and one call serves all that were waiting when it
// started.
type readIndexBatcher struct {
	replicator Replicator
	group      uint32

	mu      sync.Mutex
	running bool
	next    *readBatch
}

type readBatch struct {
	done chan struct{}
	err  error
}

// wait returns nil once a ReadIndex that started after this call has succeeded.
func (r *readIndexBatcher) wait(ctx context.Context) error {
	b := r.joinBatch()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *readIndexBatcher) joinBatch() *readBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &readBatch{done: make(chan struct{})}
	}
	b := r.next
	if !r.running {
		r.running = true
		go r.run()
	}
	return b
}

// run serves batches until none is waiting.
func (r *readIndexBatcher) run() {
	for {
		r.mu.Lock()
		b := r.next
		r.next = nil
		r.running = b != nil
		r.mu.Unlock()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
		b.err = r.replicator.ReadIndex(ctx, r.group)
		cancel()
		close(b.done)
	}
}
