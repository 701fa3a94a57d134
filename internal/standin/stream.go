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
	// heartbeatInterval is the time between comment lines of a decode stream
	// that has no token to send.
	heartbeatInterval = time.Second
	// lateBy is the number of tokens after which FaultLate repeats a token.
	lateBy = 3
)

func (e *engineState) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req upstream.DecodeRequest
	if !readJSON(w, r, &req) {
		return
	}
	j, refused := e.startDecode(&req)
	if refused != nil {
		refused.write(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &tokenWriter{w: w, flusher: http.NewResponseController(w), faults: e.faults, attempt: req.Attempt}
	out.comment("started")
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for offset := req.Offset; out.err == nil; {
		words, changed, state := e.outputFrom(j, offset)
		for i, text := range words {
			last := state.finished && offset+i == state.total-1
			out.token(offset+i, text, last)
		}
		offset += len(words)
		out.flush()
		if state.finished && offset >= state.total {
			return
		}
		if state.failure != nil {
			out.fail(state.failure)
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			out.comment("waiting")
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type outputState struct {
	finished bool
	total    int
	failure  *refusal
}

// outputFrom returns the tokens from offset on and a channel that is closed
// when there are more.
func (e *engineState) outputFrom(j *job, offset int) ([]string, <-chan struct{}, outputState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	words, changed := j.output.from(offset)
	if words == nil && offset < j.output.first {
		return nil, changed, outputState{failure: &refusal{status: http.StatusGone, message: "reader is too slow"}}
	}
	return words, changed, outputState{
		finished: j.stage == stageFinished,
		total:    j.output.total(),
		failure:  j.failure,
	}
}

// tokenWriter writes SSE events and applies the faults of single tokens.
type tokenWriter struct {
	w       io.Writer
	flusher *http.ResponseController
	faults  *faults
	attempt uint32
	late    *upstream.Token
	err     error
}

func (t *tokenWriter) token(offset int, text string, last bool) {
	token := upstream.Token{Attempt: t.attempt, Offset: offset, Text: text}
	if last {
		token.Finish = "length"
	}
	if t.late != nil && (last || offset >= t.late.Offset+lateBy) {
		t.event("", t.late)
		t.late = nil
	}
	t.event("", token)
	if !last && t.faults.take(FaultDuplicate) {
		t.event("", token)
	}
	if !last && t.late == nil && t.faults.take(FaultLate) {
		t.late = &token
	}
}

func (t *tokenWriter) fail(f *refusal) {
	t.event("error", upstream.StreamError{Status: f.status, Message: f.message})
	t.flush()
}

func (t *tokenWriter) event(name string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		t.err = err
		return
	}
	if name != "" {
		t.print("event: " + name + "\n")
	}
	t.print("data: " + string(encoded) + "\n\n")
}

func (t *tokenWriter) comment(text string) {
	t.print(": " + text + "\n\n")
	t.flush()
}

func (t *tokenWriter) print(text string) {
	if t.err == nil {
		_, t.err = fmt.Fprint(t.w, text)
	}
}

func (t *tokenWriter) flush() {
	if t.err == nil {
		t.err = t.flusher.Flush()
	}
}

// replay is the bounded output of a decode: the newest tokens are kept.
type replay struct {
	limit   int
	first   int
	words   []string
	changed chan struct{}
	ended   bool
}

func newReplay(limit int) replay {
	return replay{limit: limit, changed: make(chan struct{})}
}

func (r *replay) total() int { return r.first + len(r.words) }

// add appends a token, wakes the readers and returns the total.
func (r *replay) add(w string) int {
	r.words = append(r.words, w)
	if extra := len(r.words) - r.limit; extra > 0 {
		r.words = r.words[extra:]
		r.first += extra
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.total()
}

// end wakes the readers for the last time.
func (r *replay) end() {
	if !r.ended {
		r.ended = true
		close(r.changed)
	}
}

// from returns a copy of the tokens from offset on and the channel that is
// closed at the next change.
func (r *replay) from(offset int) ([]string, <-chan struct{}) {
	if offset < r.first || offset >= r.total() {
		return nil, r.changed
	}
	return append([]string(nil), r.words[offset-r.first:]...), r.changed
}
