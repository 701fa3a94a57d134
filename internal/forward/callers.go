package forward

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns knows the connections of callers on which no request is under way.
// The HTTP server's own timeouts are fixed when it starts, while the limits are
// part of the configuration.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]waitingConn
}

// waitingConn is a connection that waits for a request: its first one or another.
type waitingConn struct {
	since time.Time
	fresh bool
}

// ConnState follows a caller's connection. It is meant for http.Server.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	l := &s.callers
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		l.conns[c] = waitingConn{time.Now(), state == http.StateNew}
	default:
		delete(l.conns, c)
	}
}

// expired takes out the connections that have waited for longer than the limits.
func (l *callerConns) expired(limits *Limits, now time.Time) []net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []net.Conn
	for c, w := range l.conns {
		limit := limits.IdleTimeout
		if w.fresh {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.since) > limit {
			delete(l.conns, c)
			out = append(out, c)
		}
	}
	return out
}

// closeWaitingCallers closes the connections on which callers took longer than
// the configuration allows.
func (s *Server) closeWaitingCallers(now time.Time) {
	config := s.config.Load()
	if config == nil {
		return
	}
	expired := s.callers.expired(&config.Limits, now)
	for _, c := range expired {
		// The caller may have closed it at the same moment.
		_ = c.Close()
	}
	s.vars.callersClosed.Add(int64(len(expired)))
}
