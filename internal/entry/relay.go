package entry

import (
	"sync"

	"godwitward.example/godwitward/internal/request"
)

// relay buffers the answer of one request between the engine, which is read at
// its own pace, and the caller. Its size is bounded by the output tokens that
// the request may have, which are counted against Limits.AnswerBytes.
type relay struct {
	wake chan struct{}

	mu      sync.Mutex
	pending []string
	done    bool
	outcome request.Outcome
}

func newRelay() *relay {
	return &relay{wake: make(chan struct{}, 1)}
}

func (r *relay) push(text string) {
	r.mu.Lock()
	r.pending = append(r.pending, text)
	r.mu.Unlock()
	r.signal()
}

func (r *relay) finish(o request.Outcome) {
	r.mu.Lock()
	r.done = true
	r.outcome = o
	r.mu.Unlock()
	r.signal()
}

func (r *relay) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take waits for output or the end. It returns the texts that arrived since
// the last take; the caller gives the emptied slice back as free.
func (r *relay) take(free []string) (texts []string, done bool) {
	for {
		r.mu.Lock()
		if len(r.pending) > 0 || r.done {
			texts, done = r.pending, r.done
			r.pending = free[:0]
			r.mu.Unlock()
			return texts, done
		}
		r.mu.Unlock()
		<-r.wake
	}
}
