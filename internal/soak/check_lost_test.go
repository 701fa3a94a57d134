package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// cutAnswer is a check with one stream that entry 0 cut off 1.3 s after it was sent, while its
// runner had been silent for 1.2 s, and the stream. The last fault ends later.
func cutAnswer() (*lostCheck, *sentRequest) {
	sentAt := time.Now().Add(-time.Minute)
	r := &sentRequest{
		id: "a", sentAt: sentAt, wroteAt: sentAt, endedAt: sentAt.Add(1300 * time.Millisecond), timeout: 8 * time.Second,
		patience: 2400 * time.Millisecond, gap: 1200 * time.Millisecond, cut: true, status: 200,
	}
	c := &lostCheck{faultsOver: sentAt.Add(20 * time.Second), requests: []*sentRequest{r}}
	c.requestArrived(standin.Run{ID: "a"})
	c.runEnded(standin.Run{ID: "a", Runner: "i-1", At: sentAt, EndedAt: r.endedAt})
	return c, r
}

// stopAt records a SIGTERM of entry 0 some time after the request was sent.
func stopAt(c *lostCheck, after time.Duration) {
	c.stops = []signalTime{{0, c.requests[0].sentAt.Add(after)}}
}

// endAt makes the request and its run end some time after the request was sent.
func endAt(c *lostCheck, after time.Duration) {
	r := c.requests[0]
	r.endedAt = r.sentAt.Add(after)
	c.runs["a"][0].EndedAt = r.endedAt
}

// changeBeside records a change of the configuration around the request, and as many requests as
// wanted at other times, some of which were cut off.
func changeBeside(c *lostCheck, cutOthers, others int) {
	from := c.requests[0].sentAt
	c.changes = []timeSpan{{from, from.Add(4 * time.Second)}}
	for i := range others {
		at := from.Add(5*time.Second + time.Duration(i)*time.Millisecond)
		c.requests = append(c.requests, &sentRequest{id: fmt.Sprint("other-", i), sentAt: at, wroteAt: at, endedAt: at.Add(time.Second), timeout: 8 * time.Second, cut: i < cutOthers})
	}
}

func (c *lostCheck) findings() int {
	list := newChecker()
	c.check(list, io.Discard)
	return len(list.findings)
}

// Guards against a check that does not notice answers that are cut off around planned work. A
// runner's silence is no excuse.
func TestLostCheckDetectsAnswersThatAreCutOff(t *testing.T) {
	const second = time.Second
	for name, violate := range map[string]func(c *lostCheck){
		"SIGTERM in mid-answer":               func(c *lostCheck) { stopAt(c, second) },
		"sent after SIGTERM":                  func(c *lostCheck) { stopAt(c, -2*second) },
		"until 1 s after the grace period":    func(c *lostCheck) { stopAt(c, -7600*time.Millisecond) },
		"SIGHUP in mid-answer":                func(c *lostCheck) { c.reloads = []signalTime{{0, c.requests[0].sentAt.Add(second)}} },
		"beside a change":                     func(c *lostCheck) { changeBeside(c, 0, 40) },
		"more often than at other times":      func(c *lostCheck) { changeBeside(c, 13, 40) },
		"a fault that ended before":           func(c *lostCheck) { stopAt(c, second); disturb(c, -5*second, -contactTime-second) },
		"a silent runner for 1.2 s":           func(c *lostCheck) { stopAt(c, second); silence(c, faultKind(standin.PauseStreams)) },
		"late status checks":                  func(c *lostCheck) { stopAt(c, second); silence(c, faultKind(standin.LateStatus)) },
		"a mute runner":                       func(c *lostCheck) { stopAt(c, second); silence(c, faultKind(standin.MuteEngine)); c.runs = nil },
		"passed on, no status":                func(c *lostCheck) { stopAt(c, second); c.requests[0].status = 0 },
		"not passed on, later than lossSlack": func(c *lostCheck) { stopAt(c, second); c.arrived = nil },
		"no runner at work at the end": func(c *lostCheck) {
			stopAt(c, 0)
			endAt(c, 7*second)
			c.runs["a"][0].EndedAt = c.requests[0].sentAt.Add(6 * second)
		},
		"at work at the end, but sent over 3 s after SIGTERM": func(c *lostCheck) {
			stopAt(c, -3500*time.Millisecond)
			endAt(c, 3500*time.Millisecond)
		},
	} {
		c, _ := cutAnswer()
		violate(c)
		require.Equal(t, 1, c.findings(), name)
	}
}

// disturb records a fault that excuses a cut, relative to the time when the request was sent.
func disturb(c *lostCheck, from, to time.Duration) {
	sentAt := c.requests[0].sentAt
	c.faults = append(c.faults, &timeSpan{sentAt.Add(from), sentAt.Add(to)})
}

// silence injects a fault of a kind for the whole time.
func silence(c *lostCheck, kind faultKind) {
	over := c.faultsOver
	c.faultStarted(fault{kind: kind})()
	for _, f := range c.faults {
		f.from = f.from.Add(-time.Hour)
	}
	c.faultsOver = over
}

