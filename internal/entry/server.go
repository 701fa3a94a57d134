package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/route"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// configPollInterval is the interval at which Run checks the configuration for
	// new pools. Requests always use the configuration in force.
	configPollInterval = 250 * time.Millisecond
	// releasePollInterval is the interval at which Drain checks for pending releases.
	releasePollInterval = 10 * time.Millisecond
)

// Server is the HTTP server for callers on one VM.
type Server struct {
	opts        Options
	retryBudget *request.RetryBudget
	forwarder   *forwarder

	requestQuota   quota
	bodyQuota      quota
	responseQuota  quota
	inFlight       *inFlightCounter
	backgroundWork *inFlightCounter // submissions, claims, cancels, releases and records in progress
	vars           *vars

	draining     atomic.Bool
	rejectingNew atomic.Bool
	// stopped ends when Stop ends the requests in flight.
	stopped     context.Context
	endRequests context.CancelFunc
	compileMu   sync.Mutex
	compiled    atomic.Pointer[compiledConfig]
}

// compiledConfig is a configuration with the route table built from it.
type compiledConfig struct {
	config *pb.Config
	table  *route.Table
}

// New returns a server. The caller must run Run and serve Handler.
func New(opts Options) (*Server, error) {
	if err := opts.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	s := &Server{
		opts:           opts,
		retryBudget:    request.NewRetryBudget(opts.RetryRatio, request.DefaultRetryFloor),
		requestQuota:   quota{limit: opts.Limits.Requests},
		bodyQuota:      quota{limit: opts.Limits.BodyBytes},
		responseQuota:  quota{limit: opts.Limits.ResponseBytes},
		inFlight:       newInFlightCounter(),
		backgroundWork: newInFlightCounter(),
	}
	s.stopped, s.endRequests = context.WithCancel(context.Background())
	s.forwarder = newForwarder(&s.opts)
	s.vars = newVars(s)
	s.compiled.Store(&compiledConfig{table: route.NewTable(nil)})
	return s, nil
}

// Handler serves callers and, unless SeparateAnnouncements is set, announcements.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", s.livez)
	r.Get("/readyz", s.readyz)
	if !s.opts.SeparateAnnouncements {
		r.Post(upstream.PathAnnounce, s.announce)
	}
	r.NotFound(s.serve)
	// chi calls this handler for methods that it does not know; plain routes
	// forward them.
	r.MethodNotAllowed(s.serve)
	return r
}

// AnnounceHandler serves only announcements of upstreams.
func (s *Server) AnnounceHandler() http.Handler {
	r := chi.NewRouter()
	r.Post(upstream.PathAnnounce, s.announce)
	return r
}

// Run passes the pools of the current configuration to Schedulers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	var last *route.Table
	for {
		if t := s.table(); t != last {
			last = t
			s.opts.Schedulers.SetPools(poolNames(t))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Drain reports the entry as not ready, still accepts requests for
// Options.DrainDelay, then rejects new ones and waits until every request in flight
// and every submission, claim, cancel, release and record is finished.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.opts.DrainDelay):
	}
	s.rejectingNew.Store(true)
	return s.awaitEnd(ctx)
}

// Stop ends the requests that are still in flight, each with a response that tells whether
// it ran, and waits until every submission, claim, cancel, release and record is finished.
func (s *Server) Stop(ctx context.Context) error {
	s.rejectingNew.Store(true)
	s.endRequests()
	return s.awaitEnd(ctx)
}

func (s *Server) awaitEnd(ctx context.Context) error {
	for _, work := range []*inFlightCounter{s.inFlight, s.backgroundWork} {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-work.idleChan():
		}
	}
	return s.awaitReleases(ctx)
}

