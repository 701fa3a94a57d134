package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an ordinary caller that is refused because others hold all memory, and
// against others that are ended although the asker itself holds most.
func TestMemoryIsTakenFromThoseWhoHoldMost(t *testing.T) {
	holders := []MemoryHolder{{Bytes: 4 << 10}, {Bytes: 1 << 20}, {Bytes: 600 << 10, Stalled: 3 * time.Second}, {Bytes: 2 << 20, Writing: true, Stalled: 100 * time.Millisecond}}
	victims, ok := ShedMemory(MemoryHolder{Bytes: 8 << 10}, 8<<10, holders)
	require.True(t, ok)
	require.Equal(t, []int{2}, victims, "the one that has stalled goes first, and one that reads stays")
	victims, ok = ShedMemory(MemoryHolder{Bytes: 8 << 10}, 1<<20, holders)
	require.True(t, ok)
	require.Equal(t, []int{2, 1}, victims)
	victims, ok = ShedMemory(MemoryHolder{Bytes: 4 << 20}, 8<<10, holders)
	require.False(t, ok)
	require.Empty(t, victims)
}

// Guards against the close of a caller's kept connection while others have sent nothing yet.
func TestConnectionsWithoutARequestAreClosedFirst(t *testing.T) {
	require.Equal(t, 2, ShedConnection([]WaitingConnection{{Served: true, Waits: time.Minute}, {Waits: time.Second}, {Waits: 2 * time.Second}}))
	require.Equal(t, 0, ShedConnection([]WaitingConnection{{Served: true, Waits: time.Minute}, {Served: true, Waits: time.Second}}))
	reads := WaitingConnection{Served: true, Writing: true, Waits: longestOrdinaryWrite / 2}
	stalled := WaitingConnection{Served: true, Writing: true, Waits: time.Hour}
	require.Equal(t, -1, ShedConnection([]WaitingConnection{reads}))
	require.Equal(t, 1, ShedConnection([]WaitingConnection{reads, stalled}))
	require.Equal(t, 1, ShedConnection([]WaitingConnection{stalled, {Served: true, Waits: time.Second}}))
	require.Equal(t, -1, ShedConnection(nil))
}
