package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that is avoided after a few failed calls, or for
// ever.
func TestOutcomesFollowTheCalls(t *testing.T) {
	o := &Outcomes{}
	o.Add(0, minOutcomeWeight-1, 0)
	require.Zero(t, o.ErrorShare(0), "too few calls to judge")
	o.Add(0, 1000, 0)
	require.InDelta(t, 1, o.ErrorShare(0), 1e-9)
	require.InDelta(t, 1, o.ErrorShare(3*time.Second), 1e-9, "without new calls the share does not change")
	require.Zero(t, o.ErrorShare(6*time.Second), "it is tried again")
	for s := 6; s < 12; s++ {
		o.Add(20, 0, time.Duration(s)*time.Second)
	}
	require.Less(t, o.ErrorShare(12*time.Second), 0.05)
	require.False(t, o.Decayed(12*time.Second))
	require.True(t, o.Decayed(time.Minute))
}

// Guards against an upstream that fails every call and is still selected by
// entries that have made too few calls to it themselves.
func TestFailuresOfOthersCount(t *testing.T) {
	list := []Candidate{
		{Health: &Health{}, Load: &EngineLoad{}, SamePlace: true, GlobalErrorShare: 0.9},
		{Health: &Health{}, Load: &EngineLoad{}},
	}
	list[1].Load.Begin(Work{})
	list[1].Load.Begin(Work{})
	for _, r := range []float64{0, 0.3, 0.6, 0.9} {
		require.Equal(t, 1, PickUpstream(list, 0, r))
	}
}
