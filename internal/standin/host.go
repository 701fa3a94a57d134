package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/upstream"
)

// Instance is a running stand-in.
type Instance interface {
	// Addr is the host:port of the listener. It stays the same after a crash.
	Addr() string
	// URL is the base URL for callers.
	URL() string
	// Close stops it and waits for its goroutines.
	Close()
	// Kill crashes it without a restart: connections are reset and the state
	// in memory is lost.
	Kill()
	// Done is closed after Close, Kill or a crash without a restart.
	Done() <-chan struct{}
}

// Start starts an engine or a plain service, depending on the role. It runs
// until ctx ends or it is closed.
func Start(ctx context.Context, s Settings) (Instance, error) {
	if s.Role == RolePlain {
		return StartService(ctx, s)
	}
	return StartEngine(ctx, s)
}

const (
	maxRestartAttempts   = 40
	restartRetryInterval = 100 * time.Millisecond
)

// incarnation is the part of a stand-in that a crash destroys and a restart
// creates anew.
type incarnation interface {
	// register adds the HTTP routes.
	register(r chi.Router)
	// run works until ctx ends and then counts the work that is lost.
	run(ctx context.Context)
	// fillAnnouncement fills in role, capacity and load.
	fillAnnouncement(a *upstream.Announcement)
	// takeCacheEvents removes and returns the cache events to announce now.
	takeCacheEvents() []upstream.CacheEvent
}

// host owns the listener, the connections, the announcements and the restarts
// of a stand-in. All of its goroutines end when the context given to newHost
// ends.
type host struct {
	settings       Settings
	faults         *faults
	newIncarnation func() incarnation
	leaving        atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	addr          string
	generation    uint64
	current       incarnation
	cancelCurrent context.CancelFunc
	server        *http.Server
	conns         map[*conn]struct{}
	restart       *time.Timer
}

func newHost(ctx context.Context, s Settings, build func(*host) incarnation) (*host, error) {
	if err := s.Complete(); err != nil {
		return nil, err
	}
	h := &host{settings: s, faults: newFaults(), addr: s.Listen, generation: s.Generation}
	h.newIncarnation = func() incarnation { return build(h) }
	h.ctx, h.cancel = context.WithCancel(ctx)
	if err := h.startIncarnation(); err != nil {
		h.cancel()
		return nil, err
	}
	context.AfterFunc(h.ctx, h.stopIncarnation)
	return h, nil
}

// startIncarnation opens the listener and starts a new incarnation.
func (h *host) startIncarnation() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return h.ctx.Err()
	}
	listener, err := net.Listen("tcp", h.addr)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	h.addr = listener.Addr().String()
	h.conns = map[*conn]struct{}{}
	h.current = h.newIncarnation()
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelCurrent = cancel
	h.server = &http.Server{Handler: h.router(h.current), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	server, current, generation := h.server, h.current, h.generation
	h.wg.Add(3)
	go func() { defer h.wg.Done(); _ = server.Serve(&trackingListener{Listener: listener, host: h}) }()
	go func() { defer h.wg.Done(); current.run(ctx) }()
	go func() { defer h.wg.Done(); h.announce(ctx, current, generation) }()
	return nil
}

// stopIncarnation ends the current incarnation and resets its connections.
func (h *host) stopIncarnation() {
	h.mu.Lock()
	if h.restart != nil {
		h.restart.Stop()
	}
	server := h.server
	if server == nil {
		h.mu.Unlock()
		return
	}
	h.server = nil
	h.generation++
	h.cancelCurrent()
	for c := range h.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.answered.Load() {
			_ = tcp.SetLinger(0)
		}
	}
	h.mu.Unlock()
	// Closing a connection takes the lock.
	_ = server.Close()
}

// crash ends the incarnation and starts the next one after the delay, or none
// if the delay is 0.
func (h *host) crash(delay time.Duration) {
	h.stopIncarnation()
	if delay <= 0 {
		h.cancel()
		return
	}
	h.scheduleRestart(delay, maxRestartAttempts)
}

// scheduleRestart starts the next incarnation after the delay. An outgoing
// connection may have taken the port in the meantime, so it makes up to the
// given number of attempts.
func (h *host) scheduleRestart(delay time.Duration, attempts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restart = time.AfterFunc(delay, func() {
		if h.startIncarnation() == nil {
			return
		}
		if attempts <= 1 || h.ctx.Err() != nil {
			h.cancel()
			return
		}
		h.scheduleRestart(restartRetryInterval, attempts-1)
	})
}

// silenceConns makes the connections that are open now transfer nothing more.
func (h *host) silenceConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.silent.Store(true)
	}
}

// Addr implements Instance.
func (h *host) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addr
}

// URL implements Instance.
func (h *host) URL() string { return "http://" + h.Addr() }

// Done implements Instance.
func (h *host) Done() <-chan struct{} { return h.ctx.Done() }

// Kill implements Instance.
func (h *host) Kill() { h.crash(0) }

// Close implements Instance.
func (h *host) Close() {
	h.cancel()
	h.stopIncarnation()
	h.wg.Wait()
}

func (h *host) router(current incarnation) http.Handler {
	r := chi.NewRouter()
	r.Use(echoCallID)
	r.Post("/fault", h.serveFault)
	current.register(r)
	return r
}

// echoCallID repeats the id of the call in the response.
func echoCallID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(upstream.HeaderCallID); id != "" {
			w.Header().Set(upstream.HeaderCallID, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (h *host) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	if f.Kind == FaultCrash {
		// The response leaves before the crash, and a reset must not overtake it.
		w.WriteHeader(http.StatusNoContent)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.answered.Store(true)
		}
	}
	if !h.Inject(f) {
		writeError(w, http.StatusBadRequest, "unknown fault kind")
		return
	}
	if f.Kind != FaultCrash {
		w.WriteHeader(http.StatusNoContent)
	}
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// Inject applies a fault as POST /fault does. It returns false for an unknown
// kind.
func (h *host) Inject(f Fault) bool {
	switch f.Kind {
	case FaultStallPrefill, FaultStallTransfer, FaultDuplicate, FaultLate, FaultRefuse:
		h.faults.add(f.Kind, f.Count)
	case FaultSlow:
		h.faults.setSlow(f.Factor, f.Seconds)
	case FaultSilence:
		h.silenceConns()
	case FaultLeave:
		h.leaving.Store(true)
	case FaultCrash:
		// In a goroutine, because it closes the connection of this handler.
		go h.crash(time.Duration(f.Seconds * float64(time.Second)))
	default:
		return false
	}
	return true
}

// trackingListener registers each accepted connection with the host.
type trackingListener struct {
	net.Listener
	host *host
}

func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, host: l.host}
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	l.host.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can stop transferring data while it stays open.
// When silent, it discards what it reads and writes.
type conn struct {
	net.Conn
	host   *host
	silent atomic.Bool
	// answered is set when the response to an injected crash was sent: the connection
	// is closed without a reset, so that the response arrives.
	answered atomic.Bool
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.silent.Load() {
		_, _ = io.Copy(io.Discard, c.Conn)
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

const maxBodyBytes = 8 << 20

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid JSON body: "+err.Error())
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, upstream.ErrorBody{Message: message})
}

func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set(upstream.HeaderRunState, upstream.RunStateNotRun)
	writeError(w, http.StatusServiceUnavailable, message)
}
