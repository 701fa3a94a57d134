package forward

import (
	"bytes"
	"io"
	"net/http"
)

// A response to a caller of HTTP/1.0 that has no length ends with the connection, which the
// kernel closes in the same way when this process is killed. So there is none.

// needsLength reports whether the caller can't tell the end of a response without a length.
func (x *exchange) needsLength() bool { return !x.r.ProtoAtLeast(1, 1) }

// refuseUnframed refuses a stream for a caller that needs a length, and reports whether it
// does.
func (x *exchange) refuseUnframed() bool {
	if x.route.Kind != Stream || !x.needsLength() {
		return false
	}
	x.respondError(http.StatusHTTPVersionNotSupported, "stream_needs_http_1_1")
	return true
}

// maxWholeBytes limits a response that is read whole because its length is not known.
const maxWholeBytes = defaultBodyBytes

// relayWhole sends a response of unknown length, of which body is the beginning, to a caller
// that needs a length.
func (x *exchange) relayWhole(res *upstreamResponse, body []byte) {
	whole, err := x.s.bodies.read(x.account, io.MultiReader(bytes.NewReader(body), res.resp.Body), -1, maxWholeBytes)
	res.close(err == nil)
	if err != nil {
		if x.callerGone() {
			x.abortCancelled()
			return
		}
		x.refuse("answer_not_read_whole", x.retryAfter())
		return
	}
	defer x.s.bodies.release(x.account, int64(cap(whole)))
	x.status, x.outcome = res.resp.StatusCode, "answered"
	x.copyResponseHeaders(res.resp.Header)
	_ = x.setWriteDeadline()
	x.w.Header().Set("Content-Length", itoa(len(whole)))
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(whole); err != nil {
		x.outcome = "caller_left"
	}
}
