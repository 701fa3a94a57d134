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

// belongsToRun reports whether the event is part of what an engine has generated. Comments
// are not.
func (ev *event) belongsToRun() bool { return ev.hasData || ev.id != "" }

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

// ordered reports whether two ids tell which event comes first.
func ordered(a, b string) bool {
	_, errA := strconv.ParseUint(a, 10, 64)
	_, errB := strconv.ParseUint(b, 10, 64)
	return errA == nil && errB == nil
}

// eventReader splits a response body into events. Lines end with LF, CR LF or CR.
type eventReader struct {
	rd *bufio.Reader
	// started is set after the first line, which may begin with a byte order mark.
	started bool
	// crEnds is set if the last line ended with a CR alone.
	crEnds bool
}

// next returns the next complete event. At the end of the stream it returns
// io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		start := len(ev.raw)
		end, err := e.appendLine(&ev)
		if err != nil {
			return ev, err
		}
		line := ev.raw[start:end]
		if !e.started {
			e.started = true
			line = bytes.TrimPrefix(line, []byte("\ufeff"))
		}
		if len(line) == 0 {
			return ev, nil
		}
		ev.parseLine(line)
	}
}

// parseLine applies one field of the event.
func (ev *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
	case "data":
		ev.hasData = true
	}
}

// appendLine appends the next line and its end to the event. It returns the index in raw at
// which the line's text ends.
func (e *eventReader) appendLine(ev *event) (end int, err error) {
	start := len(ev.raw)
	for {
		buffered, err := e.peek(ev)
		if err != nil {
			return 0, err
		}
		i := bytes.IndexAny(buffered, "\r\n")
		if i < 0 {
			if err := e.take(ev, len(buffered)); err != nil {
				return 0, err
			}
			continue
		}
		isCR := buffered[i] == '\r'
		if err := e.take(ev, i+1); err != nil {
			return 0, err
		}
		end := len(ev.raw) - 1
		if !isCR {
			e.crEnds = false
			return end, nil
		}
		// An event is relayed when its blank line has arrived. Where lines end with CR alone,
		// the LF that may follow belongs to no line and is not waited for.
		if end == start && e.crEnds && e.rd.Buffered() == 0 {
			return end, nil
		}
		next, err := e.rd.Peek(1)
		if err != nil {
			// The next read returns the error, as the line is complete.
			return end, nil
		}
		e.crEnds = next[0] != '\n'
		if e.crEnds {
			return end, nil
		}
		return end, e.take(ev, 1)
	}
}

// peek returns what has arrived, at least one byte.
func (e *eventReader) peek(ev *event) ([]byte, error) {
	if _, err := e.rd.Peek(1); err != nil {
		if err == io.EOF && len(ev.raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return e.rd.Peek(e.rd.Buffered())
}

// take moves n bytes that have arrived to the event.
func (e *eventReader) take(ev *event, n int) error {
	b, err := e.rd.Peek(n)
	if err != nil {
		return err
	}
	ev.raw = append(ev.raw, b...)
	if len(ev.raw) > maxEventBytes {
		return errEventTooLong
	}
	_, err = e.rd.Discard(n)
	return err
}

// readEvent is the result of reading an event.
type readEvent struct {
	ev  event
	err error
}

// eventSource reads the events of a response in the background, each once the one before has
// been taken.
type eventSource struct {
	waiting[readEvent]
	ended chan struct{}
}

// newEventSource reads the events of a response until one can't be read or close is called.
func newEventSource(res *upstreamResponse) *eventSource {
	s := &eventSource{waiting[readEvent]{results: make(chan readEvent)}, make(chan struct{})}
	rd := &eventReader{rd: bufio.NewReaderSize(res.resp.Body, readBufferBytes)}
	go func() {
		for {
			ev, err := rd.next()
			select {
			case s.results <- readEvent{ev, err}:
			case <-s.ended:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return s
}

// close ends the reading. A read in progress ends with the connection.
func (s *eventSource) close() { close(s.ended) }
