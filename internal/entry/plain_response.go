package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// upstreamResponse is an upstream's response whose body has not been fully read.
type upstreamResponse struct {
	attempt uint32
	resp    *http.Response
	cancel  context.CancelFunc
}

// respond waits for a response or the outcome and writes it to the caller.
func (x *plainCall) respond(w http.ResponseWriter) {
	select {
	case up := <-x.responses:
		x.streamResponse(w, up)
	case <-x.done:
		x.writeOutcome(w)
	}
}

// streamResponse streams a response to the caller. It aborts the connection when
// the response is truncated after its header has been sent. Before that it reports the
// outcome: a closed connection would look as if the call had not been read.
func (x *plainCall) streamResponse(w http.ResponseWriter, up upstreamResponse) {
	defer up.close()
	started, callerErr, upstreamErr := x.srv.streamBody(w, budget.FromContext(x.r.Context()), up.resp, up.cancel)
	switch {
	case callerErr != nil:
		x.apply(&request.CallerGone{})
	case upstreamErr != nil:
		x.apply(&request.SendFailed{Attempt: up.attempt, Kind: upstream.KindOutcomeUnknown, Message: "reading the upstream's answer: " + upstreamErr.Error()})
	default:
		x.apply(&request.ResponseComplete{Attempt: up.attempt})
		return
	}
	<-x.done
	if !started {
		x.writeOutcome(w)
		return
	}
	abort(w, x.r)
}

// writeOutcome writes the response to a call that was not streamed: a failure, a
// replayed response, or the buffered response to a keyed call.
func (x *plainCall) writeOutcome(w http.ResponseWriter) {
	x.mu.Lock()
	o, replayed, ledgerAnswer, oversized, recordDone := x.fsm.Outcome(), x.replayed, x.ledgerAnswer, x.oversized, x.recordDone
	select {
	case up := <-x.responses:
		// The response arrived as the deadline passed or the caller disconnected.
		up.close()
	default:
	}
	x.mu.Unlock()
	if oversized != nil {
		defer oversized.close()
	}
	if recordDone != nil {
		select {
		case <-recordDone:
		case <-time.After(maxRecordDelay):
		}
	}
	switch {
	case o.Failure != request.FailureNone:
		x.srv.fail(w, x.id, failureOf(o))
	case replayed != nil:
		w.Header().Set(headerReplayed, "true")
		x.writeRecorded(w, replayed)
	case oversized != nil:
		if _, callerErr, upstreamErr := x.srv.streamBody(w, budget.FromContext(x.r.Context()), oversized.resp, oversized.cancel); callerErr != nil || upstreamErr != nil {
			abort(w, x.r)
		}
	case ledgerAnswer != nil:
		x.writeRecorded(w, ledgerAnswer)
	}
}

// writeRecorded writes a recorded response, or a failure if its body was too large to
// be stored.
func (x *plainCall) writeRecorded(w http.ResponseWriter, a *pb.RecordedAnswer) {
	if a.BodyOmitted {
		f := newFailure(http.StatusGone, CodeResponseNotStored, "the call ran and was answered with status %d; the answer was too large to be stored", a.Status)
		f.Ran = request.RanYes
		x.srv.fail(w, x.id, f)
		return
	}
	for _, h := range a.Headers {
		w.Header().Add(h.Key, h.Value)
	}
	w.WriteHeader(int(a.Status))
	_, _ = w.Write(a.Body)
}

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	copyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}

func (up upstreamResponse) close() {
	_ = up.resp.Body.Close()
	up.cancel()
}

// closeHookBody is a body that calls onClose once when it is closed.
type closeHookBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

func (b *closeHookBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}

// prefixedBody is a body of which the first part has been read into memory.
type prefixedBody struct {
	io.Reader
	io.Closer
}
