package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// connectTimeout bounds the opening of a session.
	connectTimeout = time.Second
	// pingInterval is the time between pings while a session is in use, and sessionTimeout
	// the time without an answer, or anything else, after which the helper counts as lost.
	pingInterval   = 250 * time.Millisecond
	sessionTimeout = 600 * time.Millisecond
	// monitorInterval is the time between checks of a session in use.
	monitorInterval = 50 * time.Millisecond
)

// errSilent means that a helper has answered no ping for sessionTimeout.
var errSilent = errors.New("no answer to pings")

// session is one session to a helper. It is not opened again once it has ended.
type session struct {
	helper *helper
	client *transport.Client
	// stop ends the attempt to open the session.
	stop context.CancelFunc
	// connected is closed when the session has been opened or could not be. connectErr and
	// ended are set before.
	connected  chan struct{}
	connectErr error
	// ended is closed when the session ends.
	ended <-chan struct{}

	// Dialer.mu guards the fields below.
	// users is the number of questions and connections, conns that of connections.
	users, conns int
	monitored    bool
	// unanswered is the time since something was received, as far as this process ran.
	unanswered time.Duration
	// unable is set once the helper has answered that it does not relay. The daemon that
	// replaces it has another session.
	unable bool
}

// openConns returns the number of connections. The caller holds Dialer.mu.
func (s *session) openConns() int {
	if s == nil {
		return 0
	}
	return s.conns
}

// silence returns the time without an answer. The caller holds Dialer.mu.
func (s *session) silence() time.Duration {
	if s == nil || s.users == 0 {
		return 0
	}
	return s.unanswered
}

// mayRelay reports whether the helper of a session should be asked. The caller holds
// Dialer.mu.
func (s *session) mayRelay() bool { return s == nil || !s.unable || s.over() }

// isConnected reports whether the session was opened.
func (s *session) isConnected() bool {
	select {
	case <-s.connected:
		return s.connectErr == nil
	default:
		return false
	}
}

// over reports whether the session has failed or ended.
func (s *session) over() bool {
	select {
	case <-s.connected:
	default:
		return false
	}
	if s.connectErr != nil {
		return true
	}
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// acquire returns the session to a helper, which it opens if there is none, and a function
// that ends its use. It adds a worker for the caller. It returns nil after Close.
func (d *Dialer) acquire(address string) (s *session, release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil
	}
	h := d.helper(address)
	if h.session != nil && h.session.over() {
		d.discard(h.session)
	}
	if h.session == nil {
		ctx, stop := context.WithTimeout(d.ctx, connectTimeout)
		h.session = &session{helper: h, client: transport.NewClient(address, d.opts.Transport), stop: stop, connected: make(chan struct{})}
		s := h.session
		d.workers.Go(func() { d.connect(ctx, s) })
	}
	d.workers.Add(1)
	s = h.session
	s.users++
	if !s.monitored {
		s.monitored, s.unanswered = true, 0
		d.workers.Go(func() { d.monitor(s) })
	}
	return s, sync.OnceFunc(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.users--
	})
}

func (d *Dialer) connect(ctx context.Context, s *session) {
	defer s.stop()
	peer, ended, err := s.client.Connect(ctx)
	s.ended, s.connectErr = ended, err
	d.mu.Lock()
	if err == nil {
		s.helper.place = peer.Place
	}
	d.mu.Unlock()
	close(s.connected)
	if err != nil {
		d.lose(s, err)
	}
}

// monitor pings the helper of a session, as long as it is used, and closes the session when
// the helper does not answer.
func (d *Dialer) monitor(s *session) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	last, sincePing, received := time.Now(), pingInterval, uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
		now := time.Now()
		elapsed := ranSince(last, now)
		last = now
		if s.over() {
			d.lose(s, errors.New("the session ended"))
			return
		}
		before := received
		if s.isConnected() {
			received = s.client.Received()
		}
		used, silent := d.addSilence(s, elapsed, received != before)
		if !used {
			return
		}
		if silent {
			d.lose(s, errSilent)
			return
		}
		if sincePing += elapsed; sincePing >= pingInterval && s.isConnected() {
			sincePing = 0
			// The answer counts as something received.
			d.workers.Go(func() { _ = s.client.Ping() })
		}
	}
}

