package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/route"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	maxIdempotencyKeyBytes = 255
	// maxPlainAttempts is the maximum number of upstreams that one call is sent to.
	maxPlainAttempts = 3
	// maxRecordDelay is the longest time that a response waits for the ledger to
	// store the outcome. After that, storing continues in the background.
	maxRecordDelay      = time.Second
	recordRetryInterval = 100 * time.Millisecond
	// maxRecordedBodyBytes is the largest response body that the ledger stores.
	maxRecordedBodyBytes = 64 << 10
)

var (
	// idempotentMethods may be retried (RFC 9110, section 9.2.2).
	idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete}
	// safeMethods change nothing, so their calls need no idempotency key.
	safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
)

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	if !route.CleanPath(r.URL.Path) {
		s.fail(w, c.id, newFailure(http.StatusBadRequest, CodeInvalidPath, "the path must have no empty, \".\" or \"..\" segment"))
		return
	}
	nonRepeatable := c.route.NonRepeatable(r.Method, c.subpath)
	key, f := idempotencyKey(r, nonRepeatable)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	body, release, f := s.readBody(w, r, c)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	defer release()
	account := budget.FromContext(r.Context())
	if key != "" {
		if !s.responseQuota.acquire(maxRecordedBodyBytes) {
			s.fail(w, c.id, unavailable(CodeEntryFull, "the buffered answers reached %d bytes", s.responseQuota.limit))
			return
		}
		// Reserved before the call runs, because it cannot be refused after that.
		if !account.Reserve(maxRecordedBodyBytes) {
			s.responseQuota.release(maxRecordedBodyBytes)
			s.fail(w, c.id, unavailable(CodeEntryFull, "the memory for callers is used up"))
			return
		}
	}
	c.recordEvent("request.accepted", 0, "", "route", c.route.Name, "organisation", c.organisation, "non_repeatable", strconv.FormatBool(nonRepeatable))
	x := newPlainCall(c, r, body, key, nonRepeatable)
	if key != "" {
		defer x.freeAnswer(account)
	}
	defer s.notifyEnd(r, x.apply)()
	x.apply(&request.Start{})
	x.respond(w)
}

// idempotencyKey returns the key to claim for a call, or "" if the call has none or
// needs none.
func idempotencyKey(r *http.Request, nonRepeatable bool) (string, *Failure) {
	values := r.Header.Values(headerIdempotency)
	if len(values) == 0 || !nonRepeatable && slices.Contains(safeMethods, r.Method) {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return "", newFailure(http.StatusBadRequest, CodeInvalidKey, "there must be one %s of 1 to %d bytes", headerIdempotency, maxIdempotencyKeyBytes)
	}
	if !utf8.ValidString(values[0]) {
		return "", newFailure(http.StatusBadRequest, CodeInvalidKey, "%s must be valid UTF-8", headerIdempotency)
	}
	return values[0], nil
}

// plainCall executes the actions of one request.Call. Every event is applied under
// mu. Actions never block.
type plainCall struct {
	*call
	r             *http.Request
	body          []byte
	key           string
	nonRepeatable bool

	responses chan upstreamResponse // a response to stream to the caller
	done      chan struct{}         // closed when the request has ended

	mu           sync.Mutex
	fsm          *request.Call
	timer        *time.Timer
	cancel       context.CancelFunc // cancels the current exchange
	ledgerAnswer *pb.RecordedAnswer // response to a keyed call, to be stored in the ledger
	oversized    *upstreamResponse  // response to a keyed call whose body is too large to be stored
	replayed     *pb.RecordedAnswer // response of an earlier call with the same key
	recordDone   chan struct{}      // closed when the last outcome is stored or storing it has timed out
}

func newPlainCall(c *call, r *http.Request, body []byte, key string, nonRepeatable bool) *plainCall {
	return &plainCall{
		call: c, r: r, body: body, key: key, nonRepeatable: nonRepeatable,
		responses: make(chan upstreamResponse, 1), done: make(chan struct{}), cancel: func() {},
		fsm: request.NewCall(request.CallSpec{
			NonRepeatable: nonRepeatable, Keyed: key != "", Idempotent: slices.Contains(idempotentMethods, r.Method),
			Deadline: c.deadline(), ClaimTimeout: c.srv.opts.Timeouts.Claim, MaxAttempts: maxPlainAttempts, Budget: c.srv.retryBudget,
		}),
	}
}

