package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// Guards against a status that promises "not run" for a request that ran, or may have run,
// at an earlier attempt.
func TestStatusAfterAnAttemptThatMayHaveRunPromisesNothing(t *testing.T) {
	for code, status := range map[pb.Refusal_Code]int{pb.Refusal_OVERLOADED: 429, pb.Refusal_NO_UPSTREAM: 503} {
		for _, ran := range []bool{false, true} {
			f := newFixture(t, func(o *Options) { o.RetryRatio = 1 })
			f.engine.prefill = func(context.Context, *upstream.PrefillRequest) error {
				if ran {
					return engineError(upstream.KindOutcomeUnknown)
				}
				return engineError(upstream.KindNotRun)
			}
			f.schedulers.submit = func(_ context.Context, r *pb.SubmitRequest) (*pb.SubmitResponse, error) {
				if r.Attempt == 1 {
					return f.schedulers.grant(r), nil
				}
				return &pb.SubmitResponse{Result: &pb.SubmitResponse_Refusal{Refusal: &pb.Refusal{Code: code}}}, nil
			}
			resp, body := f.post(t, completionsPath, `{"prompt":"hello"}`)
			if ran {
				require.Equal(t, 502, resp.StatusCode, body)
				require.Contains(t, body, `"ran":"unknown"`)
				require.Empty(t, resp.Header.Get("Retry-After"))
			} else {
				require.Equal(t, status, resp.StatusCode, body)
				require.Contains(t, body, `"ran":"no"`)
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		}
	}
	// A PUT that may have run, and no other upstream.
	f := plainFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	resp, body := f.do(t, "PUT", "/orders/x", "", "b")
	require.Equal(t, 502, resp.StatusCode, body)
	require.Contains(t, body, `"ran":"unknown"`)
}

// Guards against a failure without a status, and against one whose status and body
// contradict each other.
func TestNoFailurePromisesForARequestThatMayHaveRun(t *testing.T) {
	for failure := range failureResponses {
		for _, ran := range []request.Ran{request.RanUnknown, request.RanYes} {
			f := failureOf(request.Outcome{Failure: failure, Ran: ran, RetryAfter: time.Second})
			require.False(t, promisesNotRun(f.Status), "failure %d ran %s: status %d", failure, ran, f.Status)
		}
	}
}
