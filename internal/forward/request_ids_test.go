package forward

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that carries a request twice, and against ids without bound.
func TestRequestIDsAreKeptUntilTheConnectionIsReplaced(t *testing.T) {
	var ids requestIDs
	for n := 0; !ids.full(); n++ {
		id := strconv.Itoa(n)
		require.False(t, ids.contains(id))
		ids.add(id)
		require.True(t, ids.contains("0"))
		require.True(t, ids.contains(id))
	}
	require.Len(t, ids, maxCarriedRequests)
	// A request without an id, as the end of a handle, is never matched.
	ids.add("")
	require.False(t, ids.contains(""))
}