func (s *Server) awaitReleases(ctx context.Context) error {
	ticker := time.NewTicker(releasePollInterval)
	defer ticker.Stop()
	for s.opts.Schedulers.Pending() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// InFlight returns the number of requests in flight by route and service.
func (s *Server) InFlight() []*pb.InFlight {
	return s.inFlight.snapshot()
}

// table returns the route table of the configuration in force.
func (s *Server) table() *route.Table {
	config := s.opts.Control.Config()
	if c := s.compiled.Load(); c.config == config {
		return c.table
	}
	s.compileMu.Lock()
	defer s.compileMu.Unlock()
	current := s.compiled.Load()
	if current.config == config || config.GetVersion() < current.table.Version() {
		return current.table
	}
	next := &compiledConfig{config: config, table: route.NewTable(config)}
	s.compiled.Store(next)
	return next.table
}

func poolNames(t *route.Table) []string {
	seen := map[string]bool{}
	var out []string
	for _, r := range t.Routes() {
		if !seen[r.Pool] {
			seen[r.Pool] = true
			out = append(out, r.Pool)
		}
	}
	return out
}

func (s *Server) livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Ready returns nil when the entry can take new requests.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if !s.opts.Control.Serving() {
		return errors.New("no serving lease")
	}
	return nil
}

// serve handles requests of callers: every path except health checks and
// announcements.
func (s *Server) serve(rw http.ResponseWriter, r *http.Request) {
	id := newRequestID()
	w := &trackingWriter{ResponseWriter: rw, bodyPending: r.ContentLength != 0}
	defer s.recoverPanic(w, r, id)
	w.Header().Set("X-Request-Id", id)
	// Clears the write deadline that an earlier request on this connection set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	rt, subpath, ok := s.table().Match(r.URL.Path)
	if !ok {
		s.fail(w, id, s.noRouteFailure(r))
		return
	}
	// Counted before admit checks rejectingNew, so that Drain either waits for this
	// request or has it rejected.
	key := workKey{route: rt.Name, service: rt.Service}
	s.inFlight.add(key)
	defer s.inFlight.remove(key)
	if f := s.admit(rt); f != nil {
		s.fail(w, id, f)
		return
	}
	defer s.requestQuota.release(1)
	org, ok := rt.Organisation(r.Header)
	if !ok {
		s.fail(w, id, newFailure(http.StatusUnauthorized, CodeUnauthorized, "the route needs a known bearer token"))
		return
	}
	s.retryBudget.Deposit(time.Now())
	c := &call{srv: s, id: id, route: rt, subpath: subpath, organisation: org, accepted: time.Now()}
	s.vars.accepted.Add(1)
	if rt.Kind == pb.RouteKind_ROUTE_KIND_PLAIN {
		s.servePlain(w, r, c)
		return
	}
	s.serveEngine(w, r, c)
}

// call is the state of a caller's request that engine and plain routes share.
type call struct {
	srv          *Server
	id           string
	route        *route.Route
	subpath      string // path below the route's own path
	organisation string
	accepted     time.Time
}

func (c *call) deadline() time.Time {
	return c.accepted.Add(c.route.Deadline())
}

func (c *call) recordEvent(kind string, attempt uint32, upstreamID string, attributes ...string) {
	c.srv.opts.Recorder.Record(&pb.Event{Kind: kind, RequestId: c.id, Attempt: attempt, Upstream: upstreamID}, attributes...)
}

func (s *Server) noRouteFailure(r *http.Request) *Failure {
	if !s.opts.Control.Serving() {
		return unavailable(CodeNotServing, "this entry holds no serving lease and knows no such route")
	}
	return newFailure(http.StatusNotFound, CodeUnknownRoute, "no route serves %s", r.URL.Path)
}

// admit counts the request against the quota, or returns why it is rejected.
func (s *Server) admit(rt *route.Route) *Failure {
	if s.rejectingNew.Load() {
		return unavailable(CodeShuttingDown, "this entry is shutting down")
	}
	if !s.opts.Control.Serving() && rt.Isolation != pb.IsolationMode_ISOLATION_MODE_CONTINUE_WITH_LAST {
		return unavailable(CodeNotServing, "this entry holds no serving lease")
	}
	if !s.requestQuota.acquire(1) {
		return unavailable(CodeEntryFull, "this entry has %d requests in flight", s.requestQuota.limit)
	}
	return nil
}

// rejectedBodyTime is how long the body of a request may take to arrive that is rejected
// before its body was read.
const rejectedBodyTime = 500 * time.Millisecond

// fail counts a failure and writes it as the response.
func (s *Server) fail(w http.ResponseWriter, id string, f *Failure) {
	if t, ok := w.(*trackingWriter); ok && t.bodyPending {
		// net/http reads the body before it sends the response, or closes the connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedBodyTime))
	}
	s.vars.failures.Add(string(f.Code), 1)
	f.write(w, id)
}

func newRequestID() string {
	var b [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
