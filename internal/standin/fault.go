package standin

import (
	"sync"
	"time"
)

// Fault kinds.
const (
	// FaultStallPrefill: the next Count prefills never end until cancelled.
	FaultStallPrefill = "stall_prefill"
	// FaultStallTransfer: the next Count imports or exports stop moving bytes
	// until cancelled.
	FaultStallTransfer = "stall_transfer"
	// FaultSilence: connections that are open now stay open, but no byte
	// passes in either direction. New connections work.
	FaultSilence = "silence"
	// FaultSlow: all work takes Factor times as long.
	FaultSlow = "slow"
	// FaultCrash: connections and listener are closed, memory is lost.
	FaultCrash = "crash"
	// FaultDuplicate: the next Count tokens are sent twice.
	FaultDuplicate = "duplicate"
	// FaultLate: the next Count tokens are sent again after newer ones.
	FaultLate = "late"
	// FaultRefuse: the next Count calls are refused as not run.
	FaultRefuse = "refuse"
	// FaultLeave: announcements carry "leaving"; running work goes on.
	FaultLeave = "leave"
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind string `json:"kind"`
	// Count is the number of events affected. Default 1.
	Count int `json:"count,omitempty"`
	// Factor of FaultSlow. Default 1, normal speed.
	Factor float64 `json:"factor,omitempty"`
	// Seconds after which FaultSlow ends or, after FaultCrash, the stand-in
	// listens again on the same port with the next generation. 0: never.
	Seconds float64 `json:"seconds,omitempty"`
}

// faults holds the faults that wait for their event.
type faults struct {
	mu        sync.Mutex
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

// take reports whether the next event is affected and counts it.
func (f *faults) take(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending[kind] == 0 {
		return false
	}
	f.pending[kind]--
	return true
}

func (f *faults) slow(factor, seconds float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.factor = max(factor, 1)
	f.slowUntil = time.Time{}
	if seconds > 0 {
		f.slowUntil = time.Now().Add(time.Duration(seconds * float64(time.Second)))
	}
}

// scale returns the time that work of nominal duration d takes now.
func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.slowUntil.IsZero() && time.Now().After(f.slowUntil) {
		f.factor, f.slowUntil = 1, time.Time{}
	}
	return time.Duration(float64(d) * f.factor)
}
