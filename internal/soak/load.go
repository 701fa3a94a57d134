package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
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
	for n := 0; ctx.Err() == nil; n++ {
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
		case draw < 0.4:
			s.sendPlain(ctx, client, entry, "/commit/x", id, true)
		case draw < 0.7:
			s.sendPlain(ctx, client, entry, "/peek/x", id, false)
		default:
			s.sendStream(ctx, client, entry, id, random.Float64() < disconnectShare)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
	}
}

func (s *system) sendPlain(ctx context.Context, client *http.Client, entry, path, id string, atMostOnce bool) {
	s.check.requestSent(id, atMostOnce)
	o := outcome{truncated: true}
	defer func() { s.check.checkPlain(id, o) }()
	reqCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := standin.NewRequest(reqCtx, entry, path, id, callerTimeout)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o = outcome{status: resp.StatusCode, complete: err == nil, body: string(body), truncated: err != nil, unstamped: !standin.IsStamped(resp)}
}

// sendStream sends a request for a stream. If the stream breaks off after its first event,
// the caller takes it up again at another entry. Some callers do so while their first
// connection is still open.
func (s *system) sendStream(ctx context.Context, client *http.Client, entry, id string, disconnects bool) {
	versions := map[string]bool{}
	overlaps := !disconnects && rand.Float64() < overlapShare
	o, events := s.readStream(ctx, client, entry, streamAttempt{id: id, leaves: disconnects, overlaps: overlaps}, versions)
	delivered := len(events)
	until := time.Now().Add(takeUpTime)
	for n := 1; time.Now().Before(until) && delivered > 0 && delivered < streamEvents && (overlaps || !o.left) && ctx.Err() == nil; n++ {
		sleep(ctx, takeUpDelay)
		attempt := streamAttempt{id: fmt.Sprintf("%s-%d", id, n), stream: id, delivered: delivered}
		_, events := s.readStream(ctx, client, s.entryAddress(rand.IntN(len(s.entries))), attempt, versions)
		delivered += len(events)
	}
	s.check.checkVersions(id, versions)
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

// streamAttempt is one request for a stream.
type streamAttempt struct {
	id string
	// stream is the id of the request that brought the first event, and delivered the
	// number of events that the caller has; unset for a new stream.
	stream    string
	delivered int
	// leaves is set if the caller disconnects after two events, overlaps if it stops reading
	// then and leaves its connection open for a while.
	leaves, overlaps bool
}

// readStream sends one request for a stream and checks its events. It adds the software
// versions of the runners to versions.
func (s *system) readStream(ctx context.Context, client *http.Client, entry string, a streamAttempt, versions map[string]bool) (o outcome, events []string) {
	s.check.requestSent(a.id, false)
	o = outcome{truncated: true}
	defer func() { s.check.checkStream(a.id, o, events, a.delivered, streamEvents) }()
	reqCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	end := cancel
	defer func() { end() }()
	req, err := standin.NewRequest(reqCtx, entry, "/draft/x", a.id, callerTimeout)
	if err != nil {
		return o, nil
	}
	if a.delivered > 0 {
		standin.SetTakeUp(req, a.stream, a.delivered)
	}
	resp, err := client.Do(req)
	if err != nil {
		return o, nil
	}
	end = func() {
		cancel()
		_ = resp.Body.Close()
	}
	o = outcome{status: resp.StatusCode, truncated: true, unstamped: !standin.IsStamped(resp)}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if version, ok := standin.VersionOf(scanner.Text()); ok {
			versions[version] = true
		}
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events = append(events, data)
		}
		if a.leaves && len(events) == 2 {
			o.left = true
			return o, events
		}
		if a.overlaps && len(events) == 2 {
			o.left = true
			closeNow := end
			end = func() { time.AfterFunc(overlapTime, closeNow) }
			return o, events
		}
	}
	o.complete = scanner.Err() == nil
	o.truncated = !o.complete
	return o, events
}

// readEvents reads the data of the events of a stream.
func readEvents(body io.Reader) (events []string, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	return events, scanner.Err()
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