// Guards against findings where the users' rule LOST demands nothing.
func TestLostCheckExcuses(t *testing.T) {
	const second = time.Second
	for name, excuse := range map[string]func(c *lostCheck, r *sentRequest){
		"complete, or the caller left":    func(c *lostCheck, r *sentRequest) { r.cut = false },
		"another entry was stopped":       func(c *lostCheck, r *sentRequest) { c.stops[0].entry = 1 },
		"cut before SIGTERM":              func(c *lostCheck, r *sentRequest) { stopAt(c, 2*second) },
		"over 1 s after the grace":        func(c *lostCheck, r *sentRequest) { stopAt(c, -8*second) },
		"a fault in its time":             func(c *lostCheck, r *sentRequest) { disturb(c, second, 2*second) },
		"a fault less than 3 s before":    func(c *lostCheck, r *sentRequest) { disturb(c, -5*second, -2*second) },
		"a kill":                          func(c *lostCheck, r *sentRequest) { silence(c, killEntry) },
		"the runner broke off":            func(c *lostCheck, r *sentRequest) { c.runs["a"][0].BrokeOff = true },
		"the time was up":                 func(c *lostCheck, r *sentRequest) { r.timeout = 1300 * time.Millisecond },
		"silent beyond the patience":      func(c *lostCheck, r *sentRequest) { r.gap = r.patience },
		"not passed on, within the slack": func(c *lostCheck, r *sentRequest) { c.arrived = nil; r.wroteAt = r.endedAt.Add(-lossSlack) },
		"at work at the end of the grace": func(c *lostCheck, r *sentRequest) { stopAt(c, 0); endAt(c, 7*second) },
		"beside no planned work":          func(c *lostCheck, r *sentRequest) { c.stops = nil; changeBeside(c, 0, 40); c.changes = nil },
		"no more often beside a change":   func(c *lostCheck, r *sentRequest) { c.stops = nil; changeBeside(c, 14, 40) },
		"beside a change, time used": func(c *lostCheck, r *sentRequest) {
			c.stops = nil
			changeBeside(c, 0, 40)
			r.timeout = 1800 * time.Millisecond
		},
		"sent over configApplyTime after SIGHUP": func(c *lostCheck, r *sentRequest) {
			c.stops, c.reloads = nil, []signalTime{{0, r.sentAt.Add(-configApplyTime - second)}}
		},
	} {
		c, r := cutAnswer()
		stopAt(c, second)
		require.Equal(t, 1, c.findings(), name)
		excuse(c, r)
		require.Zero(t, c.findings(), name)
	}
}

// Guards against callers that don't notice how an answer ended.
func TestCallersRecordHowAnswersEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		switch standin.IDOf(req) {
		case "whole":
			_, _ = io.WriteString(w, "answer whole")
		case "part":
			_, _ = io.WriteString(w, "id: 1\ndata: part 1\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler)
		case "closed":
			panic(http.ErrAbortHandler)
		case "late":
			<-req.Context().Done()
		case "reset":
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	port := l.Addr().(*net.TCPAddr).Port
	s := &system{check: newChecker(), shape: smallShape, entries: []*process{{node: standin.NodeFile{IP: "127.0.0.1", CallerPort: port}}}}
	s.shape.callerTimeout = 500 * time.Millisecond
	client, entry := &http.Client{Transport: &http.Transport{}}, l.Addr().String()
	for id, cut := range map[string]bool{"whole": false, "part": true, "closed": true, "late": false, "reset": false, "left": false} {
		switch id {
		case "part":
			s.readStream(context.Background(), client, entry, id, streamAttempt{id: id, path: "/draft/x", want: 3})
		case "left":
			s.readStream(context.Background(), client, entry, id, streamAttempt{id: "part", path: "/draft/x", want: 3, leavesAfter: 1})
		default:
			s.sendPlain(context.Background(), client, entry, "/peek/x", id, false)
		}
		r := s.lostCheck.requests[len(s.lostCheck.requests)-1]
		require.Equal(t, cut, r.cut, id)
		require.False(t, r.wroteAt.IsZero() || r.endedAt.Before(r.wroteAt), id)
		if id == "part" {
			require.GreaterOrEqual(t, r.gap, 90*time.Millisecond)
			require.Equal(t, 2*time.Second, r.patience)
		}
	}
	// Nobody listens: nothing was read.
	_ = server.Close()
	s.sendPlain(context.Background(), client, entry, "/peek/x", "refused", false)
	require.False(t, s.lostCheck.requests[len(s.lostCheck.requests)-1].cut)
}

// Guards against a runner process that is killed in mid-answer and is not taken for one that broke
// off, and against runs that it ended itself being taken for it.
func TestKilledRunnerProcessBrokeOff(t *testing.T) {
	events := `{"Kind":"started","Run":{"ID":"a"}}{"Kind":"started","Run":{"ID":"b"}}{"Kind":"ended","Run":{"ID":"b"}}`
	s := &system{check: newChecker()}
	s.readEvents(&runnerProcess{running: map[string]standin.Run{}}, strings.NewReader(events))
	require.Len(t, s.lostCheck.runs["a"], 1)
	require.True(t, s.lostCheck.runs["a"][0].BrokeOff)
	require.Len(t, s.lostCheck.runs["b"], 1)
	require.False(t, s.lostCheck.runs["b"][0].BrokeOff)
}

// Guards against other schedules of older seeds: silent runners must be named.
func TestSilencesAreInjectedOnlyWhenNamed(t *testing.T) {
	for _, k := range silenceKinds() {
		require.NotContains(t, allFaultKinds, k)
		require.True(t, slices.Contains(namedFaultKinds, k))
	}
}
