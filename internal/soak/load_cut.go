package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// stayingCallers is the number of callers of each entry that stay with it, stayingTimeout
	// how long they wait for plain requests, and stayingThinkTime their mean pause.
	stayingCallers   = 8
	stayingTimeout   = 1500 * time.Millisecond
	stayingThinkTime = 80 * time.Millisecond
	// newConnEvery is how often such a caller opens a new connection, streamingCallers how
	// many of the callers of an entry send streams as well.
	newConnEvery     = 4
	streamingCallers = 2
)

// runStayingCallers runs the callers that stay with their entries until ctx ends.
func (s *system) runStayingCallers(ctx context.Context) {
	var callers sync.WaitGroup
	for entry := range s.entries {
		for caller := range stayingCallers {
			callers.Go(func() { s.runStayingCaller(ctx, entry, caller) })
		}
	}
	callers.Wait()
}

// runStayingCaller sends requests to one entry, each of them once, until ctx ends.
func (s *system) runStayingCaller(ctx context.Context, entry, caller int) {
	random := rand.New(rand.NewPCG(s.opts.Seed, uint64(entry*stayingCallers+caller)+1000))
	kept := &http.Client{Transport: &http.Transport{}}
	for n := 0; s.awaitCalls(ctx); n++ {
		client := kept
		if n%newConnEvery == 0 {
			client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		}
		w := onceWork{id: fmt.Sprintf("s%d-%d-%d", entry, caller, n), path: "/peek/x", timeout: stayingTimeout}
		switch draw := random.Float64(); {
		case draw < 0.3 && caller < streamingCallers:
			w.path, w.stream, w.timeout = s.shape.drawPath(), true, s.shape.callerTimeout/2
		case draw < 0.6:
			w.path = "/submit/x"
		}
		s.check.requestSent(w.id, w.path == "/submit/x")
		sentAt, builds := time.Now(), s.buildsAt(entry)
		o, _ := s.tryOnce(ctx, client, s.entryAddress(entry), w.id, w)
		if ctx.Err() == nil {
			s.cutCheck.tried(cutTry{entry: entry, sentAt: sentAt, endedAt: time.Now(), served: o.status == http.StatusOK && o.complete, builds: builds})
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(stayingThinkTime)))
	}
	kept.CloseIdleConnections()
}

// buildsAt names the builds of an entry and of the core, empty without an upgrade.
func (s *system) buildsAt(entry int) string {
	if s.opts.Upgrade == nil {
		return ""
	}
	var cores []string
	for _, c := range s.cores {
		cores = append(cores, c.currentBuild())
	}
	slices.Sort(cores)
	return fmt.Sprintf("%s (core %s)", s.entries[entry].currentBuild(), strings.Join(slices.Compact(cores), " and "))
}
