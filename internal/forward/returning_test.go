package forward

import (
	"crypto/rand"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that returns after a refusal and is not recognised, and
// against different requests that are taken for one.
func TestContentHashIdentifiesRequests(t *testing.T) {
	request := func(path, prompt, body string) *exchange {
		return &exchange{r: httptest.NewRequest("POST", path, nil), body: []byte(body), info: RequestInfo{ID: rand.Text(), Model: "m", PromptKey: prompt}}
	}
	first := request("/draft/x", "a:200,b:800", "prompt")
	require.Equal(t, first.contentHash(), request("/draft/x", "a:200,b:800", "prompt").contentHash(), "the id differs, the request is the same")
	for _, other := range []*exchange{
		request("/draft/y", "a:200,b:800", "prompt"),
		request("/draft/x", "a:200,c:800", "prompt"),
		request("/draft/x", "a:200,b:800", "prompt2"),
		request("/draft/x", "a:200,b:800p", "rompt"),
	} {
		require.NotEqual(t, first.contentHash(), other.contentHash())
	}
	require.NotZero(t, first.contentHash())
}

// Guards against callers that all return at the same moment, and against a delay
// that is longer than they wait.
func TestRetryAfterIsSpreadWithinWhatCallersHonour(t *testing.T) {
	x := &exchange{callerDeadline: time.Now().Add(12 * time.Second)}
	low, high := time.Hour, time.Duration(0)
	for range 200 {
		d := x.capRetryAfter(time.Minute)
		require.LessOrEqual(t, d, 4*time.Second)
		require.Greater(t, d, 3*time.Second)
		low, high = min(low, d), max(high, d)
	}
	require.Greater(t, high-low, 200*time.Millisecond)
}
