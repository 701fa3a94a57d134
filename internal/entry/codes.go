package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"godwitward.example/godwitward/internal/request"
)

// Code is a stable error code in responses to callers.
type Code string

// Error codes of all error responses that the entry itself writes.
const (
	CodeInvalidJSON          Code = "invalid_json"
	CodeInvalidRequest       Code = "invalid_request"
	CodeUnsupportedParameter Code = "unsupported_parameter"
	CodeInvalidPath          Code = "invalid_path"
	CodeInvalidKey           Code = "invalid_idempotency_key"
	CodeUnauthorized         Code = "unauthorized"
	CodeUnknownRoute         Code = "unknown_route"
	CodeUnknownModel         Code = "unknown_model"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeBodyIncomplete       Code = "body_incomplete"
	CodePromptTooLarge       Code = "prompt_too_large"
	CodeUpstreamRejected     Code = "upstream_rejected"
	CodeInvalidAnnouncement  Code = "invalid_announcement"
	CodeEntryFull            Code = "entry_full"
	CodeNotServing           Code = "not_serving"
	CodeShuttingDown         Code = "shutting_down"
	CodeOverloaded           Code = "overloaded"
	CodeNoUpstream           Code = "no_upstream"
	CodeNoScheduler          Code = "no_scheduler"
	CodeUpstreamFailed       Code = "upstream_failed"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeCallerGone           Code = "caller_gone"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeInProgress           Code = "call_in_progress"
	CodeKeyReused            Code = "idempotency_key_reused"
	CodeKeyExpired           Code = "idempotency_key_expired"
	CodeLedgerFull           Code = "ledger_full"
	CodeNoControl            Code = "control_unavailable"
	CodeResponseNotStored    Code = "answer_not_stored"
	CodeInternal             Code = "internal_error"
)

// StatusCallerGone is the status of a request whose caller has disconnected. The
// caller never receives it.
const StatusCallerGone = 499

// Failure is an error response to a caller.
type Failure struct {
	Status     int
	Code       Code
	Message    string
	Ran        request.Ran
	RetryAfter time.Duration
}

// newFailure returns a failure of a request that did not run.
func newFailure(status int, code Code, format string, args ...any) *Failure {
	return &Failure{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// unavailable returns a failure of a request that did not run and may succeed at
// another entry or after a second.
func unavailable(code Code, format string, args ...any) *Failure {
	f := newFailure(http.StatusServiceUnavailable, code, format, args...)
	f.RetryAfter = time.Second
	return f
}

// failureResponses maps the failure of a request to the status and code of the response.
var failureResponses = map[request.Failure]struct {
	status int
	code   Code
}{
	request.FailureOverloaded:     {http.StatusTooManyRequests, CodeOverloaded},
	request.FailureNoUpstream:     {http.StatusServiceUnavailable, CodeNoUpstream},
	request.FailureTooLarge:       {http.StatusRequestEntityTooLarge, CodePromptTooLarge},
	request.FailureNoScheduler:    {http.StatusServiceUnavailable, CodeNoScheduler},
	request.FailureRejected:       {http.StatusBadRequest, CodeUpstreamRejected},
	request.FailureUpstream:       {http.StatusBadGateway, CodeUpstreamFailed},
	request.FailureDeadline:       {http.StatusGatewayTimeout, CodeDeadlineExceeded},
	request.FailureCallerGone:     {StatusCallerGone, CodeCallerGone},
	request.FailureOutcomeUnknown: {http.StatusBadGateway, CodeOutcomeUnknown},
	request.FailureInProgress:     {http.StatusConflict, CodeInProgress},
	request.FailureOtherBody:      {http.StatusUnprocessableEntity, CodeKeyReused},
	request.FailureKeyExpired:     {http.StatusGone, CodeKeyExpired},
	request.FailureLedgerFull:     {http.StatusServiceUnavailable, CodeLedgerFull},
	request.FailureNoControl:      {http.StatusServiceUnavailable, CodeNoControl},
	request.FailureStopped:        {http.StatusServiceUnavailable, CodeShuttingDown},
}

func failureOf(o request.Outcome) *Failure {
	f, ok := failureResponses[o.Failure]
	if !ok {
		f.status, f.code = http.StatusInternalServerError, CodeInternal
	}
	failure := &Failure{Status: f.status, Code: f.code, Message: o.Message, Ran: o.Ran, RetryAfter: o.RetryAfter}
	failure.withdrawPromise()
	return failure
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	Ran       string `json:"ran"`
}

func (f *Failure) body(requestID string) []byte {
	b, err := json.Marshal(errorBody{errorDetail{Code: f.Code, Message: f.Message, RequestID: requestID, Ran: f.Ran.String()}})
	if err != nil {
		// Encoding strings never fails.
		panic(err)
	}
	return b
}

func (f *Failure) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", requestID)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.body(requestID))
}
