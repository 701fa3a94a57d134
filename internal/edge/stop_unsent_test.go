package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/platform/standin"
)

// unsentGracePeriod lets an entry refuse requests after 1.5 s and end them after 2.6 s.
const unsentGracePeriod = 3 * time.Second

// stop stops the entry and returns the start of the stop, and the channel on which its end
// is told.
func (e *stoppingEntry) stop(gracePeriod time.Duration) (time.Time, <-chan error) {
	began, stopped := time.Now(), make(chan error, 1)
	go func() {
		stopped <- drain(e.callers, &http.Server{}, &e.drainer, e.server, gracePeriod, &log.Logger{Level: log.PanicLevel})
	}()
	return began, stopped
}

// requireStopping reads a response which says that the entry stops and has not passed the
// request on.
func requireStopping(t *testing.T, rd *bufio.Reader, name string) {
	resp, err := http.ReadResponse(rd, nil)
	require.NoError(t, err, name)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, name)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, name)
	require.Equal(t, "stopping\n", string(body), name)
	require.True(t, resp.Close, name)
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err, name)
	require.LessOrEqual(t, retryAfter, 0.1, "another entry can serve it at once: %s", name)
}

// asChunks gives a request a chunked body.
func asChunks(b []byte) []byte {
	head, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	var out []byte
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if !strings.HasPrefix(line, "Content-Length:") {
			out = append(out, line+"\r\n"...)
		}
	}
	return fmt.Appendf(out, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// Guards against a request whose body ends after a stopping entry has begun to refuse
// requests: it was passed on to an upstream, and its answer was cut off at the end of the
// grace period.
func TestRequestWhoseBodyEndsDuringAStopIsRefused(t *testing.T) {
	engine := &standin.Runner{ID: "i-1", Service: "llm", Stage: standin.StageDecode, ServiceTime: 100 * time.Millisecond, Events: 1000}
	plain := &standin.Runner{ID: "i-2", Service: "plain", ServiceTime: time.Minute}
	e := newStoppingEntry(t, engine, plain)
	type caller struct {
		name string
		// sendRest sends the rest of the body.
		sendRest func()
		rd       *bufio.Reader
	}
	var callers []caller
	for _, path := range []string{"/draft/x", "/commit/x"} {
		for name, edit := range map[string]func([]byte) []byte{"length": unchanged, "chunked": asChunks} {
			const held = 6
			c, rd := e.dial()
			var rest []byte
			e.write(c, path, path+name, func(b []byte) []byte {
				b = edit(b)
				rest = b[len(b)-held:]
				return b[:len(b)-held]
			})
			callers = append(callers, caller{name: path + " " + name, rd: rd, sendRest: func() { _, _ = c.Write(rest) }})
		}
	}
	require.Eventually(t, func() bool { return e.server.InFlight() == int64(len(callers)) }, time.Second, time.Millisecond)
	began, stopped := e.stop(unsentGracePeriod)
	time.Sleep(time.Until(began.Add(1800 * time.Millisecond)))
	for _, c := range callers {
		c.sendRest()
	}
	for _, c := range callers {
		requireStopping(t, c.rd, c.name)
	}
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(began), unsentGracePeriod-shutdownMargin(unsentGracePeriod), "nothing is left to wait for")
	require.Empty(t, e.started)
	require.Equal(t, "0", e.server.Vars().Get("body_bytes").String())
}

// slowPlacer grants reservations after a wait.
type slowPlacer struct {
	wait            time.Duration
	decode          string
	asked, released atomic.Int32
	// late is set if reservations are granted although the request has been withdrawn.
	late bool
}

func (p *slowPlacer) Reserve(ctx context.Context, _ *forward.ReserveRequest) (forward.Reservation, error) {
	p.asked.Add(1)
	select {
	case <-ctx.Done():
		if !p.late {
			return nil, forward.ErrNoScheduler
		}
	case <-time.After(p.wait):
	}
	return &slowReservation{p}, nil
}

type slowReservation struct{ p *slowPlacer }

func (r *slowReservation) Prefill() string                                            { return "" }
func (r *slowReservation) Decode() string                                             { return r.p.decode }
func (r *slowReservation) ReportProgress(forward.Stage, time.Duration, *forward.Load) {}
func (r *slowReservation) Release(forward.Result)                                     { r.p.released.Add(1) }

// Guards against a request that waits for a place while its entry begins to refuse requests:
// it was passed on later, and its answer was cut off at the end of the grace period. Another
// entry could have served it at once.
func TestRequestThatWaitsForAPlaceDuringAStopIsRefused(t *testing.T) {
	for _, late := range []bool{false, true} {
		engine := &standin.Runner{ID: "i-1", Service: "llm", Stage: standin.StageDecode, ServiceTime: 100 * time.Millisecond, Events: 1000}
		e := newStoppingEntry(t, engine)
		p := &slowPlacer{wait: 1900 * time.Millisecond, decode: engine.ID, late: late}
		e.server.SetPlacer(p, func([]string) {})
		rd := e.send("/draft/x", "waits", unchanged)
		require.Eventually(t, func() bool { return p.asked.Load() == 1 }, time.Second, time.Millisecond)
		began, stopped := e.stop(unsentGracePeriod)
		requireStopping(t, rd, "waits")
		require.Less(t, time.Since(began), 1700*time.Millisecond)
		require.NoError(t, <-stopped)
		require.Empty(t, e.started)
		require.EqualValues(t, 1, p.asked.Load())
		if late {
			require.EqualValues(t, 1, p.released.Load())
		}
	}
}

