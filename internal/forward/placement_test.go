package forward

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller's event id that makes a request larger than any answer
// may be, or overflows.
func TestMadeTokensAreBounded(t *testing.T) {
	for _, c := range []struct{ events, passed, answer, made int }{
		{0, 0, 9100, 0},
		{20, 0, 9100, 1400},
		{20, 5, 9100, 1750},
		{130, 3, 9100, 9100},
		{20, 0, 0, 0},
		{math.MaxInt, 1, 9100, 0},
	} {
		x := &exchange{service: &Service{Engine: &Engine{TokensPerEvent: 70}}, facts: RequestInfo{EventsDelivered: c.events, MaxOutputTokens: c.answer}}
		require.Equal(t, c.made, x.made(&streamState{events: c.passed}), "%+v", c)
	}
	plain := &exchange{service: &Service{}, facts: RequestInfo{EventsDelivered: 3, MaxOutputTokens: 9100}}
	require.Zero(t, plain.made(&streamState{}))
}
