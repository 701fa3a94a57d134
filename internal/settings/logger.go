package settings

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
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
	out     *log.AsyncWriter
	second  atomic.Int64
	info    atomic.Int64
	warn    atomic.Int64
	dropped atomic.Int64
}

// NewAsyncLogger returns a logger like NewLogger that never blocks its callers
// and whose volume is bounded.
func NewAsyncLogger(w io.Writer) *log.Logger {
	l := NewLogger(w)
	l.Writer = &BoundedWriter{out: &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: l.Writer}}
	return l
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
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Nothing is left that could report the error.
		_ = b.out.Close()
	}()
	select {
	case <-done:
	case <-time.After(logCloseTimeout):
	}
}
