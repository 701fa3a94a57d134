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

// takeExpired removes and returns the connections that have waited longer than the
// limits allow.
func (l *callerConns) takeExpired(limits *Limits, now time.Time) []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []net.Conn
	for c, w := range l.conns {
		limit := limits.IdleTimeout
		if w.isNew {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			delete(l.conns, c)
			out = append(out, c)
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
	expired := s.callerConns.takeExpired(&config.Limits, now)
	for _, c := range expired {
		// The caller may have closed the connection at the same time.
		_ = c.Close()
	}
	s.vars.callersClosed.Add(int64(len(expired)))
}
