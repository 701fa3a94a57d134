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
	o = outcome{status: resp.StatusCode, complete: err == nil, body: string(body), truncated: err != nil}
}

func (s *system) sendStream(ctx context.Context, client *http.Client, entry, id string, disconnects bool) {
	s.check.requestSent(id, false)
	var events []string
	o := outcome{truncated: true}
	defer func() { s.check.checkStream(id, o, events, streamEvents) }()
	reqCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := standin.NewRequest(reqCtx, entry, "/draft/x", id, callerTimeout)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	o = outcome{status: resp.StatusCode, truncated: true}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events = append(events, data)
		}
		if disconnects && len(events) == 2 {
			o.left = true
			return
		}
	}
	o.complete = scanner.Err() == nil
	o.truncated = !o.complete
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