// ranSince returns the time between two checks. A long gap means that this process did not
// run, so that it could not have received an answer either.
func ranSince(last, now time.Time) time.Duration {
	return min(now.Sub(last), 2*monitorInterval)
}

// addSilence adds to the time in which nothing was received, or begins it anew. used is
// false if monitoring ends, because the session is not in use.
func (d *Dialer) addSilence(s *session, elapsed time.Duration, heard bool) (used, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.users == 0 {
		s.monitored = false
		return false, false
	}
	if s.unanswered += elapsed; heard {
		s.unanswered = 0
	}
	return true, s.unanswered >= sessionTimeout
}

// lose closes a session that has failed. Its connections fail with ErrLost.
func (d *Dialer) lose(s *session, err error) {
	d.mu.Lock()
	lost, conns := s.helper.session == s, s.conns
	if lost {
		s.helper.failedAt = d.now()
		d.discard(s)
	}
	closed := d.closed
	d.mu.Unlock()
	if !lost || closed {
		return
	}
	d.vars.helpersLost.Add(1)
	d.opts.Logger.Warn().Str("event", "relay.helper_lost").Str("helper", s.helper.address).Int("connections", conns).Err(err).Msg("")
}

// discard closes a session and forgets it. The caller holds mu.
func (d *Dialer) discard(s *session) {
	s.helper.session = nil
	s.stop()
	d.workers.Go(s.client.Close)
}

// ask asks a helper to open a connection. release ends the use of the session; it is called
// here, or when the connection has ended.
func (d *Dialer) ask(ctx context.Context, s *session, address string, release func()) answer {
	a := answer{helper: s.helper.address}
	stream, err := d.openStream(ctx, s)
	if err != nil {
		release()
		return a
	}
	response, err := request(ctx, stream, address)
	if err == nil {
		a.result = response.Result
		d.noteResponse(s, response)
	}
	if transport.Code(err) == pb.Status_UNIMPLEMENTED {
		d.noteUnable(s)
	}
	if err != nil || response.Result != pb.RelayResponse_OPEN {
		stream.Abort()
		release()
		return a
	}
	a.conn = newConn(stream, s.helper.address, address, func() {
		d.mu.Lock()
		s.conns--
		d.mu.Unlock()
		release()
	})
	return a
}

func (d *Dialer) openStream(ctx context.Context, s *session) (*transport.Stream, error) {
	select {
	case <-s.connected:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.connectErr != nil {
		return nil, s.connectErr
	}
	return s.client.Open(ctx, transport.MethodRelay)
}

// request sends the request of a call and receives the response.
func request(ctx context.Context, stream *transport.Stream, address string) (*pb.RelayResponse, error) {
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	timeout := maxDialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Until(deadline)-responseMargin, time.Millisecond)
	}
	if err := stream.Send(&pb.RelayRequest{Address: address, TimeoutMs: uint32(timeout / time.Millisecond)}); err != nil {
		return nil, err
	}
	response := &pb.RelayResponse{}
	if err := stream.Recv(response); err != nil {
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	return response, nil
}

// noteResponse records what a response tells about the helper, and counts its connection.
func (d *Dialer) noteResponse(s *session, r *pb.RelayResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.helper.unable = false
	if r.Result == pb.RelayResponse_OPEN {
		s.conns++
		d.vars.opened.Add(1)
	} else {
		d.vars.failed.Add(r.Result.String(), 1)
	}
	if r.Result == pb.RelayResponse_NO_ROOM {
		s.helper.fullAt = d.now()
	}
	s.helper.othersOpen, s.helper.maxOpen = max(0, int(r.Open)-s.conns), int(r.MaxOpen)
}

// noteUnable records that a helper does not relay, because its build does not know how.
func (d *Dialer) noteUnable(s *session) {
	d.mu.Lock()
	known := s.unable
	s.unable, s.helper.unable = true, true
	d.mu.Unlock()
	d.vars.failed.Add(pb.Status_UNIMPLEMENTED.String(), 1)
	if !known {
		peer := s.client.Peer()
		d.opts.Logger.Info().Str("event", "relay.helper_unable").Str("helper", s.helper.address).Str("build", peer.Build).Uint32("protocol_level", peer.Level).Msg("")
	}
}
