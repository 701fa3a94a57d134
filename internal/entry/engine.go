package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// writeThresholdBytes is the size at which the buffer of encoded events is written to
// the caller, so that a backlog of tokens does not need a large buffer.
const writeThresholdBytes = 8 << 10

const (
	// defaultPieceTokens is the KV cache block size used until an engine reports its
	// own in the upstream list.
	defaultPieceTokens = 1000
	// maxPrefixHashes is the maximum number of prefix hashes in a submission, which
	// limits the size of the message.
	maxPrefixHashes = 64
)

// cancelRetryInterval is the pause between attempts to cancel a request at an engine.
const cancelRetryInterval = 100 * time.Millisecond

// Paths below the path of an engine route.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

func (s *Server) serveEngine(w http.ResponseWriter, r *http.Request, c *call) {
	if c.subpath != pathCompletions && c.subpath != pathChat {
		s.fail(w, c.id, newFailure(http.StatusNotFound, CodeUnknownRoute, "no route serves %s", r.URL.Path))
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.fail(w, c.id, newFailure(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the method must be POST"))
		return
	}
	body, release, f := s.readBody(w, r, c)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	// The prompt stays in memory until the request ends.
	defer release()
	in, f := parseParams(c.route, c.subpath == pathChat, body)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	in.prefixHashes = s.prefixHashes(c.route.Pool, in.prompt)
	responseBytes := int64(in.maxTokens) * upstream.TokenBytes
	if !s.responseQuota.acquire(responseBytes) {
		s.fail(w, c.id, unavailable(CodeEntryFull, "the buffered answers reached %d bytes", s.responseQuota.limit))
		return
	}
	defer s.responseQuota.release(responseBytes)
	s.serveCompletion(w, r, c, in)
}

// prefixHashes returns the hashes of a prompt's prefixes in the block size that the
// pool's engines report.
func (s *Server) prefixHashes(pool, prompt string) []uint64 {
	pieceTokens := defaultPieceTokens
	for _, u := range s.opts.Schedulers.Upstreams(pool) {
		if n := u.GetState().GetPieceTokens(); n > 0 {
			pieceTokens = int(n)
			break
		}
	}
	prompt = prompt[:min(len(prompt), maxPrefixHashes*pieceTokens*upstream.TokenBytes)]
	return upstream.PrefixHashes(prompt, pieceTokens)
}

// serveCompletion runs one completion and writes its output to the caller.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, c *call, in *completionParams) {
	c.recordEvent("request.accepted", 0, "", "route", c.route.Name, "organisation", c.organisation)
	x := newCompletion(c, in)
	defer s.notifyEnd(r, x.apply)()
	x.apply(&request.Start{})
	out := &completionWriter{srv: s, call: c, params: in, w: w, rc: http.NewResponseController(w)}
	if err := out.writeFrom(x.output); err != nil {
		// The caller is unreachable, so its engine memory must be freed.
		x.apply(&request.CallerGone{})
	}
}

// notifyEnd passes an event to apply when the caller disconnects and when Stop ends the
// requests in flight, until the returned function is called.
func (s *Server) notifyEnd(r *http.Request, apply func(request.Event)) (stop func()) {
	stopCaller := context.AfterFunc(r.Context(), func() { apply(&request.CallerGone{}) })
	stopServer := context.AfterFunc(s.stopped, func() { apply(&request.Stopped{}) })
	return func() {
		stopCaller()
		stopServer()
	}
}

// readBody reads a body within the limits of the route and the process. What arrives counts
// against the memory for callers, not what is announced: a caller may never send it. release
// returns the size of the body to the quota of the process.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) (body []byte, release func(), f *Failure) {
	limit := int64(c.route.MaxBodyBytes)
	if r.ContentLength > limit {
		return nil, nil, newFailure(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opts.Timeouts.CallerRead))
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	body, free, err := budget.ReadAll(r, limit+1)
	if err != nil {
		free()
		if errors.Is(err, budget.ErrFull) {
			return nil, nil, unavailable(CodeEntryFull, "the memory for callers is used up")
		}
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, nil, newFailure(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than %d bytes", limit)
		}
		return nil, nil, newFailure(http.StatusBadRequest, CodeBodyIncomplete, "reading the body: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if t, ok := w.(*trackingWriter); ok {
		t.bodyPending = false
	}
	n := int64(len(body))
	if !s.bodyQuota.acquire(n) {
		free()
		return nil, nil, unavailable(CodeEntryFull, "the request bodies reached %d bytes", s.bodyQuota.limit)
	}
	return body, func() { s.bodyQuota.release(n); free() }, nil
}

// background runs fn in a goroutine that Drain waits for.
func (s *Server) background(fn func()) {
	s.backgroundWork.add(workKey{})
	go func() {
		defer s.backgroundWork.remove(workKey{})
		fn()
	}()
}

// cancelOnEngines cancels an attempt at its engines, with retries for up to
// Timeouts.Cancel. Requests left on an engine that stays unreachable are cancelled
// by its scheduler, which compares running requests with the holds of entries.
func (s *Server) cancelOnEngines(c *call, a *request.Release) {
	var wg sync.WaitGroup
	for _, engine := range a.CancelAt {
		wg.Go(func() { s.cancelOnEngine(c, a.Attempt, engine) })
	}
	wg.Wait()
}

func (s *Server) cancelOnEngine(c *call, attempt uint32, engine *pb.UpstreamAddress) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Timeouts.Cancel)
	defer cancel()
	req := &upstream.CancelRequest{RequestID: c.id, Attempt: attempt}
	for {
		err := s.opts.Engine(engine.GetUrl()).Cancel(ctx, req)
		if err == nil {
			c.recordEvent("request.cancelled", attempt, engine.GetId())
			return
		}
		select {
		case <-ctx.Done():
			c.recordEvent("request.cancel_failed", attempt, engine.GetId(), "reason", err.Error())
			return
		case <-time.After(cancelRetryInterval):
		}
	}
}

