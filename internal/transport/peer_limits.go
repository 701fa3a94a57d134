package transport

import "sync/atomic"

const (
	// streamShare is the part of a process's memory for the streams of its peers, of which
	// each takes streamBytes: a goroutine and buffers.
	streamShare = 0.25
	streamBytes = 8 << 10
	// messageShare is the part for messages that are being received and bytes that no handler
	// has read. The longest usual message is a configuration of 8 MiB.
	messageShare = 0.25
	// streamCheckShare is the share of MaxStreams after whose acceptance they are counted: a
	// count takes a lock of each session.
	streamCheckShare = 1.0 / 16
)

// LimitPeers sets MaxStreams and MaxMessageMemory for a process with the given bytes of
// memory; 0 means no limit.
func (o *Options) LimitPeers(memoryBytes int64) {
	o.MaxStreams = int(streamShare * float64(memoryBytes) / streamBytes)
	o.MaxMessageMemory = int64(messageShare * float64(memoryBytes))
}

// limitStreams ends the session with the most streams if all of them have too many. It is
// called for each accepted stream. yamux keeps a stream whose handler has ended until its peer
// closes it too, so the handlers that run say too little.
func (s *Server) limitStreams() {
	if s.opts.MaxStreams <= 0 {
		return
	}
	interval := max(1, int64(streamCheckShare*float64(s.opts.MaxStreams)))
	if s.accepted.Add(1)%interval == 0 {
		s.endLargest("streams", int64(s.opts.MaxStreams), func(sess *session) int64 { return int64(sess.NumStreams()) })
	}
}

// endLargest ends the sessions that use most until the use of all is within the limit.
func (s *Server) endLargest(what string, limit int64, use func(*session) int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var total, most int64
		var largest *session
		for sess := range s.sessions {
			// What an ending session uses is free soon.
			if sess.ended() || sess.limited.Load() {
				continue
			}
			n := use(sess)
			if total += n; n > most {
				largest, most = sess, n
			}
		}
		if total <= limit || largest == nil {
			return
		}
		largest.limited.Store(true)
		s.opts.Logger.Warn().Str("event", "session.over_limit").Str("remote", largest.conn.RemoteAddr().String()).Str("limit", what).Int64("used", most).Msg("")
		_ = largest.conn.Close()
	}
}

// messageMemory counts the bytes of the messages of a session that are being received, and those
// that no handler has read, as part of those of all sessions of a server. The methods of a nil
// *messageMemory count nothing.
type messageMemory struct {
	server *Server
	held   atomic.Int64
}

// reserve adds n bytes. If all sessions hold too many, it ends those that hold most: the
// memory is that of the connection's streams, whose reads then fail.
func (m *messageMemory) reserve(n int64) {
	if m == nil {
		return
	}
	m.held.Add(n)
	limit := m.server.opts.MaxMessageMemory
	if m.server.messageBytes.Add(n) > limit && limit > 0 {
		m.server.endLargest("incomplete and unread messages", limit, func(sess *session) int64 { return sess.messages.held.Load() })
	}
}

func (m *messageMemory) release(n int64) {
	if m != nil {
		m.held.Add(-n)
		m.server.messageBytes.Add(-n)
	}
}
