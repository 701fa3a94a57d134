package boottime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/boottime"
)

// Guards against a clock that stands still or has another unit.
func TestNowAdvancesWithTime(t *testing.T) {
	before, began := boottime.Now(), time.Now()
	time.Sleep(50 * time.Millisecond)
	require.InDelta(t, time.Since(began).Seconds(), (boottime.Now() - before).Seconds(), 0.03)
}
