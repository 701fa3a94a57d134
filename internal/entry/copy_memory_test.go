package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/budget"
)

// Guards against the buffers of responses that callers read slowly and that nothing counts,
// and against a response that is not delivered because there is no memory for one.
func TestBuffersOfResponsesCountAgainstTheMemoryForCallers(t *testing.T) {
	// callBytes is more than a connection with a call takes, less than with a copy buffer.
	const callBytes = 48 << 10
	body := strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		callersMemory int64
		counted       bool
	}{
		"with room":    {1 << 20, true},
		"without room": {40 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			finish := sync.OnceFunc(func() { close(release) })
			defer finish()
			f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
				_ = http.NewResponseController(w).Flush()
				<-release
			})
			// A quarter of the memory is for callers.
			memory := budget.New(4*c.callersMemory, 0)
			f.serveWithin(t, memory)
			resp, err := http.Get(f.url + "/orders/x")
			require.NoError(t, err)
			defer resp.Body.Close()
			var used struct{ Bytes int64 }
			require.NoError(t, json.Unmarshal([]byte(memory.Vars().String()), &used))
			require.Equal(t, c.counted, used.Bytes > callBytes, "%d bytes", used.Bytes)
			finish()
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, body, string(got))
		})
	}
}
