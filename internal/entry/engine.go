package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// maxWriteBytes bounds the encoded events that are kept for one write, so that
// a backlog of tokens does not grow a large buffer.
const maxWriteBytes = 8 << 10

const (
	// defaultPieceTokens applies until an upstream list tells the piece size.
	defaultPieceTokens = 1000
	// maxPrefixHashes bounds the size of a submission.
	maxPrefixHashes = 64
)

// cancelRetryInterval is the pause between attempts to cancel at an engine.
const cancelRetryInterval = 100 * time.Millisecond

// Paths below an engine route.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

func (s *Server) serveEngine(w http.ResponseWriter, r *http.Request, c *call) {
	if c.subpath != pathCompletions && c.subpath != pathChat {
		s.fail(w, c.id, refuse(http.StatusNotFound, CodeUnknownRoute, "no route serves %s", r.URL.Path))
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.fail(w, c.id, refuse(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the method must be POST"))
		return
	}
	body, release, f := s.readBody(w, r, c)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	// The prompt stays in memory for as long as the request runs.
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

// prefixHashes names the prefixes of a prompt as the pool's engines do.
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

// serveCompletion runs one completion and passes its answer on.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, c *call, in *completionParams) {
	c.recordEvent("request.accepted", 0, "", "route", c.route.Name, "organisation", c.organisation)
	x := newCompletion(c, in)
	stop := context.AfterFunc(r.Context(), func() { x.apply(&request.CallerGone{}) })
	defer stop()
	x.apply(&request.Start{})
	out := &completionWriter{srv: s, call: c, params: in, w: w, rc: http.NewResponseController(w)}
	if err := out.writeFrom(x.output); err != nil {
		// The caller cannot be reached; its engine memory must be freed.
		x.apply(&request.CallerGone{})
	}
}

// readBody reads a body within the limits of the route and the process. free
// returns the memory to the process's limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) (body []byte, release func(), f *Failure) {
	limit := int64(c.route.MaxBodyBytes)
	if r.ContentLength > limit {
		return nil, nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if !s.bodyQuota.acquire(size) {
		return nil, nil, unavailable(CodeEntryFull, "the request bodies reached %d bytes", s.bodyQuota.limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opts.Timeouts.CallerRead))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	if err != nil {
		s.bodyQuota.release(size)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than %d bytes", limit)
		}
		return nil, nil, refuse(http.StatusBadRequest, CodeBodyIncomplete, "reading the body: %v", err)
	}
	n := int64(len(body))
	s.bodyQuota.release(size - n)
	return body, func() { s.bodyQuota.release(n) }, nil
}

// background runs fn and keeps Drain waiting until it returned.
func (s *Server) background(fn func()) {
	s.backgroundWork.add(workKey{})
	go func() {
		defer s.backgroundWork.remove(workKey{})
		fn()
	}()
}

// cancelOnEngines cancels an attempt at its engines, again until an engine accepted it
// or the time is over. An engine that cannot be reached for that long is left
// to its scheduler, which compares what engines run with what entries hold.
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

// completionWriter passes the answer of one completion to the caller.
type completionWriter struct {
	srv    *Server
	call   *call
	params *completionParams
	w      http.ResponseWriter
	rc     *http.ResponseController
	buf    []byte
}

// writeFrom writes the answer until its end. An error means that the caller cannot
// be reached.
func (a *completionWriter) writeFrom(r *tokenQueue) error {
	if a.params.stream {
		return a.writeStream(r)
	}
	var text strings.Builder
	var free []string
	for {
		texts, done := r.take(free)
		for _, t := range texts {
			text.WriteString(t)
		}
		free = texts
		if done {
			return a.writeWhole(text.String(), r.outcome)
		}
	}
}

func (a *completionWriter) writeWhole(text string, o request.Outcome) error {
	a.extendWriteDeadline()
	if o.Failure != request.FailureNone {
		a.srv.fail(a.w, a.call.id, failureOf(o))
		return nil
	}
	body, err := encodeCompletion(a.call, a.params, text, o)
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	_, err = a.w.Write(body)
	return err
}

func (a *completionWriter) writeStream(r *tokenQueue) error {
	enc := newChunkEncoder(a.call, a.params)
	started := false
	var free []string
	for {
		texts, done := r.take(free)
		if !started && len(texts) == 0 && r.outcome.Failure != request.FailureNone {
			a.extendWriteDeadline()
			a.srv.fail(a.w, a.call.id, failureOf(r.outcome))
			return nil
		}
		a.buf = a.buf[:0]
		if !started {
			started = true
			a.setStreamHeader()
			a.buf = enc.appendRole(a.buf)
		}
		for _, t := range texts {
			a.buf = enc.appendToken(a.buf, t)
			if len(a.buf) < maxWriteBytes {
				continue
			}
			if err := a.write(); err != nil {
				return err
			}
		}
		if done {
			a.buf = a.appendEnd(enc, r.outcome)
		}
		if err := a.flush(); err != nil {
			return err
		}
		if done {
			return nil
		}
		clear(texts)
		free = texts
	}
}

func (a *completionWriter) setStreamHeader() {
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
}

func (a *completionWriter) appendEnd(enc *chunkEncoder, o request.Outcome) []byte {
	if o.Failure == request.FailureNone {
		return enc.appendFinal(a.buf, o, a.params.includeUsage)
	}
	f := failureOf(o)
	a.srv.vars.failures.Add(string(f.Code), 1)
	buf := append(a.buf, "event: error\ndata: "...)
	buf = append(buf, f.body(a.call.id)...)
	return append(buf, "\n\n"...)
}

func (a *completionWriter) flush() error {
	if err := a.write(); err != nil {
		return err
	}
	return a.rc.Flush()
}

func (a *completionWriter) write() error {
	a.extendWriteDeadline()
	_, err := a.w.Write(a.buf)
	a.buf = a.buf[:0]
	return err
}

// extendWriteDeadline bounds the time for which a caller that stopped reading keeps
// its buffered answer in memory.
func (a *completionWriter) extendWriteDeadline() {
	_ = a.rc.SetWriteDeadline(time.Now().Add(a.srv.opts.Timeouts.CallerStall))
}
