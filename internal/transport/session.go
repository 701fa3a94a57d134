package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session. Its streams' readers are woken before it ends: those that
// are still waiting then would take up the CPU until yamux has closed their streams, and
// hold the locks that this needs.
type session struct {
	*yamux.Session
	conn *sessionConn
	// ending is set when nothing more can be received, and woken closed when all streams
	// have been woken after that.
	ending atomic.Bool
	woken  chan struct{}
	// limited is set when a Server has ended the session for its limits. messages and unread are
	// nil at a client.
	limited  atomic.Bool
	messages *messageMemory
	unread   *unreadBytes

	mu      sync.Mutex
	streams map[*sessionStream]struct{}
}

// newSession starts a session over a connection, which is tcp or TLS over it. messages is nil at
// a client.
func newSession(tcp, conn net.Conn, messages *messageMemory, start func(net.Conn) (*yamux.Session, error)) (*session, error) {
	s := &session{woken: make(chan struct{}), streams: map[*sessionStream]struct{}{}, messages: messages}
	if messages != nil {
		s.unread = newUnreadBytes(messages)
	}
	s.conn = &sessionConn{Conn: conn, tcp: tcp, session: s}
	var err error
	if s.Session, err = start(s.conn); err != nil {
		_ = tcp.Close()
		return nil, err
	}
	go s.heartbeat()
	return s, nil
}

func newClientSession(tcp, conn net.Conn) (*session, error) {
	return newSession(tcp, conn, nil, func(c net.Conn) (*yamux.Session, error) { return yamux.Client(c, yamuxConfig()) })
}

func newServerSession(tcp, conn net.Conn, messages *messageMemory) (*session, error) {
	return newSession(tcp, conn, messages, func(c net.Conn) (*yamux.Session, error) { return yamux.Server(c, yamuxConfig()) })
}

// heartbeat closes the session when the peer leaves a ping without a reply.
func (s *session) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.CloseChan():
			return
		}
		if _, err := s.Ping(); err != nil {
			s.close()
			return
		}
	}
}

// close ends the session and its streams.
func (s *session) close() {
	_ = s.conn.Close()
	select {
	case <-s.CloseChan():
	case <-time.After(heartbeatTimeout):
	}
	_ = s.Session.Close()
}

// ended reports whether the session has ended or is about to.
func (s *session) ended() bool {
	return s.ending.Load() || s.IsClosed()
}

// open opens a stream.
func (s *session) open() (net.Conn, error) { return s.track(s.OpenStream()) }

// accept waits for a stream that the peer opens.
func (s *session) accept() (net.Conn, error) {
	stream, err := s.AcceptStream()
	if err == nil {
		s.unread.accepted(stream.StreamID())
	}
	return s.track(stream, err)
}

func (s *session) track(stream *yamux.Stream, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	st := &sessionStream{Stream: stream, session: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st] = struct{}{}
	if s.ended() {
		st.wake()
	}
	return st, nil
}

// receiverFailed wakes the users of all streams before the session ends.
func (s *session) receiverFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.Swap(true) {
		return
	}
	for st := range s.streams {
		st.wake()
	}
	close(s.woken)
}

// sessionStream is a stream of a session.
type sessionStream struct {
	*yamux.Stream
	session *session
}

// wake makes waiting Reads and Writes fail. What was received can still be read.
func (st *sessionStream) wake() { _ = st.SetDeadline(time.Unix(1, 0)) }

// Read implements net.Conn.
func (st *sessionStream) Read(b []byte) (int, error) {
	n, err := st.Stream.Read(b)
	st.session.unread.read(st.StreamID(), n)
	return n, err
}

// Close implements net.Conn.
func (st *sessionStream) Close() error {
	st.session.mu.Lock()
	delete(st.session.streams, st)
	st.session.mu.Unlock()
	err := st.Stream.Close()
	st.session.unread.closed(st.StreamID())
	return err
}

// sessionConn is the connection of a session.
type sessionConn struct {
	net.Conn
	tcp     net.Conn
	session *session
	// received is the number of bytes read.
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	c.session.unread.received(b[:n])
	if err != nil {
		c.session.receiverFailed()
	}
	return n, err
}

// Write implements net.Conn. A failed Write returns only after the streams were woken.
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		_ = c.tcp.Close()
		<-c.session.woken
	}
	return n, err
}

// Close closes the TCP connection.
func (c *sessionConn) Close() error { return c.tcp.Close() }
