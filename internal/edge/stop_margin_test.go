package edge

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// lastShare is the last share of the grace period of a process. An answer may be cut off in it
// while its upstream is at work.
const lastShare = 1.0 / 6

// Guards against an entry with a short grace period that ends answers before the last share
// of it.
func TestAnswersAreNotEndedBeforeTheLastShareOfAGracePeriod(t *testing.T) {
	for _, gracePeriod := range []time.Duration{2 * time.Second, 3 * time.Second} {
		t.Run(gracePeriod.String(), func(t *testing.T) {
			t.Parallel()
			e := newStoppingEntry(t, &standin.Runner{ID: "i-1", Service: "llm", Stage: standin.StageDecode, ServiceTime: 20 * time.Millisecond, Events: 1000})
			rd := e.send("/draft/x", "stream", unchanged)
			<-e.started
			began, stopped := e.stop(gracePeriod)
			resp, err := http.ReadResponse(rd, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Greater(t, time.Since(began), time.Duration(float64(gracePeriod)*(1-lastShare)))
			require.NoError(t, <-stopped)
			require.Less(t, time.Since(began), gracePeriod)
		})
	}
}
