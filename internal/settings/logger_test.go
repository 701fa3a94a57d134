package settings

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until release is closed, like a pipe that is not read.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against log calls or CloseLogger blocking while nothing reads the log
// output. Lines may be lost instead.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := NewAsyncLogger(w)
	start := time.Now()
	for range 5 * logQueueLines {
		l.Warn().Str("event", "x").Msg("")
	}
	require.Less(t, time.Since(start), time.Second)
	CloseLogger(l)
	require.Less(t, time.Since(start), 2*time.Second, "CloseLogger must not wait for a blocked output either")
	close(w.release)
}

// lockedBuffer is a buffer shared by the writing goroutine and the test.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

var _ io.Writer = (*lockedBuffer)(nil)

// Guards against a high rate of info lines that fills the disk or displaces
// warnings, and against lines that are dropped without being counted.
func TestExcessLinesAreDroppedAndCounted(t *testing.T) {
	out := &lockedBuffer{}
	l := NewAsyncLogger(out)
	// Starting at the beginning of a second keeps the lines within one second.
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	for range 3000 {
		l.Info().Str("event", "success").Msg("")
	}
	l.Warn().Str("event", "failure").Msg("")
	time.Sleep(1100 * time.Millisecond)
	l.Info().Str("event", "later").Msg("")
	CloseLogger(l)
	text := out.String()
	require.LessOrEqual(t, strings.Count(text, "event=success"), 2*maxInfoLinesPerSecond)
	require.Equal(t, 1, strings.Count(text, "event=failure"))
	require.Contains(t, text, "event=log.dropped")
}
