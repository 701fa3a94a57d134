package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

const (
	// heartbeatInterval is the time between SSE comments in a decode stream that
	// has no token to send.
	heartbeatInterval = time.Second
	// lateTokens is the number of tokens by which FaultLate delays the second
	// copy of a token.
	lateTokens = 3
)

func (e *engineState) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req upstream.DecodeRequest
	if !readJSON(w, r, &req) {
		return
	}
	j, errResp := e.startDecode(&req)
	if errResp != nil {
		errResp.write(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &tokenWriter{w: w, flusher: http.NewResponseController(w), faults: e.faults, attempt: req.Attempt}
	out.writeComment("started")
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for offset := req.Offset; out.err == nil; {
		tokens, changed, state := e.outputFrom(j, offset)
		for i, text := range tokens {
			last := state.finished && offset+i == state.total-1
			out.writeToken(offset+i, text, last)
		}
		offset += len(tokens)
		out.flush()
		if state.finished && offset >= state.total {
			return
		}
		if state.failure != nil {
			out.writeFailure(state.failure)
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			out.writeComment("waiting")
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// outputState is the state of a decode output at the time of a read.
type outputState struct {
	finished bool
	total    int
	failure  *errorResponse
}

// outputFrom returns the tokens from offset on, a channel that is closed at the
// next change of the output, and its state.
func (e *engineState) outputFrom(j *job, offset int) ([]string, <-chan struct{}, outputState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, changed := j.output.from(offset)
	if tokens == nil && offset < j.output.firstOffset {
		return nil, changed, outputState{failure: &errorResponse{status: http.StatusGone, message: "reader is too slow"}}
	}
	return tokens, changed, outputState{
		finished: j.stage == stageFinished,
		total:    j.output.total(),
		failure:  j.failure,
	}
}

// tokenWriter writes tokens as SSE events and applies FaultDuplicate and
// FaultLate.
type tokenWriter struct {
	w       io.Writer
	flusher *http.ResponseController
	faults  *faults
	attempt uint32
	// delayed is the token that FaultLate is to send again.
	delayed *upstream.Token
	err     error
}

func (t *tokenWriter) writeToken(offset int, text string, last bool) {
	token := upstream.Token{Attempt: t.attempt, Offset: offset, Text: text}
	if last {
		token.Finish = "length"
	}
	if t.delayed != nil && (last || offset >= t.delayed.Offset+lateTokens) {
		t.writeEvent("", t.delayed)
		t.delayed = nil
	}
	t.writeEvent("", token)
	if !last && t.faults.consume(FaultDuplicate) {
		t.writeEvent("", token)
	}
	if !last && t.delayed == nil && t.faults.consume(FaultLate) {
		t.delayed = &token
	}
}

func (t *tokenWriter) writeFailure(f *errorResponse) {
	t.writeEvent("error", upstream.StreamError{Status: f.status, Message: f.message})
	t.flush()
}

func (t *tokenWriter) writeEvent(name string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		t.err = err
		return
	}
	if name != "" {
		t.writeString("event: " + name + "\n")
	}
	t.writeString("data: " + string(encoded) + "\n\n")
}

func (t *tokenWriter) writeComment(text string) {
	t.writeString(": " + text + "\n\n")
	t.flush()
}

func (t *tokenWriter) writeString(text string) {
	if t.err == nil {
		_, t.err = fmt.Fprint(t.w, text)
	}
}

func (t *tokenWriter) flush() {
	if t.err == nil {
		t.err = t.flusher.Flush()
	}
}

// replayBuffer holds the output of a decode, at most the newest limit tokens,
// so that a caller that reconnects can resume the stream.
type replayBuffer struct {
	limit int
	// firstOffset is the offset of tokens[0].
	firstOffset int
	tokens      []string
	// changed is closed and replaced when a token is added.
	changed chan struct{}
	closed  bool
}

func newReplayBuffer(limit int) replayBuffer {
	return replayBuffer{limit: limit, changed: make(chan struct{})}
}

// total returns the number of tokens added, including those no longer kept.
func (r *replayBuffer) total() int { return r.firstOffset + len(r.tokens) }

// add appends a token, notifies the readers and returns the total.
func (r *replayBuffer) add(token string) int {
	r.tokens = append(r.tokens, token)
	if extra := len(r.tokens) - r.limit; extra > 0 {
		r.tokens = r.tokens[extra:]
		r.firstOffset += extra
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.total()
}

// close notifies the readers for the last time.
func (r *replayBuffer) close() {
	if !r.closed {
		r.closed = true
		close(r.changed)
	}
}

// from returns a copy of the tokens from offset on, nil if there are none, and
// the channel that is closed at the next change.
func (r *replayBuffer) from(offset int) ([]string, <-chan struct{}) {
	if offset < r.firstOffset || offset >= r.total() {
		return nil, r.changed
	}
	return append([]string(nil), r.tokens[offset-r.firstOffset:]...), r.changed
}
