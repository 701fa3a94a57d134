package entry

import (
	"sync"

	"godwitward.example/godwitward/internal/request"
)

// tokenQueue buffers the answer of one request between the engine, which is read at
// its own pace, and the caller. Its size is bounded by the output tokens that
// the request may have, which are counted against Limits.AnswerBytes.
type tokenQueue struct {
	wake chan struct{}

	mu      sync.Mutex
	pending []string
	done    bool
	outcome request.Outcome
}

func newTokenQueue() *tokenQueue {
	return &tokenQueue{wake: make(chan struct{}, 1)}
}

func (r *tokenQueue) push(text string) {
	r.mu.Lock()
	r.pending = append(r.pending, text)
	r.mu.Unlock()
	r.signal()
}

func (r *tokenQueue) finish(o request.Outcome) {
	r.mu.Lock()
	r.done = true
	r.outcome = o
	r.mu.Unlock()
	r.signal()
}

func (r *tokenQueue) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take waits for output or the end. It returns the texts that arrived since
// the last take; the caller gives the emptied slice back as free.
func (r *tokenQueue) take(recycled []string) (texts []string, done bool) {
	for {
		r.mu.Lock()
		if len(r.pending) > 0 || r.done {
			texts, done = r.pending, r.done
			r.pending = recycled[:0]
			r.mu.Unlock()
			return texts, done
		}
		r.mu.Unlock()
		<-r.wake
	}
}
