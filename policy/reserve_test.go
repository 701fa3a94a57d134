package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against urgent answers on slow engines: the reserve must be on the fast
// engines, keep its total, and stay even when speeds hardly differ.
func TestSpreadReserve(t *testing.T) {
	engines := make([]*Engine, 4)
	for i, speed := range []float64{0.020, 0.010, 0.014, 0.011} {
		engines[i] = &Engine{Usable: true, Share: 1, DecodeSeconds: speed, MaxBatch: 20, TotalPieces: 100}
	}
	AssignReserve(engines)
	free := func() (slots []int) {
		for _, e := range engines {
			slots = append(slots, e.FreeSlots(Draft, 0.05))
			require.Equal(t, 20, e.FreeSlots(Urgent, 0.05))
		}
		return slots
	}
	require.Equal(t, []int{20, 18, 20, 18}, free())
	for _, e := range engines {
		e.DecodeSeconds = 0.010
	}
	AssignReserve(engines)
	require.Equal(t, []int{19, 19, 19, 19}, free())
}
