package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// linkSlice is the time slice for which one transfer uses the link before it
// must wait for its next turn, so that transfers of equal priority share the
// link.
const linkSlice = 2 * time.Millisecond

// link limits the rate of transfers: one time slice at a time, lower priority
// number first and then in order of arrival.
type link struct {
	bytesPerSecond int64
	faults         *faults

	mu   sync.Mutex
	busy bool
	// freeAt is the nominal end of the current or last turn.
	freeAt time.Time
	// waiting holds a channel per waiting turn, closed when the turn is granted.
	waiting priorityQueue[chan struct{}]
}

func newLink(bytesPerSecond int64, f *faults) *link {
	return &link{bytesPerSecond: bytesPerSecond, faults: f}
}

// sliceBytes is the number of bytes that pass the link in one time slice.
func (l *link) sliceBytes() int {
	return max(1, int(float64(l.bytesPerSecond)*linkSlice.Seconds()))
}

// move waits for a turn and then for the time that n bytes take on the link.
func (l *link) move(ctx context.Context, priority int32, n int) error {
	turn := make(chan struct{})
	l.mu.Lock()
	if l.busy {
		heap.Push(&l.waiting, l.waiting.newItem(priority, turn))
		l.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			l.cancelTurn(turn)
			return ctx.Err()
		}
		l.mu.Lock()
	}
	l.busy = true
	// The end of a turn is computed from the nominal end of the previous one,
	// so that late timers do not lower the rate.
	now := time.Now()
	if now.Sub(l.freeAt) > linkSlice {
		l.freeAt = now
	}
	nominal := time.Duration(float64(n) / float64(l.bytesPerSecond) * float64(time.Second))
	l.freeAt = l.freeAt.Add(l.faults.scale(nominal))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	err := sleep(ctx, wait)
	l.grantNext()
	return err
}

// grantNext gives the turn to the first waiting transfer.
func (l *link) grantNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = len(l.waiting.items) > 0
	if l.busy {
		close(heap.Pop(&l.waiting).(*queueItem[chan struct{}]).value)
	}
}

// cancelTurn removes a waiting turn, or passes it on if it was granted in the
// meantime.
func (l *link) cancelTurn(turn chan struct{}) {
	l.mu.Lock()
	for i, item := range l.waiting.items {
		if item.value == turn {
			heap.Remove(&l.waiting, i)
			l.mu.Unlock()
			return
		}
	}
	l.mu.Unlock()
	l.grantNext()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// priorityQueue orders by priority, then by arrival. It implements
// heap.Interface.
type priorityQueue[T any] struct {
	items    []*queueItem[T]
	arrivals uint64
}

type queueItem[T any] struct {
	priority int32
	arrival  uint64
	value    T
}

func (q *priorityQueue[T]) newItem(priority int32, value T) *queueItem[T] {
	q.arrivals++
	return &queueItem[T]{priority: priority, arrival: q.arrivals, value: value}
}

func (q *priorityQueue[T]) Len() int { return len(q.items) }
func (q *priorityQueue[T]) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.arrival < b.arrival
}
func (q *priorityQueue[T]) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *priorityQueue[T]) Push(x any)    { q.items = append(q.items, x.(*queueItem[T])) }
func (q *priorityQueue[T]) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
