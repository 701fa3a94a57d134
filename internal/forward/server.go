package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Options configure a Server.
type Options struct {
	Protocol Protocol
	Place    string
	Logger   *log.Logger
	// BodyBytes bounds the request bodies in memory.
	BodyBytes int64
	// Bounds returns the bounds in force; they may change while running.
	Bounds func() Bounds
}

// Bounds are limits that all entries share.
type Bounds struct {
	// RepeatRatio, RepeatSlack and RepeatWindow define the repeat budget of a
	// service over all entries.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// Entries is the number of entries that share the fixed part of the budget;
	// 0 when it is not known.
	Entries int
}

// Server forwards requests at one entry.
type Server struct {
	opts      Options
	start     time.Time
	config    atomic.Pointer[Config]
	upstreams *upstreams
	bodies    atomic.Int64
	inFlight  atomic.Int64
	draining  atomic.Bool

	vars     *vars
	placer   Placer
	setPools func(services []string)

	mu      sync.Mutex
	budgets map[string]*policy.RepeatBudget

	stop chan struct{}
	done sync.WaitGroup
}

// NewServer returns a server without a configuration, which rejects every
// request. Stop ends its goroutine.
func NewServer(opts Options) *Server {
	s := &Server{
		opts: opts, start: time.Now(), upstreams: newUpstreams(opts.Place),
		budgets: map[string]*policy.RepeatBudget{}, stop: make(chan struct{}),
	}
	s.vars = newVars(s)
	s.done.Add(1)
	go s.closeIdle()
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// SetConfig puts a configuration into force unless a newer one is.
func (s *Server) SetConfig(c *Config) {
	for {
		old := s.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if s.config.CompareAndSwap(old, c) {
			s.announcePools()
			s.opts.Logger.Info().Str("event", "config.applied").Uint64("version", c.Version).Int("routes", len(c.Routes)).Msg("")
			return
		}
	}
}

// SetPlacer makes the server ask a scheduler for room on engines. setPools is
// told the services with engines. It must be called before the server serves.
func (s *Server) SetPlacer(p Placer, setPools func(services []string)) {
	s.placer, s.setPools = p, setPools
	s.announcePools()
}

func (s *Server) announcePools() {
	c := s.config.Load()
	if s.setPools == nil || c == nil {
		return
	}
	var names []string
	for name, service := range c.Services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	s.setPools(names)
}

// SetUpstreams takes changed upstream records.
func (s *Server) SetUpstreams(records []*pb.UpstreamRecord) {
	s.upstreams.update(records)
	for _, r := range records {
		s.opts.Logger.Info().Str("event", "upstream.changed").Str("upstream", r.Id).Str("phase", r.Phase.String()).
			Bool("silent", r.Silent).Uint64("sequence", r.Sequence).Msg("")
	}
}

// Ready reports whether the entry wants new connections.
func (s *Server) Ready() bool { return s.config.Load() != nil && !s.draining.Load() }

// Drain makes the entry report that it is not ready.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight is the number of requests without a final answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop ends the server's goroutine.
func (s *Server) Stop() {
	close(s.stop)
	s.done.Wait()
}

// idleSweep is the time between looks for expired connections.
const idleSweep = 2 * time.Second

func (s *Server) closeIdle() {
	defer s.done.Done()
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, t := range s.upstreams.all() {
			t.closeIdle(now, false)
		}
	}
}

// exchange is one request of a caller.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	began   time.Time
	route   *Route
	config  *Config
	service *Service
	facts   Facts
	body    []byte
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	// callerEnds is when the caller stops waiting.
	callerEnds time.Time

	sends int
	tried map[*target]bool
	// lostHandles are prefill engines whose result could not be fetched.
	lostHandles map[*target]bool
	last        *target
	mayRun      bool
	reason      string
	// first is the time to the first event, gap the longest pause between two.
	first, gap time.Duration
	// placedBy tells who chose the engines of the last send.
	placedBy string
	// trail lists the sends with their outcomes, for the log.
	trail   []string
	outcome string
	status  int
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{s: s, w: w, r: r, ctx: r.Context(), began: time.Now(), tried: map[*target]bool{}}
	defer x.finish()
	if x.accept() {
		defer s.bodies.Add(-int64(len(x.body)))
		x.serve()
	}
}

// accept checks a request and reads its body. It answers what it rejects.
func (x *exchange) accept() bool {
	facts, factsErr := x.s.opts.Protocol.Facts(x.r.Header)
	x.facts = facts
	x.config = x.s.waitForConfig(x.ctx, min(configWait, facts.Wait/configWaitPart))
	if x.config == nil {
		x.refuse("no_config", noConfigRetry)
		return false
	}
	path := x.r.URL.EscapedPath()
	x.route = x.config.Match(x.r.Host, path)
	if x.route == nil {
		x.fail(http.StatusNotFound, "no_route")
		return false
	}
	if factsErr != nil {
		x.fail(http.StatusBadRequest, "bad_headers")
		return false
	}
	wait := x.route.Timeout
	x.callerEnds = x.began.Add(wait)
	if facts.Wait > 0 {
		x.callerEnds = x.began.Add(facts.Wait)
		wait = min(wait, facts.Wait)
	}
	x.deadline = x.began.Add(wait)
	x.service = x.config.Services[x.route.Choose(rand.Float64())]
	return x.readBody()
}

