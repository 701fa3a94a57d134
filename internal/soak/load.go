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
	// callers is the number of callers that send one request after the other.
	callers = 12
	// callerPause is the mean pause between a caller's requests.
	callerPause = 40 * time.Millisecond
	callerWait  = 4 * time.Second
	// leaveShare is the share of streams whose caller leaves early.
	leaveShare = 0.1
	// readPause is the time between reads of the configuration.
	readPause = 700 * time.Millisecond
)

// call sends requests until ctx ends. Connections are kept open and used until
// they end, also while their entry stops.
func (s *system) call(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(s.opts.Seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", caller, n)
		entry := s.entryAddress(random.IntN(len(s.entries)))
		switch k := random.Float64(); {
		case k < 0.4:
			s.plain(ctx, client, entry, "/commit/x", id, true)
		case k < 0.7:
			s.plain(ctx, client, entry, "/peek/x", id, false)
		default:
			s.stream(ctx, client, entry, id, random.Float64() < leaveShare)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(callerPause)))
	}
}

func (s *system) plain(ctx context.Context, client *http.Client, entry, path, id string, once bool) {
	s.check.sent(id, once)
	o := outcome{cut: true}
	defer func() { s.check.plainEnded(id, o) }()
	reqCtx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := standin.NewRequest(reqCtx, entry, path, id, callerWait)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o = outcome{status: resp.StatusCode, whole: err == nil, body: string(body), cut: err != nil}
}

func (s *system) stream(ctx context.Context, client *http.Client, entry, id string, leaves bool) {
	s.check.sent(id, false)
	var events []string
	o := outcome{cut: true}
	defer func() { s.check.streamEnded(id, o, events, streamEvents) }()
	reqCtx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := standin.NewRequest(reqCtx, entry, "/draft/x", id, callerWait)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	o = outcome{status: resp.StatusCode, cut: true}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			events = append(events, data)
		}
		if leaves && len(events) == 2 {
			return
		}
	}
	o.whole = scanner.Err() == nil
	o.cut = !o.whole
}

// readConfig reads the configuration at one core daemon after the other.
func (s *system) readConfig(ctx context.Context) {
	for core := 0; ctx.Err() == nil; core++ {
		s.check.mu.Lock()
		acknowledged := s.check.acknowledged
		s.check.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		version, err := standin.ReadVersion(readCtx, s.coreAddress(core))
		cancel()
		if err == nil {
			s.check.versionRead(version, acknowledged)
		}
		sleep(ctx, readPause)
	}
}