// completionWriter writes the response of one completion to the caller.
type completionWriter struct {
	srv    *Server
	call   *call
	params *completionParams
	w      http.ResponseWriter
	rc     *http.ResponseController
	buf    []byte
}

// writeFrom writes output from q until the request ends. An error means that the
// caller is unreachable.
func (cw *completionWriter) writeFrom(q *tokenQueue) error {
	if cw.params.stream {
		return cw.writeStream(q)
	}
	var text strings.Builder
	var recycled []string
	for {
		texts, done := q.take(recycled)
		for _, t := range texts {
			text.WriteString(t)
		}
		recycled = texts
		if done {
			return cw.writeWhole(text.String(), q.outcome)
		}
	}
}

// writeWhole writes a response that is not streamed.
func (cw *completionWriter) writeWhole(text string, o request.Outcome) error {
	cw.extendWriteDeadline()
	if o.Failure != request.FailureNone {
		cw.srv.fail(cw.w, cw.call.id, failureOf(o))
		return nil
	}
	body, err := encodeCompletion(cw.call, cw.params, text, o)
	if err != nil {
		return err
	}
	cw.w.Header().Set("Content-Type", "application/json")
	_, err = cw.w.Write(body)
	return err
}

func (cw *completionWriter) writeStream(q *tokenQueue) error {
	enc := newChunkEncoder(cw.call, cw.params)
	started := false
	var recycled []string
	for {
		texts, done := q.take(recycled)
		if !started && len(texts) == 0 && q.outcome.Failure != request.FailureNone {
			cw.extendWriteDeadline()
			cw.srv.fail(cw.w, cw.call.id, failureOf(q.outcome))
			return nil
		}
		cw.buf = cw.buf[:0]
		if !started {
			started = true
			cw.setStreamHeader()
			cw.buf = enc.appendRole(cw.buf)
		}
		for _, t := range texts {
			cw.buf = enc.appendToken(cw.buf, t)
			if len(cw.buf) < writeThresholdBytes {
				continue
			}
			if err := cw.write(); err != nil {
				return err
			}
		}
		if done {
			cw.buf = cw.appendEnd(enc, q.outcome)
		}
		if err := cw.flush(); err != nil {
			return err
		}
		if done {
			return nil
		}
		clear(texts)
		recycled = texts
	}
}

func (cw *completionWriter) setStreamHeader() {
	h := cw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
}

// appendEnd appends the final event, or an error event after a failure.
func (cw *completionWriter) appendEnd(enc *chunkEncoder, o request.Outcome) []byte {
	if o.Failure == request.FailureNone {
		return enc.appendFinal(cw.buf, o, cw.params.includeUsage)
	}
	f := failureOf(o)
	cw.srv.vars.failures.Add(string(f.Code), 1)
	buf := append(cw.buf, "event: error\ndata: "...)
	buf = append(buf, f.body(cw.call.id)...)
	return append(buf, "\n\n"...)
}

func (cw *completionWriter) flush() error {
	if err := cw.write(); err != nil {
		return err
	}
	return cw.rc.Flush()
}

func (cw *completionWriter) write() error {
	cw.extendWriteDeadline()
	_, err := cw.w.Write(cw.buf)
	cw.buf = cw.buf[:0]
	return err
}

// extendWriteDeadline limits how long a caller that stopped reading keeps its
// buffered response in memory.
func (cw *completionWriter) extendWriteDeadline() {
	_ = cw.rc.SetWriteDeadline(time.Now().Add(cw.srv.opts.Timeouts.CallerStall))
}
