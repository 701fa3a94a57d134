package forward

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks callers' connections on which no request is in progress.
// http.Server cannot enforce their limits: its timeouts are fixed when it starts,
// while the limits are part of the configuration.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]waitingConn
}

// waitingConn is the state of a connection that waits for a request.
type waitingConn struct {
	since time.Time
	// isNew is set until the first request of the connection.
	isNew bool
}

// ConnState tracks the state of callers' connections. It is set as
// http.Server.ConnState.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	l := &s.callerConns
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		l.conns[c] = waitingConn{time.Now(), state == http.StateNew}
	default:
		delete(l.conns, c)
	}
}

// requestAware is a connection that can be closed without losing a request that arrives
// meanwhile.
type requestAware interface {
	// CloseIfIdle closes the connection unless a byte of a request has arrived,
	// CloseUnlessServing unless a whole header has. They report whether they do.
	CloseIfIdle() bool
	CloseUnlessServing() bool
}

// expiredConn is a connection that has waited too long for a request.
type expiredConn struct {
	net.Conn
	isNew bool
}

// end closes the connection unless a request has arrived, and reports whether it does.
func (c expiredConn) end() bool {
	aware, ok := c.Conn.(requestAware)
	switch {
	case !ok:
		// The caller may have closed the connection at the same time.
		_ = c.Close()
		return true
	case c.isNew:
		return aware.CloseUnlessServing()
	}
	return aware.CloseIfIdle()
}

// resetCaller resets the connection of an HTTP/1.0 caller, for which a closed one marks the
// end of a complete response.
func (x *exchange) resetCaller() {
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// takeExpired removes and returns the connections that have waited longer than the
// limits allow.
func (l *callerConns) takeExpired(limits *Limits, now time.Time) []expiredConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []expiredConn
	for c, w := range l.conns {
		limit := limits.IdleTimeout
		if w.isNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			delete(l.conns, c)
			out = append(out, expiredConn{c, w.isNew})
		}
	}
	return out
}

// closeExpiredCallers closes callers' connections that have waited for a request
// longer than the configuration allows.
func (s *Server) closeExpiredCallers(now time.Time) {
	config := s.config.Load()
	if config == nil {
		return
	}
	for _, c := range s.callerConns.takeExpired(&config.Limits, now) {
		if c.end() {
			s.vars.callersClosed.Add(1)
		}
	}
}
