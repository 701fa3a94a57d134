package budget

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is ended for others as its request becomes complete:
// net/http would take the failing read for a caller that has left, and a request that may
// have run would get no response.
func TestRequestThatIsCompleteAsItsConnectionEndsIsServed(t *testing.T) {
	caller, server := net.Pipe()
	c := &Conn{Conn: server}
	c.account = New(0, 0).open(connBytes, c.end)
	c.account.shed()
	c.setState(http.StateActive)
	go func() { _, _ = io.WriteString(caller, "x") }()
	b := make([]byte, 1)
	_, err := c.Read(b)
	require.NoError(t, err)
	c.setState(http.StateIdle)
	_, err = c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)

	c = &Conn{Conn: server}
	c.account = New(0, 0).open(connBytes, c.end)
	c.setState(http.StateActive)
	c.account.shed()
	require.False(t, c.account.Ended(), "a request that is being served is not ended")
}

// Guards against header lines that are not counted because they arrive with the end of the
// body of the request before.
func TestHeaderThatArrivesWithABodyIsCounted(t *testing.T) {
	for lines, counted := range map[int]bool{10: false, 1300: true} {
		caller, server := net.Pipe()
		b := New(0, 0)
		c := &Conn{Conn: server}
		c.account = b.open(connBytes, c.end)
		c.setState(http.StateActive)
		go func() { _, _ = io.WriteString(caller, "x"+strings.Repeat("a:\n", lines)) }()
		_, err := c.Read(make([]byte, readerBytes))
		require.NoError(t, err)
		c.setState(http.StateIdle)
		require.Equal(t, counted, b.used.Load() >= connBytes+int64(lines*lineBytes), "%d lines", lines)
		require.NoError(t, c.Close())
		require.Zero(t, b.used.Load())
	}
}

// Guards against a connection that no longer counts although it goes on, because its request
// became complete when it was chosen to be closed for another one.
func TestConnectionWhoseRequestBecomesCompleteStillCounts(t *testing.T) {
	for range 20_000 {
		b := New(0, 3)
		require.Equal(t, 1, b.maxConns)
		a := b.open(connBytes, func(stage) {})
		var wg sync.WaitGroup
		wg.Go(func() { a.enter(stageServing) })
		other := b.open(connBytes, func(stage) {})
		wg.Wait()
		require.Equal(t, other != nil, a.Ended())
	}
}

// Guards against a connection that nobody counts or ends any more, because its request became
// complete after the connection was to end for another one: its caller may read slowly.
func TestConnectionServedAfterItWasToEndGivesWay(t *testing.T) {
	b := New(0, 3)
	var ends []stage
	a := b.open(connBytes, func(s stage) { ends = append(ends, s) })
	other := b.open(connBytes, func(stage) {})
	require.NotNil(t, other)
	other.enter(stageServing)
	a.enter(stageServing)
	a.enter(stageWriting)
	a.since -= time.Minute
	b.mu.Lock()
	ended := b.shedConnection()
	b.mu.Unlock()
	require.True(t, ended)
	require.Equal(t, []stage{stageWaiting, stageWriting}, ends)
	require.Nil(t, b.open(connBytes, func(stage) {}))
}
