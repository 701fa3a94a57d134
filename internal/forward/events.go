package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event exceeds the maximum size")

// event is one server-sent event.
type event struct {
	// raw is the event as received, including the blank line that ends it.
	raw []byte
	// id is the value of the id field; empty if there is none.
	id string
	// hasData is set if the event carries text, unlike a comment.
	hasData bool
}

// follows reports whether an event may be relayed after the one with the id last. Ids
// increase. An engine that was asked to go on after an event and sends it again, or an
// earlier one, has begun a run of its own, whose text may differ.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > m
}

// eventReader splits a response body into events.
type eventReader struct {
	rd *bufio.Reader
}

// next returns the next complete event. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	midLine := false
	for {
		line, err := e.rd.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return ev, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			midLine = true
			continue
		}
		if err == io.EOF && len(ev.raw) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if midLine {
			midLine = false
			continue
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			ev.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
		ev.hasData = ev.hasData || bytes.HasPrefix(trimmed, []byte("data:"))
	}
}
