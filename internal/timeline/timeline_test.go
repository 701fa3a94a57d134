package timeline

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/settings"
)

// Guards against an effect that sorts before its cause when the physical clock
// of the receiver is behind that of the sender.
func TestCauseSortsBeforeEffect(t *testing.T) {
	now := time.Unix(1000, 0)
	ahead := NewClock(func() time.Time { return now.Add(time.Hour) })
	behind := NewClock(func() time.Time { return now })
	cause := ahead.Now()
	behind.Observe(cause)
	require.True(t, Before(cause, behind.Now()))
}

// Guards against events that are lost or changed between the log of a process
// and the merged timeline, and against duplicates of events that are in both the
// log and the ring buffer.
func TestLogRoundTripAndMerge(t *testing.T) {
	var buf bytes.Buffer
	logger := settings.NewLogger(&buf)
	a := NewRecorder(NewClock(nil), "vm-1", "gw-entry/a", logger, 16)
	a.Record(&pb.Event{Kind: "request.accepted", RequestId: "r1", Attempt: 1}, "path", `/a b="c"`)
	b := NewRecorder(a.Clock(), "vm-2", "gw-scheduler/b", nil, 16)
	b.Record(&pb.Event{Kind: "request.granted", RequestId: "r1", Upstream: "decode-1"})
	buf.WriteString("not an event\n")

	fromLog, err := ReadLog(&buf, "")
	require.NoError(t, err)
	require.Len(t, fromLog, 1)
	f := &pb.EventsRequest{RequestId: "r1"}
	merged := Merge(b.Events(f), fromLog, a.Events(f))
	require.Len(t, merged, 2)
	require.Equal(t, "request.accepted", merged[0].Kind)
	require.Equal(t, `/a b="c"`, merged[0].Attributes[0].Value)
	require.Equal(t, "request.granted", merged[1].Kind)
	require.Empty(t, Filter(merged, &pb.EventsRequest{RequestId: "r2"}))

	var html bytes.Buffer
	require.NoError(t, WriteHTML(&html, "request r1", merged))
	require.Contains(t, html.String(), "gw-scheduler/b")
}

// Guards against a ring buffer that grows, or that returns events out of order
// after it has wrapped around.
func TestRingKeepsTheNewest(t *testing.T) {
	r := NewRecorder(NewClock(nil), "vm", "p", nil, 3)
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		r.Record(&pb.Event{Kind: "k", RequestId: id})
	}
	var got string
	for _, e := range r.Events(&pb.EventsRequest{}) {
		got += e.RequestId
	}
	require.Equal(t, "345", got)
}

// Guards against a timeline without the log lines of the forwarding daemons,
// which have a wall-clock time only.
func TestWallTimeLinesBecomeEvents(t *testing.T) {
	line := `time=2026-12-04T06:00:00.250Z level=warn event=request.ended id=abc upstream=i-1 status=503 reason="no upstream"`
	events, err := ReadLog(strings.NewReader(line+"\nrubbish\n"), "edge-1")
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, "edge-1", events[0].Process)
	require.Equal(t, "abc", events[0].RequestId)
	require.Equal(t, "i-1", events[0].Upstream)
	require.Equal(t, int64(250_000), events[0].Time.WallUs%1_000_000)
}
