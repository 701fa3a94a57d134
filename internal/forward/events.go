package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// errLongEvent means that an event exceeds maxEventBytes.
var errLongEvent = errors.New("event is too long")

// event is one event of a stream as it arrived, with its closing blank line.
type event struct {
	raw []byte
	// id is the value of the event's id field; empty when it has none.
	id string
}

// eventReader splits a stream into whole events.
type eventReader struct {
	rd *bufio.Reader
}

// next returns the next whole event. It returns io.EOF at the end of the
// stream between two events, and io.ErrUnexpectedEOF inside one.
func (e *eventReader) next() (event, error) {
	var ev event
	midLine := false
	for {
		line, err := e.rd.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return ev, errLongEvent
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
	}
}
