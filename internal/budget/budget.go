// Package budget owns the memory that a process spends on callers, and the descriptors of all
// its connections. All listeners of a process share one Budget: an Account for each connection
// holds what its headers, bodies and buffered responses take. See docs/design/memory-budget.md.
package budget

import (
	"expvar"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// callersShare is the part of the process's memory for what is held for callers. The Go
	// runtime's soft limit is 0.6 of it at an entry and 0.7 at a core daemon, and a process
	// without callers takes about 20 MiB of the smallest VM's 112. As much as the budget is
	// left for garbage: a buffer that grows leaves its size behind. With 0.3 the peak of the
	// tests was 97 MiB.
	callersShare = 0.25
	// connectionsShare is the part of the descriptors for callers' connections. A request in
	// progress takes one more for its upstream; the rest is for sessions, idle connections to
	// upstreams and files.
	connectionsShare = 0.35
	// ordinaryBytes is what one caller may hold while only ordinaryShare of the budget is
	// left: the header, body and response of a usual request. A caller that holds more gets
	// only the rest of the budget.
	ordinaryBytes = 64 << 10
	ordinaryShare = 0.2
	// minFreed is the part of the budget that is freed when it is exceeded, so that the
	// holders are not ranked for each request.
	minFreed = 1.0 / 32
	// rankPause is the time for which large requests are refused without another ranking
	// after one in which nobody could be ended.
	rankPause = 2 * time.Millisecond
)

// Budget is the memory, in bytes, and the number of connections for the callers of one
// process. The methods of a nil *Budget allow everything.
type Budget struct {
	max, maxLarge int64
	maxConns      int
	// descriptors is nil if there is no limit on them.
	descriptors *descriptors
	// closeIdle closes an idle connection to an upstream; nil for none.
	closeIdle func() bool
	start     time.Time
	used      atomic.Int64
	// refused counts requests for memory that were refused, ended the accounts and
	// connections that were closed for others.
	refused, ended atomic.Int64

	mu sync.Mutex
	// accounts holds those of all connections that are open, yielding the number of those that
	// are to end for another connection.
	accounts map[*Account]struct{}
	yielding int
	// fullUntil is until when nobody can be ended, since start.
	fullUntil time.Duration
}

// New returns the budget of a process with the given bytes of memory and number of
// descriptors; 0 means that there is no limit.
func New(memoryBytes int64, descriptors int) *Budget {
	b := &Budget{max: math.MaxInt64, maxLarge: math.MaxInt64, maxConns: math.MaxInt, start: time.Now(), accounts: map[*Account]struct{}{}}
	if memoryBytes > 0 {
		b.max = int64(callersShare * float64(memoryBytes))
		b.maxLarge = int64((1 - ordinaryShare) * float64(b.max))
	}
	if descriptors > 0 {
		b.maxConns = max(1, int(connectionsShare*float64(descriptors)))
		b.descriptors = newDescriptors(descriptors, b.maxConns)
	}
	return b
}

func (b *Budget) now() time.Duration { return time.Since(b.start) }

// Vars returns the metrics: bytes used and their limit, connections, requests for memory that
// were refused, and connections that were ended for others.
func (b *Budget) Vars() expvar.Var {
	return expvar.Func(func() any {
		b.mu.Lock()
		conns := len(b.accounts)
		b.mu.Unlock()
		m := map[string]int64{"bytes": b.used.Load(), "bytes_max": b.max, "connections": int64(conns), "refused": b.refused.Load(), "ended": b.ended.Load()}
		b.descriptors.vars(m)
		return m
	})
}

// stage is what a connection does.
type stage uint8

const (
	// stageWaiting: no byte of a request has arrived.
	stageWaiting stage = iota
	// stageHeader and stageBody: a part of a request has arrived.
	stageHeader
	stageBody
	// stageServing: the request is being served. Its caller holds nothing up.
	stageServing
	// stageWriting: a write to the caller is in progress.
	stageWriting
)

// Account is what one connection holds. The methods of a nil *Account allow everything.
type Account struct {
	budget *Budget
	// end makes the connection end, given its stage. It must not block.
	end func(stage)

	mu    sync.Mutex
	held  int64
	stage stage
	// since is when the stage began, or when the first byte of the request arrived.
	since time.Duration
	// served is set once a request was complete, ended once the account is to end, cut once its
	// connection was closed for that.
	served, ended, cut bool
	// yields is set if the account is to end for another connection. The budget's mu guards it.
	yields bool
}

// open returns an account that holds n bytes, nil if there are too many connections.
func (b *Budget) open(n int64, end func(stage)) *Account {
	a := &Account{budget: b, end: end, since: b.now()}
	b.mu.Lock()
	if len(b.accounts)-b.yielding >= b.maxConns && !b.shedConnection() {
		b.mu.Unlock()
		b.refused.Add(1)
		return nil
	}
	b.accounts[a] = struct{}{}
	b.mu.Unlock()
	if !a.Reserve(n) {
		a.close()
		return nil
	}
	return a
}

