package policy

import "time"

const (
	// windowSlots is the number of slots of a WindowCount, windowSlot their length.
	windowSlots = 16
	windowSlot  = 250 * time.Millisecond
)

// WindowCount counts events in the latest four seconds, to a quarter of a second.
type WindowCount struct {
	counts [windowSlots]int
	// slot is the number of the newest slot, from time 0 on.
	slot int64
}

// Add counts an event.
func (c *WindowCount) Add(now time.Duration) {
	c.advance(now)
	c.counts[c.slot%windowSlots]++
}

// Count returns the number of events in the window.
func (c *WindowCount) Count(now time.Duration) int {
	c.advance(now)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

func (c *WindowCount) advance(now time.Duration) {
	slot := int64(now / windowSlot)
	for i := max(c.slot+1, slot-windowSlots+1); i <= slot; i++ {
		c.counts[i%windowSlots] = 0
	}
	c.slot = max(c.slot, slot)
}
