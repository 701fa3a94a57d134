package standin

import (
	"sync"
	"time"
)

// Fault kinds.
const (
	// FaultStallPrefill: the next Count prefills do not end until they are
	// cancelled.
	FaultStallPrefill = "stall_prefill"
	// FaultStallTransfer: the next Count imports or exports transfer nothing
	// until they are cancelled.
	FaultStallTransfer = "stall_transfer"
	// FaultSilence: connections that are open now stay open, but transfer
	// nothing in either direction. New connections work.
	FaultSilence = "silence"
	// FaultSlow: all work takes Factor times as long.
	FaultSlow = "slow"
	// FaultCrash: the listener and all connections are closed, the state in
	// memory is lost.
	FaultCrash = "crash"
	// FaultDuplicate: the next Count tokens are sent twice.
	FaultDuplicate = "duplicate"
	// FaultLate: the next Count tokens are sent again after newer ones.
	FaultLate = "late"
	// FaultRefuse: the next Count calls are rejected as not run.
	FaultRefuse = "refuse"
	// FaultLeave: announcements say that the stand-in is leaving; running work
	// goes on.
	FaultLeave = "leave"
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of events affected. Default 1.
	Count int `json:"count,omitempty"`
	// Factor is the slowdown of FaultSlow. Default 1, normal speed.
	Factor float64 `json:"factor,omitempty"`
	// Seconds is the time after which FaultSlow ends or, after FaultCrash, the
	// stand-in restarts on the same port with the next generation. 0: never.
	Seconds float64 `json:"seconds,omitempty"`
}

// faults holds the faults that are in effect.
type faults struct {
	mu sync.Mutex
	// pending counts the events still to be affected, by kind of fault.
	pending   map[string]int
	factor    float64
	slowUntil time.Time
}

func newFaults() *faults {
	return &faults{pending: map[string]int{}, factor: 1}
}

func (f *faults) add(kind string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[kind] += max(count, 1)
}

// consume reports whether a fault of the kind affects the event that is about to
// happen, and if so decrements the pending count.
func (f *faults) consume(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending[kind] == 0 {
		return false
	}
	f.pending[kind]--
	return true
}

func (f *faults) setSlow(factor, seconds float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.factor = max(factor, 1)
	f.slowUntil = time.Time{}
	if seconds > 0 {
		f.slowUntil = time.Now().Add(time.Duration(seconds * float64(time.Second)))
	}
}

// scale returns the duration of work of nominal duration d under FaultSlow.
func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.slowUntil.IsZero() && time.Now().After(f.slowUntil) {
		f.factor, f.slowUntil = 1, time.Time{}
	}
	return time.Duration(float64(d) * f.factor)
}
