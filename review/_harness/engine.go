package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a model runner.
type engine struct {
	sys     *system
	id      string
	address string
	born    int64
	core    int
	server  *http.Server

	sequence, handles atomic.Int64

	mu    sync.Mutex
	stage string
	state string
	// firstToken is the time until the first event of a stream, interval that between events.
	firstToken, interval time.Duration
	events               int
	// keepAlive is the time, in seconds, for which idle connections are kept, as the engine states
	// it; 0 if it states none.
	keepAlive int
	// loses reports whether the answer to a run is lost, at its first event.
	loses    func(id string) bool
	arrivals []arrival
}

func (s *system) newEngine(id string, core int, stage string) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{sys: s, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), core: core, stage: stage, state: "ready",
		firstToken: 40 * time.Millisecond, interval: 5 * time.Millisecond, events: 10, loses: func(string) bool { return false }}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			e.report()
			time.Sleep(heartbeatTime)
		}
	}()
	return e
}

// report sends a report and returns the daemon that has acknowledged it.
func (e *engine) report() *node {
	e.mu.Lock()
	body := map[string]any{"service": "draftwell", "address": e.address, "zone": "sapporo-a", "version": "v1", "slots": 12, "state": e.state, "coldLeftMs": 0, "stage": e.stage,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": e.sequence.Add(1), "born": e.born}
	e.mu.Unlock()
	for range e.sys.cores {
		n := e.sys.cores[e.core%len(e.sys.cores)]
		if status, _ := post(e.sys.control(e.core), wire["heartbeat"]+e.id, body); status == http.StatusOK {
			return n
		}
		e.core++
	}
	return nil
}

// set changes how an engine behaves.
func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) arrivalsSince(t time.Time) (late []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

func (e *engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(wire["id"])
	if id != "" {
		w.Header().Set(wire["id"], id)
	}
	if want := req.Header.Get(wire["instance"]); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	state, stage, firstToken, interval, events, keepAlive := e.state, e.stage, e.firstToken, e.interval, e.events, e.keepAlive
	e.mu.Unlock()
	if state == "draining" {
		w.Header().Set(leavingHeader, "1")
	}
	if keepAlive > 0 {
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", keepAlive))
	}
	switch {
	case req.URL.Path == "/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": stage, "models": []any{map[string]any{"name": "m", "version": 1}}, "busy": false, "sequence": 0, "queued": 0,
			"running": 0, "kvUsed": 0, "kvTotal": 106421, "handles": 0, "born": e.born})
		return
	case req.URL.Path == "/health":
		w.Header().Set(wire["instanceId"], e.id)
		return
	case req.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
		return
	case req.Method == http.MethodDelete:
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	isPrefill := req.Header.Get(wire["stage"]) == "prefill"
	if isPrefill != (stage == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(wire["weights"], "1")
	if isPrefill {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{wire["handle"]: fmt.Sprintf("h%d-%s", e.handles.Add(1), e.id), "tokens": 100, "version": 1})
		return
	}
	e.set(func() { e.arrivals = append(e.arrivals, arrival{time.Now(), id}) })
	e.sys.rec.add("%s gets %s after event %q", e.id, id, req.Header.Get("Last-Event-Id"))
	if !e.wait(req, id, firstToken) {
		return
	}
	e.mu.Lock()
	lost, state := e.loses(id), e.state
	e.mu.Unlock()
	if state == "draining" {
		w.Header().Set(leavingHeader, "1")
	}
	if lost {
		e.sys.rec.add("%s runs %s, and its answer is lost", e.id, id)
		e.reset(w)
		return
	}
	w.Header().Set(wire["stamp"], "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	next := 1
	if last, err := strconv.Atoi(strings.TrimSpace(req.Header.Get("Last-Event-Id"))); err == nil && last > 0 && last < events {
		next = last + 1
	}
	flusher := http.NewResponseController(w)
	for n := next; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil || flusher.Flush() != nil {
			return
		}
		if !e.wait(req, id, interval) {
			return
		}
	}
}

// wait reports whether the connection is still open after d.
func (e *engine) wait(req *http.Request, id string, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		e.sys.rec.add("%s drops %s, whose connection has been closed", e.id, id)
		return false
	}
}

// reset resets the connection of a request.
func (e *engine) reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func engineConfig() map[string]any {
	c := plainConfig()
	c["routes"] = append(c["routes"].([]any),
		map[string]any{"name": "draft", "host": "desk.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1,
			"service": "draftwell", "maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gapAimMs": 300})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "draftwell", "healthPath": "/health", "maxConnections": 156, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 12, wire["memory"]: 106421, "tokenKvBytes": 35136, "linkMbps": 1400000.0, "moves": true, "backups": true, "stride": 70, "most": 12,
			"handleTtlS": 0.5, "roleSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}}}})
	return c
}

// draft sends a request for a stream.
func (s *system) draft(edge int) result {
	return s.send(edge, http.MethodPost, "/draft/x", "lines", map[string]string{wire["model"]: "m", wire["tokens"]: "520,140",
		wire["prefix"]: fmt.Sprintf("5c1e:200,%x:320", requestCount.Load()+0x10000)}, 14*time.Second)
}