func (x *plainCall) apply(ev request.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, a := range x.fsm.Step(now, ev) {
		x.execute(a)
	}
	at := x.fsm.Deadline()
	switch {
	case at.IsZero() && x.timer != nil:
		x.timer.Stop()
	case at.IsZero():
	case x.timer == nil:
		x.timer = time.AfterFunc(at.Sub(now), func() { x.apply(&request.Tick{}) })
	default:
		x.timer.Reset(at.Sub(now))
	}
}

func (x *plainCall) execute(a request.Action) {
	switch a := a.(type) {
	case *request.ClaimKey:
		x.recordEvent("request.claiming", 0, "")
		// Runs in the background so that a drain waits for it: a late claim must be
		// withdrawn.
		x.srv.background(x.claimKey)
	case *request.Send:
		x.send(a)
	case *request.StopSend:
		x.cancel()
	case *request.RecordOutcome:
		x.recordOutcome(a)
	case *request.Replay:
		x.replayed = a.Answer
	case *request.Finish:
		x.finish(a.Outcome)
	}
}

func (x *plainCall) finish(o request.Outcome) {
	kind := "request.done"
	if o.Failure != request.FailureNone {
		kind = "request.failed"
	}
	x.recordEvent(kind, 0, "", "ran", o.Ran.String(), "reason", o.Message)
	close(x.done)
}

func (x *plainCall) claimKey() {
	ctx, cancel := context.WithTimeout(context.Background(), x.srv.opts.Timeouts.Claim)
	defer cancel()
	digest := sha256.New()
	_, _ = io.WriteString(digest, x.r.Method+"\n"+x.r.URL.RequestURI()+"\n")
	_, _ = digest.Write(x.body)
	resp, err := x.srv.opts.Control.Claim(ctx, &pb.ClaimRequest{
		Organisation: x.organisation, Key: x.key, Digest: digest.Sum(nil), RequestId: x.id,
		DeadlineMs: millis(time.Until(x.deadline())),
	})
	if err != nil {
		x.apply(&request.ClaimFailed{Message: "claiming the key: " + err.Error()})
		return
	}
	x.apply(&request.ClaimAnswered{Response: resp})
}

// send picks an upstream and starts the exchange with it.
func (x *plainCall) send(a *request.Send) {
	if a.Attempt > 1 {
		x.srv.vars.retries.Add(1)
	}
	exclude := slices.Clone(a.Exclude)
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline().Add(deadlineSlack))
	x.cancel = cancel
	go func() {
		u := x.srv.forwarder.picker.pick(time.Now(), x.srv.opts.Schedulers.Upstreams(x.route.Pool), exclude)
		if u == nil {
			cancel()
			x.apply(&request.NoUpstream{Attempt: a.Attempt})
			return
		}
		x.exchange(ctx, cancel, a.Attempt, u.State)
	}()
}

// exchange sends the call to one upstream and handles the response.
func (x *plainCall) exchange(ctx context.Context, cancel context.CancelFunc, attempt uint32, u *pb.UpstreamState) {
	x.recordEvent("request.sent", attempt, u.Id)
	runOnce := x.nonRepeatable || x.key != ""
	state := func() processState { return x.srv.processState(x.route.Pool, u) }
	resp, err := x.srv.forwarder.send(ctx, u.Url, x.r, x.body, x.id, runOnce, state)
	picker := x.srv.forwarder.picker
	if err != nil {
		cancel()
		picker.done(time.Now(), u.Id, upstream.KindOf(err) == upstream.KindNotSent && ctx.Err() == nil)
		x.apply(&request.SendFailed{Attempt: attempt, UpstreamID: u.Id, Kind: upstream.KindOf(err), Message: err.Error()})
		return
	}
	resp.Body = &closeHookBody{ReadCloser: resp.Body, onClose: func() { picker.done(time.Now(), u.Id, false) }}
	up := upstreamResponse{attempt: attempt, resp: resp, cancel: cancel}
	if resp.StatusCode < http.StatusOK {
		up.close()
		x.apply(&request.SendFailed{Attempt: attempt, UpstreamID: u.Id, Kind: upstream.KindOutcomeUnknown, Message: "the upstream answered with status " + resp.Status})
		return
	}
	if x.key != "" {
		x.apply(&request.ResponseStarted{Attempt: attempt})
		x.bufferResponse(up)
		return
	}
	x.deliver(up)
}

