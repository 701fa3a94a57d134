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

// maxLineBytes limits the length of a line in a decode stream.
const maxLineBytes = 64 << 10

// eventError is the SSE event name of an error that ends a decode stream.
const eventError = "error"

// StreamError is the data of an "error" event in a decode stream.
type StreamError struct {
	// Status is interpreted like the HTTP status of an error response.
	Status  int    `json:"status"`
	Message string `json:"message"`
}

// Decode implements Engine.
func (e *httpEngine) Decode(ctx context.Context, req *DecodeRequest) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &httpStream{cancel: cancel, ctx: ctx, stallTimeout: e.stallTimeout}
	if e.stallTimeout > 0 {
		s.stallTimer = time.AfterFunc(e.stallTimeout, s.onStall)
	}
	resp, err := e.send(ctx, http.MethodPost, PathDecode, req)
	if err != nil {
		_ = s.Close()
		if s.stalled.Load() {
			var callErr *Error
			if errors.As(err, &callErr) && callErr.Kind == KindOutcomeUnknown {
				callErr.Kind = KindStalled
			}
		}
		return nil, err
	}
	s.stopStallTimer()
	s.body = resp.Body
	s.lines = bufio.NewScanner(resp.Body)
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// httpStream reads the SSE response of a decode. The stall timer cancels the
// request if no line arrives within the stall timeout.
type httpStream struct {
	ctx          context.Context
	cancel       context.CancelFunc
	stallTimeout time.Duration
	stallTimer   *time.Timer
	stalled      atomic.Bool

	body  io.ReadCloser
	lines *bufio.Scanner
	// event is the name in an event line, for the data line that follows.
	event string
	// done is set after the last token.
	done      bool
	closeOnce sync.Once
}

func (s *httpStream) onStall() {
	s.stalled.Store(true)
	s.cancel()
}

// Close implements TokenStream.
func (s *httpStream) Close() error {
	s.closeOnce.Do(func() {
		if s.stallTimer != nil {
			s.stallTimer.Stop()
		}
		s.cancel()
		if s.body != nil {
			_ = s.body.Close()
		}
	})
	return nil
}

// Next implements TokenStream. It must not be called concurrently. Close may be
// called at any time and ends a pending Next.
func (s *httpStream) Next() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	defer s.stopStallTimer()
	for s.scan() {
		token, ok, err := s.parseLine(s.lines.Text())
		if err != nil {
			return Token{}, err
		}
		if ok {
			s.done = token.Finish != ""
			return token, nil
		}
	}
	return Token{}, s.readError(s.lines.Err())
}

// scan waits for the next line, at most for the stall timeout.
func (s *httpStream) scan() bool {
	if s.stallTimer != nil {
		s.stallTimer.Reset(s.stallTimeout)
	}
	return s.lines.Scan()
}

// stopStallTimer stops the stall timer while the reader processes a token, so that
// only the engine's time counts.
func (s *httpStream) stopStallTimer() {
	if s.stallTimer != nil {
		s.stallTimer.Stop()
	}
}

// parseLine parses one line and reports whether it completed a token.
func (s *httpStream) parseLine(text string) (Token, bool, error) {
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
		return Token{}, false, parseStreamError(data)
	}
	var token Token
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return Token{}, false, &Error{Kind: KindFailed, Err: errors.Wrap(err, "decoding a token")}
	}
	return token, true, nil
}

func parseStreamError(data string) error {
	var body StreamError
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return &Error{Kind: KindFailed, Err: errors.Wrap(err, "decoding a stream error")}
	}
	return &Error{Kind: kindOfStatus(body.Status, false), Status: body.Status,
		Err: errors.Errorf("decode stream ended: %s", body.Message)}
}

// readError returns the error for a stream that ended before its last token.
func (s *httpStream) readError(err error) error {
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	kind := afterSend(s.ctx, err)
	if s.stalled.Load() {
		kind = KindStalled
	}
	return &Error{Kind: kind, Err: errors.Wrap(err, "reading decode stream")}
}
