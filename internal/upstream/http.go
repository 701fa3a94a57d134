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

	// HeaderRunState is "not-run" on a refusal before the work began.
	HeaderRunState = "Run-State"
	// RunStateNotRun is the only value of HeaderRunState.
	RunStateNotRun = "not-run"
)

const (
	// DefaultSilenceLimit is the longest gap between two lines of a decode
	// stream. Engines send a comment line each second while no token is ready.
	DefaultSilenceLimit = 3 * time.Second
	// maxErrorBytes bounds how much of an error body is read.
	maxErrorBytes = 4 << 10
	// maxAnswerBytes bounds a JSON answer.
	maxAnswerBytes = 4 << 20
)

// ErrorBody is the JSON body of every error answer of an engine.
type ErrorBody struct {
	Message string `json:"message"`
	// FencingToken is the highest token seen, on status 409.
	FencingToken uint64 `json:"fencing_token,omitempty"`
}

// HTTPOption changes an HTTP engine.
type HTTPOption func(*httpEngine)

// StallTimeout sets the longest gap between two lines of a decode stream; 0
// removes the limit, so that only the context bounds the stream.
func StallTimeout(d time.Duration) HTTPOption {
	return func(e *httpEngine) { e.silence = d }
}

type httpEngine struct {
	base    string
	client  *http.Client
	silence time.Duration
}

// NewHTTPEngine returns the engine at baseURL, for example
// "http://10.0.0.7:8000". The client must not follow redirects to other hosts
// or have a total timeout shorter than a decode.
func NewHTTPEngine(baseURL string, client *http.Client, opts ...HTTPOption) Engine {
	e := &httpEngine{
		base:    strings.TrimRight(baseURL, "/"),
		client:  client,
		silence: DefaultSilenceLimit,
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

func (e *httpEngine) Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error) {
	result := &PrefillResult{}
	return result, e.call(ctx, http.MethodPost, PathPrefill, req, result)
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

// call sends one request with a JSON body and reads a JSON answer into answer
// unless that is nil.
func (e *httpEngine) call(ctx context.Context, method, path string, body, answer any) error {
	resp, err := e.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if answer == nil {
		// The answer is complete only when its end has been read.
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer)
	}
	if err != nil {
		return &Error{Kind: afterSend(ctx, err), Status: resp.StatusCode,
			Err: errors.Wrapf(err, "reading answer of %s", path)}
	}
	return nil
}

// send returns the response when its status is 2xx, else an *Error.
func (e *httpEngine) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, e.base+path, body)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Err: errors.Wrapf(err, "building request for %s", path)}
	}
	resp, err := e.client.Do(req)
	if err != nil {
		kind := KindNotSent
		// Without a connection nothing was written. With one, some bytes may
		// have left even when writing failed.
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

// isDialError reports a failure to connect. The client dials again only when
// an earlier connection provably wrote nothing, so a dial error as the final
// error means that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// afterSend classifies a failure after the request may have been written.
func afterSend(ctx context.Context, err error) ErrorKind {
	var timeout net.Error
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return KindStalled
	}
	if errors.As(err, &timeout) && timeout.Timeout() {
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
	return &Error{
		Kind:         kindOfStatus(resp.StatusCode, notRun),
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
