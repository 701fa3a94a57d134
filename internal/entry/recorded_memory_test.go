package entry

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
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

// Guards against responses that are kept for the ledger after their calls have ended, and that
// nothing counts while the ledger does not store them.
func TestUnrecordedResponsesCountAgainstTheMemoryForCallers(t *testing.T) {
	const size = 48 << 10
	f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	fail := func(err error) {
		f.control.mu.Lock()
		defer f.control.mu.Unlock()
		f.control.recordErr = err
	}
	fail(errors.New("the ledger has no leader"))
	memory := budget.New(4<<20, 0)
	f.serveWithin(t, memory)
	resp, body := f.do(t, "POST", "/orders/x", "k", "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, body, size)
	http.DefaultClient.CloseIdleConnections()
	used := func() int64 {
		var used struct{ Bytes int64 }
		require.NoError(t, json.Unmarshal([]byte(memory.Vars().String()), &used))
		return used.Bytes
	}
	require.Never(t, func() bool { return used() < size || f.responseQuota.used.Load() < size }, 300*time.Millisecond, 10*time.Millisecond)
	fail(nil)
	require.Eventually(t, func() bool { return used() == 0 }, 5*time.Second, 10*time.Millisecond)
	f.requireFreed(t)
	require.Len(t, f.control.recorded(), 1)
}
