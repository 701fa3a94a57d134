// Package httpdrain stops an http.Server without cutting off callers that send on
// kept connections. http.Server.Shutdown and SetKeepAlivesEnabled(false) close
// every idle connection at once, also one on which a request is on its way.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// IdleTime is how long a connection must have been idle before it is closed
	// during a drain. A caller that keeps sending is told by its next response.
	IdleTime     = 500 * time.Millisecond
	pollInterval = 20 * time.Millisecond
)

// Drainer tracks the connections of one server. The zero value is ready to use.
type Drainer struct {
	draining atomic.Bool
	listener *listener

	mu sync.Mutex
	// idleSince contains the connections on which no request is in progress, until the
	// server has closed them; active counts the others.
	idleSince map[net.Conn]time.Time
	active    int
}

// ConnState must be called for every change of a connection's state, as
// http.Server.ConnState.
func (d *Drainer) ConnState(c net.Conn, state http.ConnState) {
	if t, tracked := c.(*trackedConn); tracked {
		switch state {
		case http.StateActive:
			t.requestBegan()
		case http.StateIdle:
			t.requestEnded()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, idle := d.idleSince[c]
	switch state {
	case http.StateNew, http.StateIdle:
		if state == http.StateIdle {
			d.active--
		}
		if d.idleSince == nil {
			d.idleSince = map[net.Conn]time.Time{}
		}
		d.idleSince[c] = time.Now()
	case http.StateActive:
		delete(d.idleSince, c)
		d.active++
	default:
		if idle {
			delete(d.idleSince, c)
		} else {
			d.active--
		}
	}
}

// Listener returns l as the listener of the server. Shutdown stops it first. Only
// connections that it has accepted are safe from being closed while a request arrives.
// They have the methods CloseIfIdle and CloseUnlessServing.
func (d *Drainer) Listener(l net.Listener) net.Listener {
	d.listener = &listener{Listener: l, stopped: make(chan struct{}), closed: make(chan struct{})}
	return d.listener
}

// Start makes every further response close its connection.
func (d *Drainer) Start() { d.draining.Store(true) }

// Handler returns h with responses that close their connections during a drain.
func (d *Drainer) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			w = &responseWriter{ResponseWriter: w, drainer: d}
		}
		h.ServeHTTP(w, r)
	})
}

// CloseIdle starts the drain and closes connections that have been idle for
// IdleTime, until ctx ends. New connections are still accepted.
func (d *Drainer) CloseIdle(ctx context.Context) {
	d.Start()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		d.closeIdle(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Shutdown stops accepting connections, closes those that have been idle for
// IdleTime, waits for the others and shuts the server down. When ctx ends first, it
// returns the error of ctx and leaves connections open.
func (d *Drainer) Shutdown(ctx context.Context, srv *http.Server) error {
	d.Start()
	if d.listener != nil {
		d.listener.stop()
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !d.closeIdle(time.Now()) {
		select {
		case <-ctx.Done():
			return srv.Shutdown(ctx)
		case <-ticker.C:
		}
	}
	return srv.Shutdown(ctx)
}

// closeIdle closes the connections that have been idle for IdleTime. It reports
// whether no connection is left.
func (d *Drainer) closeIdle(now time.Time) bool {
	d.mu.Lock()
	var closing []net.Conn
	for c, since := range d.idleSince {
		if now.Sub(since) >= IdleTime {
			closing = append(closing, c)
		}
	}
	empty := len(d.idleSince) == 0 && d.active <= 0
	d.mu.Unlock()
	for _, c := range closing {
		if t, tracked := c.(*trackedConn); tracked {
			t.CloseIfIdle()
			continue
		}
		// The caller may have closed it at the same time.
		_ = c.Close()
	}
	return empty
}

// responseWriter adds "Connection: close" to the header of a response that is
// written during a drain.
type responseWriter struct {
	http.ResponseWriter
	drainer *Drainer
	written bool
}

// Unwrap gives http.ResponseController access to the original writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.prepare()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.prepare()
	// The error shows at the next write.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) prepare() {
	if w.written {
		return
	}
	w.written = true
	if w.drainer.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// listener stops accepting connections before its server is shut down. Its server
// sees that only when it closes the listener itself.
type listener struct {
	net.Listener
	stopOnce, closeOnce sync.Once
	stopped, closed     chan struct{}
}

func (l *listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.Listener.Close()
	})
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return &trackedConn{Conn: c}, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
		return nil, net.ErrClosed
	default:
		return nil, err
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.stop()
	return nil
}