// shedConnection ends a connection that waits for a request, or whose caller does not read, and
// reports whether there is one. b.mu must be held.
func (b *Budget) shedConnection() bool {
	var accounts []*Account
	var waiting []policy.WaitingConnection
	now := b.now()
	for a := range b.accounts {
		a.mu.Lock()
		// A connection that was to end as its request became complete is served first.
		writing := a.stage == stageWriting && !a.cut
		if a.stage <= stageHeader && !a.ended || writing {
			accounts = append(accounts, a)
			waiting = append(waiting, policy.WaitingConnection{Served: a.served, Waits: now - a.since, Writing: writing})
		}
		a.mu.Unlock()
	}
	for {
		i := policy.ShedConnection(waiting)
		if i < 0 {
			return false
		}
		if a := accounts[i]; a.shed() || a.cutOff() {
			if !a.yields {
				a.yields = true
				b.yielding++
			}
			return true
		}
		// Its request is complete by now, so that it stays and still counts.
		accounts, waiting = slices.Delete(accounts, i, i+1), slices.Delete(waiting, i, i+1)
	}
}

// Reserve adds n bytes to what the account holds, and reports whether they were free. Others
// may be ended for it.
func (a *Account) Reserve(n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	b := a.budget
	a.mu.Lock()
	total, ended := a.held+n, a.ended
	a.mu.Unlock()
	if ended {
		return false
	}
	limit := b.max
	if total > ordinaryBytes {
		limit = b.maxLarge
	}
	if b.used.Add(n) > limit && !b.shed(a, total, limit) {
		b.used.Add(-n)
		b.refused.Add(1)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		b.used.Add(-n)
		return false
	}
	a.held += n
	return true
}

// shed ends accounts until the memory in use is below the limit, and reports whether it is.
func (b *Budget) shed(asker *Account, total, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	over := b.used.Load() - limit
	now := b.now()
	switch {
	case over <= 0:
		return true
	case now < b.fullUntil && total > ordinaryBytes:
		return false
	}
	accounts := make([]*Account, 0, len(b.accounts))
	holders := make([]policy.MemoryHolder, 0, len(b.accounts))
	for a := range b.accounts {
		if a == asker {
			continue
		}
		a.mu.Lock()
		if a.stage != stageServing && !a.ended {
			accounts = append(accounts, a)
			h := policy.MemoryHolder{Bytes: a.held, Writing: a.stage == stageWriting}
			if a.stage != stageWaiting {
				h.Stalled = now - a.since
			}
			holders = append(holders, h)
		}
		a.mu.Unlock()
	}
	me := policy.MemoryHolder{Bytes: total}
	victims, ok := policy.ShedMemory(me, over+int64(minFreed*float64(limit)), holders)
	if !ok {
		victims, ok = policy.ShedMemory(me, over, holders)
	}
	if !ok {
		b.fullUntil = now + rankPause
		return false
	}
	for _, i := range victims {
		accounts[i].shed()
	}
	return true
}

// shed ends the account, unless its request is being served, and reports whether it does: what
// it holds counts as free from now on.
func (a *Account) shed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.stage == stageServing {
		// Its request was complete by now.
		return false
	}
	a.ended = true
	a.budget.used.Add(-a.held)
	a.budget.ended.Add(1)
	a.held = 0
	a.cut = a.stage == stageWriting
	a.end(a.stage)
	return true
}

// cutOff closes the connection of an account that is to end and whose response is being
// written, and reports whether it does.
func (a *Account) cutOff() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended || a.cut || a.stage != stageWriting {
		return false
	}
	a.cut = true
	a.end(a.stage)
	return true
}

// endsSoon returns the number of connections that are to end and have no request in progress.
// b.mu must be held.
func (b *Budget) endsSoon() int {
	n := 0
	for a := range b.accounts {
		a.mu.Lock()
		if a.ended && a.stage <= stageHeader {
			n++
		}
		a.mu.Unlock()
	}
	return n
}

// Release takes n bytes off what the account holds.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, a.held)
	a.held -= n
	a.budget.used.Add(-n)
}

// Keep moves n bytes from what the account holds to the process, where they count until release
// is called: for what outlasts the request, whether or not the connection does.
func (a *Account) Keep(n int64) (release func()) {
	if a == nil {
		return func() {}
	}
	a.budget.used.Add(n)
	a.Release(n)
	return func() { a.budget.used.Add(-n) }
}

// setHeld makes the account hold n bytes, at most as many as it holds.
func (a *Account) setHeld(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n < a.held {
		a.budget.used.Add(n - a.held)
		a.held = n
	}
}

// close ends the use of the account by its connection.
func (a *Account) close() {
	a.budget.mu.Lock()
	if _, open := a.budget.accounts[a]; open && a.yields {
		a.budget.yielding--
	}
	delete(a.budget.accounts, a)
	a.budget.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.budget.used.Add(-a.held)
	a.held = 0
}

// enter sets the stage of the connection and returns the one before.
func (a *Account) enter(s stage) (before stage) {
	now := a.budget.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	before = a.stage
	if s == stageWaiting || s == stageServing {
		a.served = true
	}
	if s != before && !(s == stageBody && before == stageHeader) {
		a.since = now
	}
	a.stage = s
	return before
}

// ReceivesBody marks the connection as one whose request body arrives; done ends that. If
// Ended reports true after done, the request must be refused, whether or not the body is
// complete: its response could not be sent.
func (a *Account) ReceivesBody() (done func()) {
	if a == nil {
		return func() {}
	}
	before := a.enter(stageBody)
	return func() { a.enter(before) }
}

// Ended reports whether the connection is being ended for others.
func (a *Account) Ended() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}
