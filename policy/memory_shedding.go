package policy

import (
	"slices"
	"time"
)

// MemoryHolder is what a process holds for one caller's connection.
type MemoryHolder struct {
	// Bytes is the memory held.
	Bytes int64
	// Stalled is how long the caller has held the memory up: since its request began to
	// arrive, or since a write to it has been blocked; 0 between two requests.
	Stalled time.Duration
	// Writing is set while a response is written.
	Writing bool
}

// longestOrdinaryWrite is the time within which a caller that reads takes a response of
// 512 KiB: at 7.5 Mbit/s, the slowest VM, it is 560 ms.
const longestOrdinaryWrite = 700 * time.Millisecond

// weight ranks the holders: those that hold most and take least come first. A second without
// progress counts as much as the memory itself.
func (h *MemoryHolder) weight() float64 { return float64(h.Bytes) * (1 + h.Stalled.Seconds()) }

// ShedMemory returns which holders to end so that asker, who is not among them and would hold
// asker.Bytes in all, gets need bytes more. It returns false, and nobody, if asker itself
// ranks before those who would have to go. It is designed for a crowd of callers with long
// headers, slow headers and unread responses, beside ordinary callers with a few KiB each.
func ShedMemory(asker MemoryHolder, need int64, holders []MemoryHolder) (victims []int, ok bool) {
	candidates := make([]int, 0, len(holders))
	for i := range holders {
		h := &holders[i]
		if h.Bytes > 0 && !(h.Writing && h.Stalled < longestOrdinaryWrite) && h.weight() > asker.weight() {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return int(min(1, max(-1, holders[b].weight()-holders[a].weight())))
	})
	for _, i := range candidates {
		if need <= 0 {
			break
		}
		need -= holders[i].Bytes
		victims = append(victims, i)
	}
	if need > 0 {
		return nil, false
	}
	return victims, true
}

// WaitingConnection is a caller's connection that waits for a request, or for its caller to
// read.
type WaitingConnection struct {
	// Served is set if the connection has had a complete request.
	Served bool
	// Waits is the time since its last response, since it was opened, or since the write began
	// that is in progress.
	Waits time.Duration
	// Writing is set while a response is written.
	Writing bool
}

// rank orders the connections by what their callers lose: 0 for the least.
func (c *WaitingConnection) rank() int {
	switch {
	case c.Writing:
		return 2
	case c.Served:
		return 1
	}
	return 0
}

// ShedConnection returns the connection to close when a process has as many as it may have:
// one that never had a request before one that has, one whose caller has not read a response
// within the time of an ordinary one after both, and of each the one that waits longest. It
// returns -1 if there is none.
func ShedConnection(waiting []WaitingConnection) int {
	worst := -1
	for i, c := range waiting {
		if c.Writing && c.Waits < longestOrdinaryWrite {
			continue
		}
		if worst < 0 || c.rank() < waiting[worst].rank() || c.rank() == waiting[worst].rank() && c.Waits > waiting[worst].Waits {
			worst = i
		}
	}
	return worst
}
