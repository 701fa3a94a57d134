package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/policy"
)

// exchange is the state of one caller's request.
type exchange struct {
	s *Server
	w http.ResponseWriter
	r *http.Request
	// ctx ends when the caller has disconnected, the server ends its requests, or it refuses
	// those that have not been sent, see stopUnsent. cancel ends it.
	ctx        context.Context
	cancel     context.CancelFunc
	progress   atomic.Int32
	receivedAt time.Time
	route      *Route
	config     *Config
	service    *Service
	// tenant is the owner of the caller's key; nil for none. It stays that of the
	// configuration under which the request was accepted.
	tenant *Tenant
	// rank is the place of the request in a queue, see policy.RequestRank, if ranked is set:
	// the configuration has tenants.
	rank   uint32
	ranked bool
	// usage is the charge to the tenant, and usageCost its amount; nil for none.
	usage     UsageCharge
	usageCost float64
	info      RequestInfo
	body      []byte
	// bodyRead is set once the caller's body has been read to its end.
	bodyRead bool
	// account holds the memory that the request takes; nil if nothing limits it. buffered is
	// the part for the upstream's response.
	account  *budget.Account
	buffered int64
	// callerBlocked is set if the caller of a stream has read nothing for unreadTime, in the
	// current attempt.
	callerBlocked bool
	// callerWaited is the time for which writes of the stream have waited for the caller, in
	// the current attempt.
	callerWaited time.Duration
	// deadline is the earlier of the route's and the caller's time limit.
	deadline time.Time
	// callerDeadline is the caller's time limit, or the route's if the caller set
	// none.
	callerDeadline time.Time

	// sends is the number of requests sent to upstreams, without prefills.
	sends int
	// tried holds upstreams that have failed or rejected this request. They are
	// avoided in further attempts.
	tried map[*target]bool
	// prefilled is set once a prefill engine has accepted the prompt. Each further
	// prefill counts against the retry budget.
	prefilled bool
	// prefillRejected is set once a prefill engine has rejected a call.
	prefillRejected bool
	// run holds the versions at which the stream goes on; nil while a new one has no event.
	// recordNumber is the number of the newest record of them, and versionsFrom tells, for
	// a stream that is taken up, how they were found. firstID is the id of the first request
	// for the stream; empty if it is not known.
	run          *policy.RunVersions
	recordNumber int
	versionsFrom string
	// noteUntil is the time until which the request waits for versions to be noted by the hubs.
	noteUntil time.Time
	firstID   string
	// changedAfter is the id of the last event before the weights changed in the middle of a
	// run, and earlierWeights those before; empty if they have not. earlierWeights is empty
	// also if they have changed more than once.
	changedAfter, earlierWeights string
	// freeUsed is set while the one request that does not count against the retry budget
	// is used, see charge.
	freeUsed bool
	// lostHandleEngines holds the prefill engines whose result the decode engine
	// could not fetch.
	lostHandleEngines map[*target]bool
	lastTarget        *target
	// working is the upstream that works on the request as far as the entry knows, and heardAt
	// when the request was sent there or something last came from it. givenUp is the upstream
	// whose run the entry has ended last although it may still work, at givenUpAt. Both are nil
	// for none.
	working, givenUp   *target
	heardAt, givenUpAt time.Time
	// moving is the silent run that the current attempt is to replace; nil for none.
	moving *silentRun
	// lastBornMs is the start of the process that got the last request: the one that it has
	// stated, otherwise that of its record.
	lastBornMs int64
	// parts are the keys of the prompt's parts, in order. For a request without parts
	// whole is set, and parts holds a key of its content or is empty. onTrial is set if
	// one of them is quarantined and the request may be sent nevertheless.
	parts   []uint64
	whole   bool
	onTrial bool
	// cost is the estimated cost of a plain call.
	cost policy.CallCost
	// expectedEnd is the forecast time until an upstream would have answered a plain call if
	// calls wait at all of them; otherwise 0.
	expectedEnd time.Duration
	// unresolved is the number of attempts that may have run, see mayHaveRun.
	unresolved int
	// reason is the cause of the latest failure, for the log and error responses.
	reason string
	// firstEventTime is the time to the first event, maxGap the longest pause
	// between two events.
	firstEventTime, maxGap time.Duration
	// queueTime is the time spent waiting for a reservation.
	queueTime time.Duration
	// placedBy tells whether the scheduler or the entry chose the last engines.
	placedBy string
	// permitRetryAfter is the time until an upstream that states a limit may get
	// another request; 0 if the request did not fail for lack of a permit.
	permitRetryAfter time.Duration
	// payers counts the upstream requests by what they were charged to, for the log.
	payers payers
	// trail lists the upstream requests with their outcomes, for the log.
	trail []string
	// wasted lists the causes for which prefills were not used, for the log.
	wasted  []string
	outcome string
	status  int
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	x := &exchange{s: s, w: w, r: r, ctx: ctx, cancel: cancel, receivedAt: time.Now(), tried: map[*target]bool{}, account: budget.FromContext(r.Context())}
	defer context.AfterFunc(s.refused, x.stopUnsent)()
	defer x.finish()
	defer x.recoverPanic()
	if !x.accept() {
		return
	}
	defer func() {
		s.bodies.release(x.account, int64(cap(x.body)))
		x.account.Release(x.buffered)
	}()
	// A caller that stops reading must not occupy an engine beyond the deadline
	// of its request. The write deadline belongs to the connection and is
	// cleared for the next request.
	if x.setWriteDeadline() == nil {
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	}
	x.serve()
}

