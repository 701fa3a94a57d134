package entry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/budget"
)

// serveWithin makes the fixture serve on a listener of a budget.
func (f *fixture) serveWithin(t *testing.T, memory *budget.Budget) {
	t.Helper()
	l, err := memory.Listen("127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: f.Handler()}
	memory.Configure(srv)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	f.url = "http://" + l.Addr().String()
}

// Guards against responses to calls with idempotency keys that are held outside of the memory
// for callers: a call whose response has no room must be refused before it runs.
func TestRecordedResponsesCountAgainstTheMemoryForCallers(t *testing.T) {
	var runs atomic.Int32
	f := plainFixture(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		okHandler(w, r)
	})
	// A quarter of the memory is for callers: the longest recorded response alone fills it.
	memory := budget.New(4*maxRecordedBodyBytes, 0)
	f.serveWithin(t, memory)
	resp, body := f.do(t, "POST", "/orders/x", "", "")
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	resp, body = f.do(t, "POST", "/orders/x", "k", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.EqualValues(t, 1, runs.Load())
	f.requireFreed(t)
}
