package daemon

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func get(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

// Guards against missing health checks, against metrics that are not valid JSON,
// and against a second daemon in the process that hides or breaks the metrics of
// the first.
func TestDebugHandlerServesHealthAndMetrics(t *testing.T) {
	var first, second expvar.Int
	first.Set(1)
	second.Set(2)
	for value, v := range map[int]*expvar.Int{1: &first, 2: &second} {
		var notReady error
		h := DebugHandler(func() error { return notReady }, "daemon", v)
		require.Equal(t, http.StatusOK, get(h, "/livez").Code)
		require.Equal(t, http.StatusOK, get(h, "/readyz").Code)
		notReady = errors.New("draining")
		w := get(h, "/readyz")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Contains(t, w.Body.String(), "draining")
		var vars struct {
			Daemon   int             `json:"daemon"`
			MemStats json.RawMessage `json:"memstats"`
		}
		require.NoError(t, json.Unmarshal(get(h, "/debug/vars").Body.Bytes(), &vars))
		require.Equal(t, value, vars.Daemon)
		require.NotEmpty(t, vars.MemStats)
	}
}