const (
	// configWait bounds the wait of a request for the first configuration of a
	// process that has just started; configWaitPart is the part of the caller's
	// time that may be spent on it.
	configWait     = 800 * time.Millisecond
	configWaitPart = 12
	// configPoll is the time between looks for it.
	configPoll = 20 * time.Millisecond
	// noConfigRetry is when a caller should come back to a process without a
	// configuration: one more round of connecting to the core.
	noConfigRetry = 250 * time.Millisecond
)

func (s *Server) waitForConfig(ctx context.Context, wait time.Duration) *Config {
	for until := time.Now().Add(wait); ; {
		if c := s.config.Load(); c != nil || time.Now().After(until) || ctx.Err() != nil {
			return c
		}
		time.Sleep(configPoll)
	}
}

// readBody reads the whole body, so that a repeated send has all of it.
func (x *exchange) readBody() bool {
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	if s := x.s; s.bodies.Load()+max(0, x.r.ContentLength) > s.opts.BodyBytes {
		x.refuse("body_memory", 200*time.Millisecond)
		return false
	}
	var body []byte
	var err error
	if n := x.r.ContentLength; n > 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(x.r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	}
	if err != nil {
		x.fail(http.StatusBadRequest, "body_cut_off")
		return false
	}
	if int64(len(body)) > limit {
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	x.body = body
	x.s.bodies.Add(int64(len(body)))
	return true
}

// defaultBodyBytes applies when the configuration states no limit.
const defaultBodyBytes = 4 << 20

func (x *exchange) serve() {
	x.s.budget(x.service.Name).requested(x.s.now())
	if x.route.Kind == Stream {
		x.serveStream()
		return
	}
	x.servePlain()
}

// budgetOf is a service's repeat budget under the server's lock.
type budgetOf struct {
	s *Server
	b *policy.RepeatBudget
}

// slackMargin is the part of the fixed number of repeats that entries spend by
// themselves. The rest is kept for the schedulers of pools and for entries that
// were started since they were counted.
const slackMargin = 0.35

// ratioShare is the part of the ratio that entries spend by themselves for a
// service with a scheduler, which spends the rest.
const ratioShare = 0.4

// slackShare is the part of the fixed number of repeats that one entry spends.
// An entry that does not know how many there are spends none.
func (b *Bounds) slackShare() float64 {
	if b.Entries <= 0 {
		return 0
	}
	return slackMargin / float64(b.Entries)
}

func (s *Server) budget(service string) budgetOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	bounds := s.opts.Bounds()
	if b == nil {
		b = &policy.RepeatBudget{}
		s.budgets[service] = b
	}
	b.Ratio, b.Slack, b.Window = bounds.RepeatRatio, bounds.RepeatSlack*bounds.slackShare(), bounds.RepeatWindow
	if c := s.config.Load(); c != nil && c.Services[service] != nil && c.Services[service].Engine != nil {
		b.Ratio *= ratioShare
	} else {
		b.Slack *= 2
	}
	return budgetOf{s, b}
}

func (b budgetOf) requested(now time.Duration) {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	b.b.Requested(now)
}

func (b budgetOf) take(now time.Duration) bool {
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	return b.b.Take(now)
}

// remaining is the time that an upstream gets: what is left until the caller
// or the route stops waiting.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// outgoing returns the request as it is sent.
func (x *exchange) outgoing(s *Send) *outgoing {
	return &outgoing{
		method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host,
		header: x.s.opts.Protocol.Outbound(x.r.Header, s),
		body:   x.body, hasBody: x.r.ContentLength != 0,
	}
}

// refuse answers that the request has not run and when to come back.
func (x *exchange) refuse(reason string, after time.Duration) {
	x.w.Header().Set("Retry-After", formatSeconds(after))
	x.fail(http.StatusServiceUnavailable, reason)
}

