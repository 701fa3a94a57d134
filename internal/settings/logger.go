package settings

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

const (
	// logQueue is the number of lines that wait for a slow reader of the
	// output. Lines beyond it are dropped and counted.
	logQueue = 1024
	// logInfoRate and logWarnRate bound the lines a second below and from the
	// level warn, so that successes cannot displace failures. At about 300
	// bytes a line they allow 75 KB a second.
	logInfoRate = 100
	logWarnRate = 150
	// logCloseTimeout bounds the wait for the last lines at the end.
	logCloseTimeout = 300 * time.Millisecond
)

// BoundedWriter passes log entries to a queue without blocking and within a
// rate. It reports the number of dropped lines in a line of its own.
type BoundedWriter struct {
	out     log.Writer
	queue   *lineQueue
	second  atomic.Int64
	info    atomic.Int64
	warn    atomic.Int64
	dropped atomic.Int64
}

// NewAsyncLogger returns a logger like NewLogger that never blocks its callers
// and whose volume is bounded. CloseLogger ends its goroutine.
func NewAsyncLogger(w io.Writer) *log.Logger {
	b := &BoundedWriter{queue: newLineQueue(w)}
	l := NewLogger(b.queue)
	b.out = l.Writer
	l.Writer = b
	return l
}

// lineQueue is an io.Writer that hands lines to a goroutine. A line that finds
// the queue full is dropped.
type lineQueue struct {
	lines chan []byte
	// closing asks the goroutine to write what is queued and end.
	closing chan struct{}
	done    chan struct{}
}

var errQueueFull = errors.New("log queue is full")

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, logQueue), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, errQueueFull
	}
}

func (q *lineQueue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			// Nothing is left that could report an error of the log's output.
			_, _ = w.Write(line)
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					_, _ = w.Write(line)
				default:
					return
				}
			}
		}
	}
}

// WriteEntry implements log.Writer.
func (b *BoundedWriter) WriteEntry(e *log.Entry) (int, error) {
	now := time.Now()
	if second := now.Unix(); b.second.Swap(second) != second {
		b.info.Store(0)
		b.warn.Store(0)
		b.reportDropped(now)
	}
	counter, limit := &b.info, int64(logInfoRate)
	if e.Level >= log.WarnLevel {
		counter, limit = &b.warn, logWarnRate
	}
	if counter.Add(1) > limit {
		b.dropped.Add(1)
		return 0, nil
	}
	n, err := b.out.WriteEntry(e)
	if err != nil {
		b.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) reportDropped(now time.Time) {
	n := b.dropped.Swap(0)
	if n == 0 {
		return
	}
	direct := log.Logger{Level: log.WarnLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: b.out}
	direct.Warn().Str("event", "log.dropped").Int64("lines", n).Int64("until_unix", now.Unix()).Msg("")
}

// CloseLogger writes the queued lines. It gives up when nobody reads them.
func CloseLogger(l *log.Logger) {
	b, ok := l.Writer.(*BoundedWriter)
	if !ok {
		return
	}
	close(b.queue.closing)
	select {
	case <-b.queue.done:
	case <-time.After(logCloseTimeout):
	}
}
