package entry

import (
	"crypto/tls"
	"net/http"
	"runtime/debug"

	"godwitward.example/godwitward/internal/request"
)

// trackingWriter records how far the exchange with a caller has come.
type trackingWriter struct {
	http.ResponseWriter
	// started is set once the header of the response has been written.
	started bool
	// bodyPending is set until the request's body has been read.
	bodyPending bool
}

// Unwrap is used by http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *trackingWriter) Write(b []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(b)
}

// abort ends a response that has begun and can't be completed. It panics.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetCaller(w)
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the connection of an HTTP/1.0 caller, for which a closed one marks the
// end of a complete response.
func resetCaller(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*tls.Conn); ok {
		// Without the alert that marks a complete end.
		c = t.NetConn()
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// recoverPanic answers the caller after a fault of the entry, and logs it: net/http would
// close the connection as if the request had not been read. It must be deferred.
func (s *Server) recoverPanic(w *trackingWriter, r *http.Request, id string) {
	v := recover()
	switch {
	case v == nil:
		return
	case v == http.ErrAbortHandler:
		panic(v)
	}
	s.opts.Logger.Error().Str("event", "request.panicked").Str("request", id).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("")
	if w.started {
		abort(w, r)
	}
	f := newFailure(http.StatusInternalServerError, CodeInternal, "a fault of this entry ended the request")
	f.Ran = request.RanUnknown
	w.Header().Set("Connection", "close")
	s.fail(w, id, f)
}