// processState returns what the pool's upstreams tell about the process that was sent a
// call. One that is no longer listed, or silent, tells nothing.
func (s *Server) processState(pool string, sent *pb.UpstreamState) processState {
	for _, u := range s.opts.Schedulers.Upstreams(pool) {
		if u.GetState().GetId() == sent.Id {
			return processState{
				replaced: u.State.Generation != sent.Generation || u.State.Url != sent.Url,
				leaving:  u.State.Leaving || u.Health == pb.UpstreamStatus_LEAVING,
			}
		}
	}
	return processState{}
}

// deliver passes a response to the handler that streams it to the caller, unless
// the request has ended. It holds mu so that writeOutcome finds every response
// that was passed on and not streamed.
func (x *plainCall) deliver(up upstreamResponse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fsm.Step(time.Now(), &request.ResponseStarted{Attempt: up.attempt})
	if x.fsm.State() == request.Done {
		up.close()
		return
	}
	// Never blocks, because the state machine accepts only one response.
	x.responses <- up
}

// bufferResponse reads the response to a keyed call, so that it can be recorded
// before the caller sees it.
func (x *plainCall) bufferResponse(up upstreamResponse) {
	stallTimer := time.AfterFunc(x.srv.opts.Timeouts.UpstreamStall, up.cancel)
	body, err := io.ReadAll(io.LimitReader(up.resp.Body, maxRecordedBodyBytes+1))
	stallTimer.Stop()
	if err != nil {
		up.close()
		x.apply(&request.SendFailed{Attempt: up.attempt, Kind: upstream.KindOutcomeUnknown, Message: "reading the upstream's answer: " + err.Error()})
		return
	}
	recorded := &pb.RecordedAnswer{Status: uint32(up.resp.StatusCode)}
	header := http.Header{}
	copyResponseHeader(header, up.resp.Header)
	for name, values := range header {
		for _, v := range values {
			recorded.Headers = append(recorded.Headers, &pb.Attribute{Key: name, Value: v})
		}
	}
	x.mu.Lock()
	x.ledgerAnswer = recorded
	if len(body) <= maxRecordedBodyBytes {
		recorded.Body = body
		up.close()
	} else {
		recorded.BodyOmitted = true
		up.resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), up.resp.Body), Closer: up.resp.Body}
		x.oversized = &up
	}
	x.mu.Unlock()
	x.apply(&request.ResponseComplete{Attempt: up.attempt})
}

// recordOutcome stores the outcome of a claimed call in the ledger, with retries
// for up to Timeouts.Record.
func (x *plainCall) recordOutcome(a *request.RecordOutcome) {
	req := &pb.RecordRequest{Organisation: x.organisation, Key: x.key, RequestId: x.id, NotRun: a.NotRun}
	if a.Response {
		req.Answer = x.ledgerAnswer
	}
	recordDone := make(chan struct{})
	x.recordDone = recordDone
	// Without x, which holds the request and its body.
	c, control, timeout := x.call, x.srv.opts.Control, x.srv.opts.Timeouts.Record
	x.srv.background(func() {
		defer close(recordDone)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		for {
			err := control.RecordOutcome(ctx, req)
			if err == nil {
				return
			}
			c.recordEvent("request.record_failed", 0, "", "reason", err.Error())
			sleep(ctx, recordRetryInterval)
			if ctx.Err() != nil {
				return
			}
		}
	})
}

// freeAnswer gives back the memory for the response to a keyed call: what the ledger is to store
// once it has, or storing it has timed out, and the rest at once.
func (x *plainCall) freeAnswer(account *budget.Account) {
	x.mu.Lock()
	recordDone, kept := x.recordDone, int64(min(cap(x.ledgerAnswer.GetBody()), maxRecordedBodyBytes))
	x.mu.Unlock()
	if recordDone == nil {
		kept = 0
	}
	quota := &x.srv.responseQuota
	quota.release(maxRecordedBodyBytes - kept)
	account.Release(maxRecordedBodyBytes - kept)
	if kept == 0 {
		return
	}
	release := account.Keep(kept)
	go func() {
		<-recordDone
		quota.release(kept)
		release()
	}()
}
