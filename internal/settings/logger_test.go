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

// stuckWriter blocks like a pipe that nobody reads.
type stuckWriter struct{ release chan struct{} }

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// A reader of the output that stands still must cost lines and not requests.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	l := NewAsyncLogger(w)
	began := time.Now()
	for range 5 * logQueue {
		l.Warn().Str("event", "x").Msg("")
	}
	require.Less(t, time.Since(began), time.Second)
	CloseLogger(l)
	require.Less(t, time.Since(began), 2*time.Second, "the end of the process waits for nobody either")
	close(w.release)
}

// lockedBuffer is a buffer that the writer goroutine and the test share.
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

// A flood of successes must neither fill the disk nor displace failures, and
// what is dropped is counted.
func TestFloodIsBoundedAndCounted(t *testing.T) {
	out := &lockedBuffer{}
	l := NewAsyncLogger(out)
	// Starts right after a second began, so that the flood lies within one.
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
	for range 3000 {
		l.Info().Str("event", "success").Msg("")
	}
	l.Warn().Str("event", "failure").Msg("")
	time.Sleep(1100 * time.Millisecond)
	l.Info().Str("event", "later").Msg("")
	CloseLogger(l)
	text := out.String()
	require.LessOrEqual(t, strings.Count(text, "event=success"), 2*logInfoRate)
	require.Equal(t, 1, strings.Count(text, "event=failure"))
	require.Contains(t, text, "event=log.dropped")
}
