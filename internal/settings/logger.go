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
	// logQueueLines is the number of lines that can be queued while the output
	// is slow. Further lines are dropped and counted.
	logQueueLines = 1024
	// maxInfoLinesPerSecond applies to levels below warn, maxWarnLinesPerSecond
	// to warn and above. They are separate so that successes cannot displace
	// failures. At about 300 bytes per line they allow 75 KB/s together.
	maxInfoLinesPerSecond = 100
	maxWarnLinesPerSecond = 150
	// logFlushTimeout bounds the wait for queued lines in CloseLogger.
	logFlushTimeout = 300 * time.Millisecond
)

// RateLimitedWriter passes log entries to a queue without blocking, up to a
// number of lines per second. It logs how many lines it dropped.
type RateLimitedWriter struct {
	out   log.Writer
	queue *lineQueue
	// windowSecond is the Unix second whose lines infoLines and warnLines count.
	windowSecond atomic.Int64
	infoLines    atomic.Int64
	warnLines    atomic.Int64
	dropped      atomic.Int64
}

// NewAsyncLogger returns a logger like NewLogger that never blocks its callers
// and limits the lines per second. CloseLogger ends its goroutine.
func NewAsyncLogger(w io.Writer) *log.Logger {
	limited := &RateLimitedWriter{queue: newLineQueue(w)}
	l := NewLogger(limited.queue)
	limited.out = l.Writer
	l.Writer = limited
	return l
}

// lineQueue is an io.Writer that passes lines to a goroutine, which writes them
// to the output. When the queue is full, Write drops the line.
type lineQueue struct {
	lines chan []byte
	// closing is closed to make the goroutine write the queued lines and end.
	closing chan struct{}
	done    chan struct{}
}

var errQueueFull = errors.New("log queue is full")

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, logQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
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
			// An error of the log output cannot be reported anywhere.
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
func (w *RateLimitedWriter) WriteEntry(e *log.Entry) (int, error) {
	now := time.Now()
	if second := now.Unix(); w.windowSecond.Swap(second) != second {
		w.infoLines.Store(0)
		w.warnLines.Store(0)
		w.reportDropped(now)
	}
	counter, limit := &w.infoLines, int64(maxInfoLinesPerSecond)
	if e.Level >= log.WarnLevel {
		counter, limit = &w.warnLines, maxWarnLinesPerSecond
	}
	if counter.Add(1) > limit {
		w.dropped.Add(1)
		return 0, nil
	}
	n, err := w.out.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *RateLimitedWriter) Dropped() int64 { return w.dropped.Load() }

func (w *RateLimitedWriter) reportDropped(now time.Time) {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	unlimited := log.Logger{Level: log.WarnLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: w.out}
	unlimited.Warn().Str("event", "log.dropped").Int64("lines", n).Int64("until_unix", now.Unix()).Msg("")
}

// CloseLogger writes the queued lines and ends the goroutine of a logger from
// NewAsyncLogger. It gives up after logFlushTimeout when the output is blocked.
func CloseLogger(l *log.Logger) {
	limited, ok := l.Writer.(*RateLimitedWriter)
	if !ok {
		return
	}
	close(limited.queue.closing)
	select {
	case <-limited.queue.done:
	case <-time.After(logFlushTimeout):
	}
}
