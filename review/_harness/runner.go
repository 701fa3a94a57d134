package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// leavingHeader is in all answers of a runner that leaves (letter 6).
const leavingHeader = "Server-Leaving"

const heartbeatTime = 1200 * time.Millisecond

// runner is a stand-in for a runner of the plain service.
type runner struct {
	sys      *system
	id       string
	address  string
	born     int64
	work     time.Duration
	sequence atomic.Int64
	cut      atomic.Bool
	// leaving is set once the runner leaves, which it says in all its answers.
	leaving   atomic.Bool
	core      int
	server    *http.Server
	stopBeats context.CancelFunc
	// beatsEnded is closed when no report is on its way any more.
	beatsEnded chan struct{}

	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	at time.Time
	id string
}

// newRunner starts a runner that reports to the core.
func (s *system) newRunner(id string, core int, work time.Duration) *runner {
	r := s.newSilentRunner(id, core, work)
	ctx, stop := context.WithCancel(context.Background())
	r.stopBeats = stop
	go r.beat(ctx)
	return r
}

// newSilentRunner starts a runner that sends no reports by itself.
func (s *system) newSilentRunner(id string, core int, work time.Duration) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &runner{sys: s, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, core: core, beatsEnded: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r
}

// call sends a call to the core: to the next daemon after one that has not acknowledged it
// within a second. It returns the daemon that has, or nil.
func (r *runner) call(path string, body map[string]any) *node {
	for range len(r.sys.cores) {
		if r.cut.Load() {
			// Nothing gets through to the core.
			time.Sleep(time.Second)
			r.core++
			if path == wire["heartbeat"] {
				return nil
			}
			continue
		}
		n := r.sys.cores[r.core%len(r.sys.cores)]
		if status, _ := post(r.sys.control(r.core), path+r.id, body); status >= 200 && status < 300 {
			return n
		}
		r.core++
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// report returns the next report.
func (r *runner) report() map[string]any {
	return map[string]any{"service": "orderdesk", "address": r.address, "zone": "sapporo-a", "version": "v1", "slots": 6,
		"state": "ready", "coldLeftMs": 0, "sequence": r.sequence.Add(1), "born": r.born}
}

// beat sends reports until stopBeats is called.
func (r *runner) beat(ctx context.Context) {
	defer close(r.beatsEnded)
	for ctx.Err() == nil {
		r.call(wire["heartbeat"], r.report())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatTime):
		}
	}
}

// leave gives notice of leaving until a daemon has acknowledged it, which it returns with the
// time. No report must be on its way.
func (r *runner) leave() (by *node, ackedAt time.Time) {
	r.leaving.Store(true)
	if by = r.call(wire["deregister"], map[string]any{"born": r.born}); by == nil {
		check(fmt.Errorf("the notice of %s was not acknowledged", r.id))
	}
	return by, time.Now()
}

// exit ends the runner with all its connections.
func (r *runner) exit() { _ = r.server.Close() }

func (r *runner) arrivalsSince(t time.Time) (late []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire["id"])
	if id != "" {
		w.Header().Set(wire["id"], id)
	}
	if r.leaving.Load() {
		w.Header().Set(leavingHeader, "1")
	}
	if want := req.Header.Get(wire["instance"]); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set(wire["instanceId"], r.id)
		return
	}
	if req.URL.Path == "/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "born": r.born})
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{now, id})
	r.mu.Unlock()
	r.sys.rec.add("%s runs %s %s", r.id, id, req.URL.Path)
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
	}
	w.Header().Set(wire["stamp"], "stamp-"+r.id)
	w.Header().Set(wire["load"], "1,0,6")
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}
