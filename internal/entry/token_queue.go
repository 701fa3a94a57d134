package entry

import (
	"sync"

	"godwitward.example/godwitward/internal/request"
)

// tokenQueue buffers the output of one request, so that a slow caller does not
// slow down reading from the engine. Its size is bounded by the request's maximum
// output tokens, which count against Limits.ResponseBytes.
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

func (q *tokenQueue) push(text string) {
	q.mu.Lock()
	q.pending = append(q.pending, text)
	q.mu.Unlock()
	q.signal()
}

func (q *tokenQueue) finish(o request.Outcome) {
	q.mu.Lock()
	q.done = true
	q.outcome = o
	q.mu.Unlock()
	q.signal()
}

func (q *tokenQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take waits until there is output or the request has ended. It returns the texts
// pushed since the last take. recycled is the slice of an earlier take, which is
// reused for later texts.
func (q *tokenQueue) take(recycled []string) (texts []string, done bool) {
	for {
		q.mu.Lock()
		if len(q.pending) > 0 || q.done {
			texts, done = q.pending, q.done
			q.pending = recycled[:0]
			q.mu.Unlock()
			return texts, done
		}
		q.mu.Unlock()
		<-q.wake
	}
}
