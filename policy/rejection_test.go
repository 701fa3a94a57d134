package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a full engine that is taken for a lost prefill result, and the
// other way round, on engines that are limited by memory and by slots.
func TestLikelyFull(t *testing.T) {
	memoryBound := Capacity{Slots: 128, MemoryTokens: 41423}
	slotBound := Capacity{Slots: 12, MemoryTokens: 106421}
	for _, c := range []struct {
		name             string
		capacity         Capacity
		running, waiting int
		mean             float64
		prompt           int
		full             bool
	}{
		{"memory for seven, seven running", memoryBound, 7, 0, 5600, 5200, true},
		{"memory for seven, five running", memoryBound, 5, 0, 5600, 5200, true},
		{"memory for seven, two running", memoryBound, 2, 0, 5600, 5200, false},
		{"memory for seven, idle, largest prompt", memoryBound, 0, 0, 5600, 11000, false},
		{"a prompt that fits beside none", memoryBound, 0, 0, 5600, 40000, true},
		{"requests are waiting", memoryBound, 0, 1, 5600, 100, true},
		{"most slots taken", slotBound, 9, 0, 5600, 5200, true},
		{"half of the slots taken", slotBound, 6, 0, 7600, 5200, false},
		{"memory is not announced", Capacity{Slots: 8}, 0, 0, 5600, 5200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.full, c.capacity.LikelyFull(c.running, c.waiting, c.mean, c.prompt))
		})
	}
}
