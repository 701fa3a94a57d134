package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

var drawAll = Statements{StartInReport: Drawn, StartInHeartbeat: Drawn, KeepAlive: Drawn, Close: Drawn, WeightsInRefusal: Drawn}

// Guards against a way of the runners that no seed draws.
func TestEachStatementIsDrawnBothWays(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(100) {
		s := drawAll.drawn(seed)
		require.Equal(t, s, drawAll.drawn(seed))
		for name, value := range map[string]standin.Statement{
			"start-in-report": s.StartInReport, "start-in-heartbeat": s.StartInHeartbeat, "keep-alive": s.KeepAlive, "connection-close": s.Close, "weights-in-refusal": s.WeightsInRefusal,
		} {
			counts[name+" "+string(value)]++
		}
		require.False(t, s.StartInHeartbeat == standin.Absent && s.StartInReport != standin.Absent)
	}
	require.Len(t, counts, 10, counts)
	for name, n := range counts {
		require.Greater(t, n, 20, name)
	}
}

// Guards against a forced statement that is drawn, or that changes what is drawn for others.
func TestForcedStatementsChangeNoOthers(t *testing.T) {
	forced := drawAll
	forced.StartInReport = string(standin.Absent)
	for seed := range uint64(100) {
		want := drawAll.drawn(seed)
		want.StartInReport = standin.Absent
		require.Equal(t, want, forced.drawn(seed))
		require.Equal(t, standin.Statements{}, Statements{}.drawn(seed))
		require.Equal(t, standin.Statements{}, Statements{Usual, Usual, Usual, Usual, Usual}.drawn(seed))
	}
}
