package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that finds its connection closed without a word, as if its call
// had not been read, because the service broke off after the header of its answer.
func TestAnswerBrokenOffAfterItsHeaderIsReported(t *testing.T) {
	for _, c := range []struct{ method, path, code string }{
		{"POST", "/orders/reserve", `"code":"outcome_unknown"`},
		{"POST", "/orders/x", `"code":"upstream_failed"`},
		{"GET", "/orders/x", `"code":"upstream_failed"`},
	} {
		f := plainFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			w.Header().Set("X-Upstream", "u")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		resp, body := f.do(t, c.method, c.path, "", "b")
		require.Equal(t, 502, resp.StatusCode, body)
		require.Contains(t, body, c.code)
		require.Contains(t, body, `"ran":"yes"`)
		require.Empty(t, resp.Header.Get("X-Upstream"))
		f.requireFreed(t)
	}
}