// recoverPanic answers the caller after a fault of the entry, and logs it. It must be
// deferred.
func (x *exchange) recoverPanic() {
	v := recover()
	switch {
	case v == nil:
		return
	case v == http.ErrAbortHandler:
		panic(v)
	}
	x.s.opts.Logger.Error().Str("event", "request.panicked").Str("id", x.info.ID).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("")
	if x.status != 0 {
		x.abort("internal_error")
	}
	x.w.Header().Set("Connection", "close")
	x.refuse("internal_error", x.retryAfter())
}

// writeGrace is how long after a request's deadline its response may still be
// written. A response that is ready is delivered even if it is late.
const writeGrace = time.Second

// setWriteDeadline sets until when the response may be written. It is set again before a
// complete response, since the process may have been paused.
func (x *exchange) setWriteDeadline() error {
	until := x.deadline
	if now := time.Now(); now.After(until) {
		until = now
	}
	return http.NewResponseController(x.w).SetWriteDeadline(until.Add(writeGrace))
}

// accept validates the request, finds its route and service, and reads the body.
// If it returns false, it has sent an error response.
func (x *exchange) accept() bool {
	info, parseErr := x.s.opts.Protocol.ParseRequest(x.r.Header)
	x.info = info
	if x.s.refused.Err() != nil {
		x.refuse(reasonStopping, stoppingRetryAfter)
		return false
	}
	x.config = x.s.waitForConfig(x.ctx, min(maxConfigWait, info.Timeout/configWaitDivisor))
	if x.config == nil {
		x.refuse("no_config", noConfigRetryAfter)
		return false
	}
	path := x.r.URL.EscapedPath()
	x.route = x.config.Match(x.r.Host, path)
	if x.route == nil {
		x.respondError(http.StatusNotFound, "no_route")
		return false
	}
	x.setDeadlines()
	if limit := x.config.Limits.MaxHeaderBytes; limit > 0 && headerSize(x.r) > limit {
		x.respondError(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	if !x.authenticate() {
		return false
	}
	if parseErr != nil {
		x.respondError(http.StatusBadRequest, "bad_headers")
		return false
	}
	if x.refuseUnframed() {
		return false
	}
	if !x.admitTenant() {
		return false
	}
	x.service = x.config.Services[x.route.ChooseService(rand.Float64())]
	return x.readBody()
}

// setDeadlines sets the deadlines by the limits of the route and the caller.
func (x *exchange) setDeadlines() {
	timeout := x.route.Timeout
	x.callerDeadline = x.receivedAt.Add(timeout)
	if x.info.Timeout > 0 {
		x.callerDeadline = x.receivedAt.Add(x.info.Timeout)
		timeout = min(timeout, x.info.Timeout)
	}
	x.deadline = x.receivedAt.Add(timeout)
}

// headerSize returns the smallest size in bytes of the request line and the headers that the
// caller can have sent: lines may end with a line feed alone and need no space after the colon.
// Counting these would refuse a header of many short lines that is inside the limit.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" HTTP/1.1\n") + len("\n")
	if r.Host != "" {
		size += len("Host:\n") + len(r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(":\n") + len(v)
		}
	}
	return size
}

const (
	// maxConfigWait, and the caller's timeout divided by configWaitDivisor, limit
	// how long a request waits for the first configuration of a process that has
	// just started.
	maxConfigWait     = 800 * time.Millisecond
	configWaitDivisor = 12
	// configPollInterval is the time between two checks for a configuration.
	configPollInterval = 20 * time.Millisecond
	// noConfigRetryAfter is the Retry-After of a process without a configuration:
	// the time that one more attempt to connect to the core takes.
	noConfigRetryAfter = 250 * time.Millisecond
)

func (s *Server) waitForConfig(ctx context.Context, maxWait time.Duration) *Config {
	for until := time.Now().Add(maxWait); ; {
		if c := s.config.Load(); c != nil || time.Now().After(until) || ctx.Err() != nil {
			return c
		}
		time.Sleep(configPollInterval)
	}
}

// readBody reads the whole body into memory, so that it can be sent again on a
// retry. If it returns false, it has sent an error response.
func (x *exchange) readBody() bool {
	limit := x.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.respondError(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if x.r.ContentLength == 0 {
		x.bodyRead = true
		return true
	}
	// A caller that sends slowly must not occupy memory beyond the time limit of its
	// request. The read deadline belongs to the connection; while it is set, net/http
	// would take a timeout for a caller that has disconnected.
	rc := http.NewResponseController(x.w)
	hasDeadline := rc.SetReadDeadline(x.deadline) == nil
	stopRefusal := context.AfterFunc(x.s.refused, func() { _ = rc.SetReadDeadline(time.Now()) })
	done := x.account.ReceivesBody()
	body, err := x.s.bodies.read(x.account, x.r.Body, x.r.ContentLength, limit)
	done()
	if !stopRefusal() {
		// The read deadline may be set later, which would look like a caller that disconnects.
		x.stopUnsent()
	}
	if x.account.Ended() {
		x.s.bodies.release(x.account, int64(cap(body)))
		body, err = nil, errBodyMemory
	}
	if err == nil {
		if hasDeadline {
			_ = rc.SetReadDeadline(time.Time{})
		}
		x.body, x.bodyRead = body, true
		return true
	}
	// What is left of the body is not read.
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyMemory):
		x.refuse("body_memory", bodyMemoryRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		x.respondError(http.StatusRequestEntityTooLarge, "body_too_large")
	case x.stopped():
		x.refuse(reasonStopping, stoppingRetryAfter)
	case isTimeout(err):
		x.respondError(http.StatusRequestTimeout, "body_too_slow")
	default:
		x.respondError(http.StatusBadRequest, "body_cut_off")
	}
	return false
}

// bodyMemoryRetryAfter is the Retry-After of a request that the memory for bodies
// has no room for.
const bodyMemoryRetryAfter = 200 * time.Millisecond

// defaultBodyBytes is the body limit if the configuration sets none.
const defaultBodyBytes = 4 << 20

func (x *exchange) serve() {
	if x.stopped() {
		x.refuse(reasonStopping, stoppingRetryAfter)
		return
	}
	if x.route.Kind == Stream && !x.pinStream() {
		return
	}
	x.s.retryBudget(x.service.Name).recordRequest(x.s.now())
	x.identify()
	if x.route.Kind == Stream {
		x.serveStream()
		return
	}
	x.servePlain()
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// outboundRequest returns the request to send to an upstream.
func (x *exchange) outboundRequest(opts *SendOptions) *outboundRequest {
	x.setTenant(opts)
	return &outboundRequest{
		method: x.r.Method, uri: x.r.RequestURI, host: x.r.Host,
		header: x.s.opts.Protocol.RequestHeader(x.r.Header, opts),
		body:   x.body, hasBody: x.r.ContentLength != 0, id: x.info.ID,
	}
}

// formatSeconds formats a duration as seconds with three decimals.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// rejectedBodyTime is how long the body of a request may take to arrive that is rejected
// before its body was read.
const rejectedBodyTime = 500 * time.Millisecond

// respondError sends an error response with the reason as its body.
func (x *exchange) respondError(status int, reason string) {
	x.status, x.reason, x.outcome = status, reason, "failed"
	if x.r.ContentLength != 0 && !x.bodyRead {
		// net/http reads the body before it sends the response, or closes the connection.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(rejectedBodyTime))
	}
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	h.Set("Content-Length", itoa(len(body)))
	x.w.WriteHeader(status)
	// If the write fails, the caller has disconnected and cannot be informed.
	_, _ = io.WriteString(x.w, body)
}

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }

// cancelled reports whether the request, or the attempt to move it, is to end without an
// upstream's response. It then sets the reason.
func (x *exchange) cancelled() bool {
	switch {
	case x.callerGone():
		x.reason = "caller_left"
	case x.s.ended.Err() != nil:
		x.reason = "entry_stopping"
	case x.stopped():
		x.reason = reasonStopping
	case x.wentOn():
		x.reason = reasonWentOn
	default:
		return false
	}
	return true
}

// timeIsUp returns why no further attempt is made; empty if one may be made.
func (x *exchange) timeIsUp() string {
	switch {
	case x.s.ended.Err() != nil, x.stopped():
		return "cancelled"
	case x.remaining() < deadlineMargin:
		return "deadline"
	}
	return ""
}

// copyResponseHeaders copies an upstream's response headers to the caller's
// response.
func (x *exchange) copyResponseHeaders(h http.Header) {
	out := x.w.Header()
	for name, values := range x.s.opts.Protocol.ResponseHeader(h) {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		// Prevents net/http from detecting a content type.
		out["Content-Type"] = nil
	}
}
