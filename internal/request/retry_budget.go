package request

import (
	"sync"
	"time"
)

// Defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the share of recent requests that may be retried.
	DefaultRetryRatio = 0.2
	// DefaultRetryFloor is the number of retries allowed in a window without
	// traffic: the loss of one decode engine interrupts about 20 requests.
	DefaultRetryFloor  = 20
	budgetWindowSlots  = 10
	budgetSlotDuration = time.Second
)

// RetryBudget limits retries to a share of the requests of the last ten
// seconds, plus a fixed number, so that retries do not multiply the load on a
// failing pool. It is safe for concurrent use.
type RetryBudget struct {
	ratio float64
	floor int

	mu sync.Mutex
	// slot is the number of the current time slot since the Unix epoch. The
	// counts of a slot are at its number modulo budgetWindowSlots.
	slot     int64
	requests [budgetWindowSlots]int
	retries  [budgetWindowSlots]int
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(ratio float64, floor int) *RetryBudget {
	return &RetryBudget{ratio: ratio, floor: floor}
}

// Deposit counts one new request.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot%budgetWindowSlots]++
}

// Withdraw takes one retry and reports whether the budget allowed it.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetWindowSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries) >= float64(b.floor)+b.ratio*float64(requests) {
		return false
	}
	b.retries[b.slot%budgetWindowSlots]++
	return true
}

// advance moves to the slot of now and clears the slots after the previous one.
func (b *RetryBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(budgetSlotDuration)
	if slot <= b.slot {
		return
	}
	for s := max(b.slot+1, slot-budgetWindowSlots+1); s <= slot; s++ {
		b.requests[s%budgetWindowSlots] = 0
		b.retries[s%budgetWindowSlots] = 0
	}
	b.slot = slot
}