// formatSeconds writes a duration as seconds with a fraction.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// fail gives an answer of the router's own.
func (x *exchange) fail(status int, reason string) {
	x.status, x.reason, x.outcome = status, reason, "failed"
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	h.Set("Content-Length", itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that has left cannot be told.
	_, _ = io.WriteString(x.w, body)
}

// left reports whether the caller has gone.
func (x *exchange) left() bool { return x.ctx.Err() != nil }

// sent is one answer that has begun.
type sent struct {
	t      *target
	c      *conn
	resp   *http.Response
	answer Answer
	stop   func() bool
}

// close ends the exchange with the upstream. Only a connection whose answer
// was read to its end is kept.
func (a *sent) close(whole bool) {
	if !a.stop() {
		whole = false
	}
	if whole && a.c.clean(a.resp, &a.answer) {
		_ = a.c.SetDeadline(time.Time{})
		a.c.rest(&a.answer, time.Now())
		a.t.give(a.c)
		return
	}
	_ = a.c.Close()
}

// send sends the request to one upstream and reads the head of the answer.
// firstByte bounds the wait for it.
func (x *exchange) send(t *target, send *Send, firstByte time.Duration) (*sent, error) {
	x.sends++
	x.last = t
	send.Instance = t.record.Id
	for fresh := !x.route.Repeatable(); ; fresh = true {
		c, err := t.connect(x.ctx, false)
		if err != nil {
			return nil, &SendError{Err: err}
		}
		reused := c.uses > 0
		a, err := x.sendOn(c, t, send, firstByte)
		if err == nil {
			return a, nil
		}
		// A kept connection may have ended while it was idle. For a request
		// that may be repeated one more try on a new connection is made; no
		// byte of an answer has arrived, and it counts as a repeat.
		if fresh || !reused || x.left() || !errors.Is(err, errReset) || !x.s.budget(x.service.Name).take(x.s.now()) {
			return nil, &SendError{Left: true, Err: err}
		}
		x.sends++
	}
}

// errReset means that the connection ended before a byte of an answer.
var errReset = errors.New("connection ended without an answer")

func (x *exchange) sendOn(c *conn, t *target, send *Send, firstByte time.Duration) (*sent, error) {
	stop := context.AfterFunc(x.ctx, func() { _ = c.Close() })
	fail := func(err error) (*sent, error) {
		x.note(t, send, "lost", nil)
		stop()
		_ = c.Close()
		return nil, err
	}
	send.Remaining = x.remaining()
	_ = c.SetDeadline(time.Now().Add(firstByte))
	if err := c.write(x.outgoing(send)); err != nil {
		return fail(errors.Wrap(errReset, err.Error()))
	}
	if _, err := c.rd.Peek(1); err != nil {
		if isTimeout(err) {
			return fail(err)
		}
		return fail(errors.Wrap(errReset, err.Error()))
	}
	resp, answer, err := c.read(x.s.opts.Protocol, x.r.Method, x.facts.ID)
	if err != nil {
		return fail(err)
	}
	t.report(answer.Load, x.s.now())
	x.note(t, send, itoa(resp.StatusCode), answer.Load)
	return &sent{t: t, c: c, resp: resp, answer: answer, stop: stop}, nil
}

// maxTrail bounds the sends that a log line lists.
const maxTrail = 12

// note adds a send to the trail: upstream, stage, outcome, the load that the
// upstream stated as running/waiting/slots, and the time since the request
// arrived.
func (x *exchange) note(t *target, send *Send, outcome string, load *Load) {
	if len(x.trail) >= maxTrail {
		return
	}
	entry := t.record.Id
	if send.Prefill {
		entry += ":prefill"
	}
	entry += ":" + outcome
	if load != nil {
		entry += ":" + itoa(load.Running) + "/" + itoa(load.Waiting) + "/" + itoa(load.Slots)
	}
	x.trail = append(x.trail, entry+"@"+itoa(int(time.Since(x.began).Milliseconds())))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// copyHeaders sets the headers of the answer to the caller.
func (x *exchange) copyHeaders(h http.Header) {
	out := x.w.Header()
	for name, values := range x.s.opts.Protocol.Returned(h) {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		// Keeps the library from guessing a type.
		out["Content-Type"] = nil
	}
}

// finish records the end of a request.
func (x *exchange) finish() {
	x.count()
	x.log()
}

// log writes the line of a finished request.
func (x *exchange) log() {
	l := x.s.opts.Logger.Info()
	if x.status >= 500 || x.outcome != "answered" && x.outcome != "cancelled" {
		l = x.s.opts.Logger.Warn()
	}
	upstream, route, service := "", "", ""
	if x.last != nil {
		upstream = x.last.record.Id
	}
	if x.route != nil {
		route = x.route.Name
	}
	if x.service != nil {
		service = x.service.Name
	}
	var version uint64
	if x.config != nil {
		version = x.config.Version
	}
	l.Str("event", "request.ended").Str("id", x.facts.ID).Str("route", route).Str("service", service).Str("upstream", upstream).
		Int("status", x.status).Str("outcome", x.outcome).Str("reason", x.reason).Int("sends", x.sends).
		Int64("first_ms", x.first.Milliseconds()).Int64("gap_ms", x.gap.Milliseconds()).
		Str("placed_by", x.placedBy).Str("trail", strings.Join(x.trail, ",")).
		Int64("ms", time.Since(x.began).Milliseconds()).Uint64("config", version).Msg("")
}
