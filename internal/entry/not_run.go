package entry

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// promiseStatuses tell a caller that its request has not run and never will, so that it
// may be sent again whatever it does. The entry gives them only to requests with RanNo.
var promiseStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func promisesNotRun(status int) bool { return slices.Contains(promiseStatuses, status) }

// withdrawPromise replaces a status that promises "not run" unless the request has not
// run: an earlier attempt may have.
func (f *Failure) withdrawPromise() {
	if f.Ran != request.RanNo && promisesNotRun(f.Status) {
		f.Status = http.StatusBadGateway
		f.RetryAfter = 0
	}
}

// checkStatement returns an error for a plain upstream's response that is not passed on:
// a rejection whose call has not run, by the upstream's own statement; a statement that
// the status contradicts; and, when the call must run once, a rejection without one.
func checkStatement(resp *http.Response, runOnce bool) error {
	stated := resp.Header.Get(upstream.HeaderRunState) == upstream.RunStateNotRun
	rejected := promisesNotRun(resp.StatusCode)
	switch {
	case stated && rejected:
		return statementError(resp, upstream.KindNotRun, "the upstream refused the call: %s")
	case stated:
		return statementError(resp, upstream.KindOutcomeUnknown, "the upstream states that the call did not run, with status %s")
	case rejected && runOnce:
		return statementError(resp, upstream.KindFailed, "the upstream refused the call without stating that it did not run: %s")
	}
	return nil
}

func statementError(resp *http.Response, kind upstream.ErrorKind, format string) error {
	return &upstream.Error{Kind: kind, Status: resp.StatusCode, Err: errors.Errorf(format, resp.Status)}
}
