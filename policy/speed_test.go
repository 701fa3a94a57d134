package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an assumed speed that outlives the first measurement: an engine
// of another kind would count as slow and be ejected.
func TestFirstSampleReplacesAssumedRates(t *testing.T) {
	s := NewSpeed(Rates{}, Rates{PrefillRate: 55000, DecodeSeconds: 0.0007})
	require.Equal(t, Rates{}, s.Known())
	for range 20 {
		s.Decoded(500, 5*time.Millisecond, 8, 8)
		s.Prefilled(5000, 500*time.Millisecond)
	}
	require.InDelta(t, 0.005, s.DecodeSeconds, 1e-9)
	require.InDelta(t, 10000, s.PrefillRate, 1e-6)
	require.InDelta(t, 1, s.Slowness(), 1e-9)
	require.False(t, (&Ejector{}).TooSlow(&s))
}

// Guards against a typical speed of the pool that overwrites what an engine
// announced or what was measured on it.
func TestAssumedRatesYieldToKnownOnes(t *testing.T) {
	announced := NewSpeed(Rates{PrefillRate: 20000, DecodeSeconds: 0.01}, Rates{PrefillRate: 1, DecodeSeconds: 1})
	announced.Assume(Rates{PrefillRate: 2, DecodeSeconds: 2})
	require.Equal(t, 20000.0, announced.PrefillRate)
	require.Equal(t, 0.01, announced.DecodeSeconds)

	measured := NewSpeed(Rates{}, Rates{PrefillRate: 1, DecodeSeconds: 1})
	measured.Decoded(500, 5*time.Millisecond, 8, 8)
	measured.Assume(Rates{PrefillRate: 3, DecodeSeconds: 3})
	require.Equal(t, 3.0, measured.PrefillRate)
	require.InDelta(t, 0.005, measured.DecodeSeconds, 1e-9)
}

// Guards against an engine without announced rates that becomes slow and is not
// ejected.
func TestSlowedEngineIsTooSlow(t *testing.T) {
	s := NewSpeed(Rates{}, Rates{})
	for range 30 {
		s.Decoded(500, 5*time.Millisecond, 8, 8)
	}
	for range 15 {
		s.Decoded(500, 25*time.Millisecond, 8, 8)
	}
	require.True(t, (&Ejector{}).TooSlow(&s))
}
