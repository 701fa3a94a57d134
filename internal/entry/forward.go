package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/response"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	maxIdleConnsPerUpstream = 256
	idleConnTimeout         = 90 * time.Second
	maxUpstreamHeaderBytes  = 1 << 20
	headerIdempotency       = "Idempotency-Key"
	headerReplayed          = "Idempotency-Replayed"
	headerXIdempotency      = "X-Idempotency-Key"
	headerRequestID         = "X-Request-Id"
	headerForwardedFor      = "X-Forwarded-For"
	// copyBufferBytes is the buffer of a response that is passed on, minCopyBufferBytes if
	// there is no memory for it.
	copyBufferBytes    = 32 << 10
	minCopyBufferBytes = 4 << 10
)

// hopByHopHeaders are the headers that apply to a single connection, and Expect,
// which the entry's HTTP server has already answered.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwarder sends calls to plain upstreams.
type forwarder struct {
	picker *picker
	conns  *connTable
	// keepAlive reuses connections to upstreams that repeat the id of each call.
	keepAlive http.RoundTripper
	// singleUse opens a connection for each call. net/http retries a request with
	// an Idempotency-Key when a reused connection breaks, although the upstream
	// may have run it; it never retries on a new connection.
	singleUse http.RoundTripper
}

func newForwarder(o *Options) *forwarder {
	f := &forwarder{picker: newPicker(), conns: newConnTable(o.Timeouts.Dial), keepAlive: o.Transport, singleUse: o.Transport}
	if o.Transport == nil {
		// "Connection: close" would change how some upstreams answer.
		notKept := f.newTransport(o, false)
		notKept.MaxIdleConnsPerHost = -1
		f.keepAlive = upstream.NewTransport(f.newTransport(o, false), notKept)
		singleUse := f.newTransport(o, true)
		f.singleUse = upstream.NewTransport(singleUse, singleUse)
	}
	return f
}

func (f *forwarder) newTransport(o *Options, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:            f.conns.DialContext,
		TLSHandshakeTimeout:    o.Timeouts.Dial,
		DisableCompression:     true,
		DisableKeepAlives:      singleUse,
		MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxUpstreamHeaderBytes,
	}
}

// send sends a call to the upstream at baseURL and returns the response once its
// header has arrived. With runOnce the call must run at most once. state tells at the end
// of a response what became of the upstream's process. Errors are of type *upstream.Error.
func (f *forwarder) send(ctx context.Context, baseURL string, r *http.Request, body []byte, requestID string, runOnce bool, state func() processState) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }})
	out, err := newUpstreamRequest(ctx, baseURL, r, body, requestID)
	if err != nil {
		return nil, &upstream.Error{Kind: upstream.KindNotSent, Err: err}
	}
	transport := f.keepAlive
	if runOnce || clientMayResend(r) {
		transport = f.singleUse
	}
	resp, err := transport.RoundTrip(out)
	if err == nil {
		if err = response.CheckStatus(resp); err != nil {
			_ = resp.Body.Close()
			return nil, &upstream.Error{Kind: upstream.KindOutcomeUnknown, Err: err}
		}
		if err = checkStatement(resp, runOnce); err != nil {
			_ = resp.Body.Close()
			return nil, err
		}
		if c := conn.Load(); c != nil {
			checkEnd(resp, *c, state)
		}
		return resp, nil
	}
	if conn.Load() == nil {
		return nil, &upstream.Error{Kind: upstream.KindNotSent, Err: errors.Wrap(err, "connecting to the upstream")}
	}
	return nil, &upstream.Error{Kind: upstream.KindOutcomeUnknown, Err: errors.Wrap(err, "waiting for the upstream's answer")}
}

// clientMayResend reports whether net/http would send a call again by itself after a
// reused connection broke, although its method is not idempotent.
func clientMayResend(r *http.Request) bool {
	_, keyed := r.Header[headerXIdempotency]
	return keyed && !slices.Contains(idempotentMethods, r.Method)
}

// newUpstreamRequest returns the caller's request r as it is sent to the upstream.
func newUpstreamRequest(ctx context.Context, baseURL string, r *http.Request, body []byte, requestID string) (*http.Request, error) {
	target := strings.TrimSuffix(baseURL, "/") + r.URL.EscapedPath()
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	var rd io.Reader
	if len(body) > 0 {
		rd = bytes.NewReader(body)
	}
	out, err := http.NewRequestWithContext(ctx, r.Method, target, rd)
	if err != nil {
		return nil, err
	}
	out.Header = r.Header.Clone()
	removeHopByHop(out.Header)
	out.Host = r.Host
	out.Header.Set(headerRequestID, requestID)
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		forwarded := append(out.Header.Values(headerForwardedFor), host)
		out.Header.Set(headerForwardedFor, strings.Join(forwarded, ", "))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		out.Header.Set("User-Agent", "")
	}
	return out, nil
}

func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyResponseHeader copies an upstream's response headers, except hop-by-hop
// headers, statements to the entry and the request ID, which the entry sets itself.
func copyResponseHeader(dst, src http.Header) {
	src = src.Clone()
	removeHopByHop(src)
	src.Del(headerRequestID)
	src.Del(upstream.HeaderCallID)
	src.Del(upstream.HeaderRunState)
	for name, values := range src {
		dst[name] = values
	}
}

// streamBody streams a response to the caller and flushes after each read, so that a
// stream of the upstream is not delayed. It calls cancel when the upstream sends nothing
// for Timeouts.UpstreamStall. started is false as long as another response may be written.
// Its buffer counts against the account, unless there is no room: the call has run, so that
// its response is passed on in smaller pieces.
func (s *Server) streamBody(w http.ResponseWriter, account *budget.Account, resp *http.Response, cancel func()) (started bool, callerErr, upstreamErr error) {
	rc := http.NewResponseController(w)
	stallTimer := time.AfterFunc(s.opts.Timeouts.UpstreamStall, cancel)
	defer stallTimer.Stop()
	size := minCopyBufferBytes
	if account.Reserve(copyBufferBytes) {
		defer account.Release(copyBufferBytes)
		size = copyBufferBytes
	}
	buf := make([]byte, size)
	for {
		n, err := resp.Body.Read(buf)
		if !started && (n > 0 || err == io.EOF) {
			started = true
			writeHeader(w, resp)
		}
		if n > 0 {
			stallTimer.Stop()
			_ = rc.SetWriteDeadline(time.Now().Add(s.opts.Timeouts.CallerStall))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return started, werr, nil
			}
			if werr := rc.Flush(); werr != nil {
				return started, werr, nil
			}
			stallTimer.Reset(s.opts.Timeouts.UpstreamStall)
		}
		if err == io.EOF {
			return started, nil, nil
		}
		if err != nil {
			return started, nil, err
		}
	}
}
