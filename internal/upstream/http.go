package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Paths and headers of the engine protocol, see docs/engine-protocol.md.
const (
	PathPrefill  = "/engine/prefill"
	PathImport   = "/engine/import"
	PathDecode   = "/engine/decode"
	PathCancel   = "/engine/cancel"
	PathOrder    = "/engine/order"
	PathRunning  = "/engine/running"
	PathExport   = "/engine/export/"
	PathAnnounce = "/upstreams/announce"

	// HeaderRunState is set on the rejection of a request that has not run.
	HeaderRunState = "Run-State"
	// RunStateNotRun is the only value of HeaderRunState.
	RunStateNotRun = "not-run"
)

const (
	// DefaultStallTimeout is the longest allowed gap between two lines of a decode
	// stream. Engines send a comment line each second while no token is ready.
	DefaultStallTimeout = 3 * time.Second
	// maxErrorBytes limits how much of an error body is read.
	maxErrorBytes = 4 << 10
	// maxResponseBytes limits how much of a JSON response is read.
	maxResponseBytes = 4 << 20
)

// ErrorBody is the JSON body of every error response of an engine.
type ErrorBody struct {
	Message string `json:"message"`
	// FencingToken is the highest token that the engine has seen; set with status
	// 409.
	FencingToken uint64 `json:"fencing_token,omitempty"`
}

// HTTPOption configures an engine made by NewHTTPEngine.
type HTTPOption func(*httpEngine)

// StallTimeout sets the longest allowed gap between two lines of a decode stream.
// With 0, only the context limits the stream.
func StallTimeout(d time.Duration) HTTPOption {
	return func(e *httpEngine) { e.stallTimeout = d }
}

type httpEngine struct {
	baseURL      string
	client       *http.Client
	stallTimeout time.Duration
}

// NewHTTPEngine returns the engine at baseURL, for example
// "http://10.0.0.7:8000". The client must not follow redirects, and its total timeout
// must not be shorter than a decode.
func NewHTTPEngine(baseURL string, client *http.Client, opts ...HTTPOption) Engine {
	e := &httpEngine{
		baseURL:      strings.TrimRight(baseURL, "/"),
		client:       client,
		stallTimeout: DefaultStallTimeout,
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

func (e *httpEngine) Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error) {
	result := &PrefillResult{}
	if err := e.call(ctx, http.MethodPost, PathPrefill, req, result); err != nil {
		return nil, err
	}
	if result.Handle == "" {
		return nil, incompleteAnswer(PathPrefill, "it has no handle")
	}
	return result, nil
}

func (e *httpEngine) Import(ctx context.Context, req *ImportRequest) error {
	return e.call(ctx, http.MethodPost, PathImport, req, nil)
}

func (e *httpEngine) Cancel(ctx context.Context, req *CancelRequest) error {
	return e.call(ctx, http.MethodPost, PathCancel, req, nil)
}

func (e *httpEngine) Order(ctx context.Context, req *Order) error {
	return e.call(ctx, http.MethodPost, PathOrder, req, nil)
}

func (e *httpEngine) Running(ctx context.Context) ([]Running, error) {
	var list []Running
	return list, e.call(ctx, http.MethodGet, PathRunning, nil, &list)
}

func incompleteAnswer(path, reason string) error {
	return &Error{Kind: KindOutcomeUnknown, Status: http.StatusOK, Err: errors.Errorf("answer of %s is incomplete: %s", path, reason)}
}

// call sends one request with a JSON body and decodes the JSON response into
// result unless that is nil.
func (e *httpEngine) call(ctx context.Context, method, path string, body, result any) error {
	resp, err := e.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content := io.LimitReader(resp.Body, maxResponseBytes)
	switch {
	case result != nil:
		err = json.NewDecoder(content).Decode(result)
	case endsWithConnection(resp):
		var object *struct{}
		if err = json.NewDecoder(content).Decode(&object); err == nil && object == nil {
			return incompleteAnswer(path, "it has no object")
		}
	default:
		// A truncated response is detected only by reading to its end.
		_, err = io.Copy(io.Discard, content)
	}
	if err != nil {
		return &Error{Kind: afterSend(ctx, err), Status: resp.StatusCode,
			Err: errors.Wrapf(err, "reading answer of %s", path)}
	}
	return nil
}

// endsWithConnection reports whether the end of the connection is the end of the body, so
// that a truncated body looks complete.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// send returns the response when its status is 2xx, else an *Error.
func (e *httpEngine) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, e.baseURL+path, body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Err: errors.Wrapf(err, "building request for %s", path)}
	}
	resp, err := e.client.Do(req)
	if err != nil {
		kind := KindNotSent
		// Without a connection nothing was sent. With one, part of the request may
		// have been sent even if writing failed.
		if gotConn.Load() && !isDialError(err) {
			kind = afterSend(ctx, err)
		}
		return nil, &Error{Kind: kind, Err: errors.Wrapf(err, "calling %s", path)}
	}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(path, resp)
}

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// isDialError reports whether connecting failed. The HTTP client resends a POST on
// a new connection only if nothing was written on the previous one, so a dial error
// as the final error means that nothing was sent. It may also resend a GET that was
// written, which is harmless because a GET changes nothing at the engine.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// afterSend classifies a failure of a request of which some part may have been
// sent.
func afterSend(ctx context.Context, err error) ErrorKind {
	var netErr net.Error
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return KindStalled
	}
	if errors.As(err, &netErr) && netErr.Timeout() {
		return KindStalled
	}
	return KindOutcomeUnknown
}

func statusError(path string, resp *http.Response) *Error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body ErrorBody
	if json.Unmarshal(data, &body) != nil {
		body.Message = strconv.QuoteToASCII(string(data))
	}
	notRun := resp.Header.Get(HeaderRunState) == RunStateNotRun
	kind := kindOfStatus(resp.StatusCode, notRun)
	if resp.StatusCode == http.StatusConflict && path != PathOrder {
		kind = KindFailed
	}
	return &Error{
		Kind:         kind,
		Status:       resp.StatusCode,
		FencingToken: body.FencingToken,
		Err:          errors.Errorf("%s answered %d: %s", path, resp.StatusCode, body.Message),
	}
}

func kindOfStatus(status int, notRun bool) ErrorKind {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if notRun {
			return KindNotRun
		}
		return KindFailed
	case http.StatusBadRequest, http.StatusConflict:
		return KindRejected
	case http.StatusNotFound, http.StatusGone:
		return KindGone
	}
	return KindFailed
}
