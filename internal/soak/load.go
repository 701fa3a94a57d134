package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// callerCount is the number of concurrent callers; each sends its requests one
	// after the other.
	callerCount = 12
	// meanThinkTime is the mean pause between two requests of a caller.
	meanThinkTime = 40 * time.Millisecond
	callerTimeout = 4 * time.Second
	// disconnectShare is the share of streams whose caller disconnects early.
	disconnectShare = 0.1
	// configReadInterval is the time between reads of the configuration.
	configReadInterval = 700 * time.Millisecond
)

// runCaller sends requests until ctx ends. It reuses open connections until they
// are closed, even while their entry is stopping.
func (s *system) runCaller(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.opts.Seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	streams := float64(s.shape.streamShare) / 100
	for n := 0; s.awaitCalls(ctx); n++ {
		id := fmt.Sprintf("c%d-%d", caller, n)
		if s.processes {
			if w := drawOnceWork(random, id); w.path != "" {
				s.sendOnce(ctx, client, random, w)
				sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
				continue
			}
		}
		entry := s.entryAddress(random.IntN(len(s.entries)))
		switch draw := random.Float64(); {
		case draw < streams:
			s.sendStream(ctx, client, entry, id)
		case draw < streams+0.57*(1-streams):
			s.sendPlain(ctx, client, entry, "/commit/x", id, true)
		default:
			s.sendPlain(ctx, client, entry, "/peek/x", id, false)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
	}
}

func (s *system) sendPlain(ctx context.Context, client *http.Client, entry, path, id string, atMostOnce bool) {
	s.check.requestSent(id, atMostOnce)
	s.noteEntry(id, entry)
	o := outcome{truncated: true}
	defer func() { s.check.checkPlain(id, o) }()
	reqCtx, cancel := context.WithTimeout(ctx, s.shape.callerTimeout)
	defer cancel()
	sent, reqCtx := s.watch(reqCtx, id, entry, s.shape.callerTimeout, false)
	req, err := standin.NewRequest(reqCtx, entry, path, id, s.shape.callerTimeout)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	defer func() { s.lostCheck.ended(reqCtx, sent, o, err) }()
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o = outcome{status: resp.StatusCode, complete: err == nil, body: string(body), truncated: err != nil, unstamped: !standin.IsStamped(resp)}
}

// sendStream sends a request for a stream. If the stream breaks off after its first event,
// the caller takes it up again, mostly at another entry. Some callers do so while their
// first connection is still open.
func (s *system) sendStream(ctx context.Context, client *http.Client, entry, id string) {
	want := s.shape.drawEvents()
	h := s.shape.drawHabit(want)
	a := streamAttempt{id: id, path: s.shape.drawPath(), want: want, leavesAfter: h.leavesAfter, overlaps: h.overlaps}
	losses := h.losses
	o, events := s.readStream(ctx, client, entry, id, a)
	stays := !o.left || losses > 0
	until := time.Now().Add(s.shape.takeUpTime)
	last, tries, wentOn := id, 0, false
	for n := 1; time.Now().Before(until) && (n > 1 || len(events) > 0) && a.delivered+len(events) < want && stays && ctx.Err() == nil; n++ {
		if len(events) > 0 {
			last = a.id
		}
		a.delivered += len(events)
		tries++
		sleep(ctx, h.pause)
		if losses--; losses <= 0 {
			a.leavesAfter = 0
		}
		a.id, a.overlaps = fmt.Sprintf("%s-%d", id, n), false
		a.stream = map[naming]string{firstAttempt: id, lastAttempt: last}[h.names]
		if !h.sameEntry {
			entry = s.entryAddress(rand.IntN(len(s.entries)))
		}
		_, events = s.readStream(ctx, client, entry, id, a)
		wentOn = wentOn || len(events) > 0
	}
	if tries > 0 && ctx.Err() == nil {
		s.check.streamTakenUp(h.names != noAttempt, wentOn)
	}
}

const (
	// takeUpTime is the time for which a caller tries to take its stream up, every
	// takeUpDelay.
	takeUpTime  = 3 * time.Second
	takeUpDelay = 150 * time.Millisecond
	// overlapShare is the share of streams whose caller takes them up while the first
	// answer goes on, for overlapTime.
	overlapShare = 0.1
	overlapTime  = 300 * time.Millisecond
)

// streamAttempt is one request for a stream of want events.
type streamAttempt struct {
	id, path string
	want     int
	// stream is the id of an earlier request for it, empty if the caller does not name it,
	// and delivered the number of events that the caller has; unset for a new stream.
	stream    string
	delivered int
	// leavesAfter is the number of events after which the caller disconnects, 0 for never. If
	// overlaps is set it stops reading then and leaves its connection open for a while.
	leavesAfter int
	overlaps    bool
}

// readStream sends one request for a stream and checks its events.
func (s *system) readStream(ctx context.Context, client *http.Client, entry, stream string, a streamAttempt) (o outcome, events []standin.Event) {
	s.check.requestSent(a.id, false)
	s.noteEntry(a.id, entry)
	o = outcome{truncated: true}
	defer func() {
		// What becomes of a stream that its caller does not name is open.
		o.left = o.left || a.delivered > 0 && a.stream == ""
		s.check.checkStream(a.id, o, events, a.delivered, a.want)
		s.check.streamRead(stream, a.id, events)
	}()
	reqCtx, cancel := context.WithTimeout(ctx, s.shape.callerTimeout)
	end := cancel
	defer func() { end() }()
	sent, reqCtx := s.watch(reqCtx, a.id, entry, s.shape.callerTimeout, true)
	req, err := standin.NewRequest(reqCtx, entry, a.path, a.id, s.shape.callerTimeout)
	if err != nil {
		return o, nil
	}
	if s.shape.longEvents {
		standin.SetEvents(req, a.want)
	}
	if a.delivered > 0 {
		standin.SetTakeUp(req, a.stream, a.delivered)
	}
	resp, err := client.Do(req)
	defer func() { s.lostCheck.ended(reqCtx, sent, o, err) }()
	if err != nil {
		return o, nil
	}
	end = func() {
		cancel()
		_ = resp.Body.Close()
	}
	o = outcome{status: resp.StatusCode, truncated: true, unstamped: !standin.IsStamped(resp)}
	err = standin.ReadEvents(resp.Body, func(e standin.Event) bool {
		events = append(events, e)
		sent.heard()
		o.left = a.leavesAfter > 0 && len(events) == a.leavesAfter
		return !o.left
	})
	if o.left && a.overlaps {
		closeNow := end
		end = func() { time.AfterFunc(overlapTime, closeNow) }
	}
	o.complete = err == nil && !o.left
	o.truncated = !o.complete
	return o, events
}

// readConfig reads the configuration from the core daemons in turn until ctx
// ends, and checks each version that it gets.
func (s *system) readConfig(ctx context.Context) {
	for core := 0; ctx.Err() == nil; core++ {
		s.check.mu.Lock()
		acked := s.check.ackedVersion
		s.check.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		version, err := standin.ReadVersion(readCtx, s.coreAddress(core))
		cancel()
		if err == nil {
			s.check.checkVersion(version, acked)
		}
		sleep(ctx, configReadInterval)
	}
}
