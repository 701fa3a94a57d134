package control

import (
	"context"
	"sync"
	"time"
)

// readTimeout bounds one confirmation of leadership.
const readTimeout = 2 * time.Second

// reader joins concurrent ReadIndex calls of one group: hundreds of daemons
// renew every second, and one confirmation serves all that waited before it
// began.
type reader struct {
	repl  Replication
	group uint32

	mu      sync.Mutex
	running bool
	next    *readBatch
}

type readBatch struct {
	done chan struct{}
	err  error
}

// read returns once a ReadIndex that began after this call has succeeded.
func (r *reader) read(ctx context.Context) error {
	b := r.join()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *reader) join() *readBatch {
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

// run serves batches until none is waiting; each ReadIndex is bounded.
func (r *reader) run() {
	for {
		r.mu.Lock()
		b := r.next
		r.next = nil
		r.running = b != nil
		r.mu.Unlock()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		b.err = r.repl.ReadIndex(ctx, r.group)
		cancel()
		close(b.done)
	}
}