// slowPermits gives permits that may be used after a wait.
type slowPermits struct {
	wait  time.Duration
	asked atomic.Int32
}

func (p *slowPermits) Acquire(_ context.Context, list []forward.LimitedUpstream, _ time.Duration) (forward.SendPermit, error) {
	p.asked.Add(1)
	return forward.SendPermit{ID: list[0].ID, Wait: p.wait}, nil
}

// slowAdmission admits requests of tenants after a wait.
type slowAdmission struct {
	wait  time.Duration
	asked atomic.Int32
}

func (*slowAdmission) SetTenants(uint64, []forward.Tenant)        {}
func (*slowAdmission) KeysConfirmed(uint64) (bool, time.Duration) { return true, 0 }

func (a *slowAdmission) Admit(ctx context.Context, _ *forward.Tenant, _ float64) (forward.UsageCharge, error) {
	a.asked.Add(1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(a.wait):
		return noCharge{}, nil
	}
}

type noCharge struct{}

func (noCharge) Settle(bool) {}

// Guards against a request that waits for its tenant's decision, or for a permit to send,
// while its entry begins to refuse requests, and is passed on after that.
func TestRequestThatWaitsToBeAdmittedDuringAStopIsRefused(t *testing.T) {
	t.Run("tenant", func(t *testing.T) {
		e := newStoppingEntry(t, &standin.Runner{ID: "i-1", Service: "plain", ServiceTime: time.Minute})
		config := &forward.Config{
			Version:  2,
			Routes:   []forward.Route{{Name: "r", Host: "h.example", Prefix: "/commit/", Kind: forward.NonRepeatable, Timeout: 8 * time.Second, LatencyTarget: 2 * time.Second, Public: true, Split: []forward.Share{{Service: "plain", Weight: 1}}, MaxAttempts: 1}},
			Services: map[string]*forward.Service{"plain": {Name: "plain"}},
			Tenants:  []forward.Tenant{{Name: "a", Keys: []string{"key-a"}}},
		}
		require.NoError(t, config.Compile())
		admission := &slowAdmission{wait: 1900 * time.Millisecond}
		e.server.SetTenantAdmission(admission)
		e.server.SetConfig(config)
		rd := e.send("/commit/x", "waits", func(b []byte) []byte {
			return bytes.Replace(b, []byte("\r\n"), []byte("\r\nX-Api-Key: key-a\r\n"), 1)
		})
		require.Eventually(t, func() bool { return admission.asked.Load() == 1 }, time.Second, time.Millisecond)
		began, stopped := e.stop(unsentGracePeriod)
		requireStopping(t, rd, "waits")
		require.Less(t, time.Since(began), 1700*time.Millisecond)
		require.NoError(t, <-stopped)
		require.Empty(t, e.started)
	})
	t.Run("permit", func(t *testing.T) {
		plain := &standin.Runner{ID: "i-1", Service: "plain", ServiceTime: 20 * time.Millisecond}
		plain.SetLimit(1)
		e := newStoppingEntry(t, plain)
		permits := &slowPermits{wait: 1900 * time.Millisecond}
		e.server.SetPermits(permits)
		resp, err := http.ReadResponse(e.send("/commit/x", "first", unchanged), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		<-e.started
		rd := e.send("/commit/x", "waits", unchanged)
		require.Eventually(t, func() bool { return permits.asked.Load() >= 1 }, time.Second, time.Millisecond)
		began, stopped := e.stop(unsentGracePeriod)
		requireStopping(t, rd, "waits")
		require.Less(t, time.Since(began), 1700*time.Millisecond)
		require.NoError(t, <-stopped)
		require.Empty(t, e.started)
	})
}

// Guards against a refusal of requests that an upstream works on when the entry begins to
// refuse: they may have run.
func TestRequestThatWasSentBeforeAStopRefusesIsServed(t *testing.T) {
	engine := &standin.Runner{ID: "i-1", Service: "llm", Stage: standin.StageDecode, ServiceTime: 200 * time.Millisecond, Events: 9}
	plain := &standin.Runner{ID: "i-2", Service: "plain", ServiceTime: 1900 * time.Millisecond}
	e := newStoppingEntry(t, engine, plain)
	began, stopped := e.stop(unsentGracePeriod)
	readers := []*bufio.Reader{e.send("/draft/x", "stream", unchanged), e.send("/commit/x", "plain", unchanged)}
	for _, rd := range readers {
		resp, err := http.ReadResponse(rd, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
	require.NoError(t, <-stopped)
	require.Greater(t, time.Since(began), unsentGracePeriod/2)
}
