package policy

import (
	"slices"
	"time"
)

// RelayHelper is what an entry knows of a daemon that may relay its connections. Times are
// on the entry's clock.
type RelayHelper struct {
	SamePlace bool
	// Open is the number of connections that the daemon relays, for all entries, and
	// MaxOpen the most that it takes; 0 while that is unknown.
	Open, MaxOpen int
	// Silent is how long the daemon has left a question unanswered.
	Silent time.Duration
	// FailedAt and FullAt are when the daemon was last lost or not reached, and when it
	// last had no room; 0 for never.
	FailedAt, FullAt time.Duration
}

const (
	// relaySilence is the silence after which a daemon is asked after the others.
	relaySilence = 300 * time.Millisecond
	// relayFailureTime and relayFullTime are how long a failure, or a lack of room, makes a
	// daemon be asked after the others.
	relayFailureTime = 2 * time.Second
	relayFullTime    = 500 * time.Millisecond
	// relayLocalShare is the load up to which daemons of the entry's own place are
	// preferred.
	relayLocalShare = 0.75
	// relayLoadSteps is the number of levels of load that are told apart. Loads are known
	// as of the last response, so entries would all choose the least loaded daemon if
	// small differences counted.
	relayLoadSteps = 8
)

// OrderRelayHelpers returns the indices of helpers in the order in which they should be
// asked to relay a connection. random is in [0,1) and decides between equal ones.
func OrderRelayHelpers(helpers []RelayHelper, now time.Duration, random float64) []int {
	n := len(helpers)
	order := make([]int, n)
	for i := range order {
		order[i] = (i + int(random*float64(n))) % n
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &helpers[a], &helpers[b]
		if d := x.rank(now) - y.rank(now); d != 0 {
			return d
		}
		return x.loadStep() - y.loadStep()
	})
	return order
}

// Ranks of helpers, best first.
const (
	relayLocal = iota
	relayRemote
	relayFull
	relayFailed
)

func (h *RelayHelper) rank(now time.Duration) int {
	switch {
	case h.Silent > relaySilence, h.FailedAt > 0 && now-h.FailedAt < relayFailureTime:
		return relayFailed
	case h.FullAt > 0 && now-h.FullAt < relayFullTime:
		return relayFull
	case h.SamePlace && h.load() < relayLocalShare:
		return relayLocal
	}
	return relayRemote
}

// load is the share of the room that is used, 0 while it is unknown.
func (h *RelayHelper) load() float64 {
	if h.MaxOpen <= 0 {
		return 0
	}
	return float64(h.Open) / float64(h.MaxOpen)
}

func (h *RelayHelper) loadStep() int { return int(h.load() * relayLoadSteps) }
