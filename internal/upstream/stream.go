package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of a decode stream.
const maxLineBytes = 64 << 10

// eventError is the SSE event name of an error that ends a decode stream.
const eventError = "error"

// StreamError is the data of an "error" event in a decode stream.
type StreamError struct {
	// Status has the meaning of the HTTP status of an error answer.
	Status  int    `json:"status"`
	Message string `json:"message"`
}

// Decode implements Engine.
func (e *httpEngine) Decode(ctx context.Context, req *DecodeRequest) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &httpStream{cancel: cancel, ctx: ctx, silence: e.silence}
	if e.silence > 0 {
		s.timer = time.AfterFunc(e.silence, s.expire)
	}
	resp, err := e.send(ctx, http.MethodPost, PathDecode, req)
	if err != nil {
		_ = s.Close()
		if s.silent.Load() {
			var sent *Error
			if errors.As(err, &sent) && sent.Kind == KindOutcomeUnknown {
				sent.Kind = KindStalled
			}
		}
		return nil, err
	}
	s.pauseTimer()
	s.body = resp.Body
	s.lines = bufio.NewScanner(resp.Body)
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// httpStream reads one SSE answer. The silence timer cancels the request when
// no line arrived within the limit.
type httpStream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	silence time.Duration
	timer   *time.Timer
	silent  atomic.Bool

	body  io.ReadCloser
	lines *bufio.Scanner
	event string
	done  bool
	once  sync.Once
}

func (s *httpStream) expire() {
	s.silent.Store(true)
	s.cancel()
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.once.Do(func() {
		if s.timer != nil {
			s.timer.Stop()
		}
		s.cancel()
		if s.body != nil {
			_ = s.body.Close()
		}
	})
	return nil
}

// Next implements TokenStream. It may not be called concurrently; Close may
// be called at any time and ends a pending Next.
func (s *httpStream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	defer s.pauseTimer()
	for s.scan() {
		token, complete, err := s.line(s.lines.Text())
		if err != nil {
			return Token{}, err
		}
		if complete {
			s.done = token.Finish != ""
			return token, nil
		}
	}
	return Token{}, s.broken(s.lines.Err())
}

// scan waits for one line within the silence limit.
func (s *httpStream) scan() bool {
	if s.timer != nil {
		s.timer.Reset(s.silence)
	}
	return s.lines.Scan()
}

// pauseTimer keeps the time that the reader spends on a token from counting
// as silence of the engine.
func (s *httpStream) pauseTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// line interprets one line and reports whether it completed a token.
func (s *httpStream) line(text string) (Token, bool, error) {
	if name, ok := strings.CutPrefix(text, "event:"); ok {
		s.event = strings.TrimSpace(name)
		return Token{}, false, nil
	}
	data, ok := strings.CutPrefix(text, "data:")
	if !ok {
		return Token{}, false, nil
	}
	event := s.event
	s.event = ""
	if event == eventError {
		return Token{}, false, streamError(data)
	}
	var token Token
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return Token{}, false, &Error{Kind: KindFailed, Err: errors.Wrap(err, "decoding a token")}
	}
	return token, true, nil
}

func streamError(data string) error {
	var body StreamError
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return &Error{Kind: KindFailed, Err: errors.Wrap(err, "decoding a stream error")}
	}
	return &Error{Kind: kindOfStatus(body.Status, false), Status: body.Status,
		Err: errors.Errorf("decode stream ended: %s", body.Message)}
}

// broken classifies the end of a stream before its last token.
func (s *httpStream) broken(err error) error {
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	kind := afterSend(s.ctx, err)
	if s.silent.Load() {
		kind = KindStalled
	}
	return &Error{Kind: kind, Err: errors.Wrap(err, "reading decode stream")}
}
