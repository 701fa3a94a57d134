package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are forgotten before the window has passed them.
func TestWindowCountCoversFourSeconds(t *testing.T) {
	var c WindowCount
	c.Add(0)
	c.Add(2 * time.Second)
	require.Equal(t, 2, c.Count(3900*time.Millisecond))
	require.Equal(t, 1, c.Count(4*time.Second))
	require.Zero(t, c.Count(10*time.Second))
}
