package forward

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event id from a caller that overflows, or that makes the number
// of generated tokens exceed the maximum output.
func TestGeneratedTokensAreLimited(t *testing.T) {
	for _, c := range []struct{ events, relayed, maxOutput, generated int }{
		{0, 0, 9100, 0},
		{20, 0, 9100, 1400},
		{20, 5, 9100, 1750},
		{130, 3, 9100, 9100},
		{20, 0, 0, 0},
		{math.MaxInt, 1, 9100, 0},
	} {
		x := &exchange{service: &Service{Engine: &EngineConfig{TokensPerEvent: 70}}, info: RequestInfo{EventsDelivered: c.events, MaxOutputTokens: c.maxOutput}}
		require.Equal(t, c.generated, x.generatedTokens(&streamState{events: c.relayed}), "%+v", c)
	}
	plain := &exchange{service: &Service{}, info: RequestInfo{EventsDelivered: 3, MaxOutputTokens: 9100}}
	require.Zero(t, plain.generatedTokens(&streamState{}))
}
