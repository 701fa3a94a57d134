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

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/route"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	maxKeyBytes = 255
	// plainAttempts is the number of upstreams that one call may be sent to.
	plainAttempts = 3
	// recordWait is how long an answer waits for the ledger to store it. The
	// record is repeated in the background after that.
	recordWait  = time.Second
	recordRetry = 100 * time.Millisecond
	// maxRecordedBody is the largest answer body that is stored in the ledger.
	maxRecordedBody = 64 << 10
)

var (
	// idempotentMethods may be repeated (RFC 9110, section 9.2.2).
	idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete}
	// safeMethods have no effect that a key would have to protect.
	safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}
)

func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	if !route.CleanPath(r.URL.Path) {
		s.fail(w, c.id, refuse(http.StatusBadRequest, CodeInvalidPath, "the path must have no empty, \".\" or \"..\" segment"))
		return
	}
	nonRepeatable := c.route.NonRepeatable(r.Method, c.rest)
	key, f := idempotencyKey(r, nonRepeatable)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	body, free, f := s.readBody(w, r, c)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	defer free()
	if key != "" {
		if !s.answers.acquire(maxRecordedBody) {
			s.fail(w, c.id, unavailable(CodeEntryFull, "the buffered answers reached %d bytes", s.answers.limit))
			return
		}
		defer s.answers.release(maxRecordedBody)
	}
	c.event("request.accepted", 0, "", "route", c.route.Name, "organisation", c.organisation, "non_repeatable", strconv.FormatBool(nonRepeatable))
	x := newPlainCall(c, r, body, key, nonRepeatable)
	stop := context.AfterFunc(r.Context(), func() { x.apply(&request.CallerGone{}) })
	defer stop()
	x.apply(&request.Start{})
	x.answer(w)
}

// idempotencyKey returns the key under which a call is claimed, empty for none.
func idempotencyKey(r *http.Request, nonRepeatable bool) (string, *Failure) {
	values := r.Header.Values(headerIdempotency)
	if len(values) == 0 || !nonRepeatable && slices.Contains(safeMethods, r.Method) {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", refuse(http.StatusBadRequest, CodeInvalidKey, "there must be one %s of 1 to %d bytes", headerIdempotency, maxKeyBytes)
	}
	return values[0], nil
}

// reply is an upstream's answer, with the body still to be read.
type reply struct {
	attempt uint32
	resp    *http.Response
	cancel  context.CancelFunc
}

// plainCall carries out the actions of one request.Call. Every event is applied
// under mu; actions never block.
type plainCall struct {
	*call
	r             *http.Request
	body          []byte
	key           string
	nonRepeatable bool

	replies chan reply    // an answer to stream to the caller
	done    chan struct{} // closed by Finish

	mu       sync.Mutex
	machine  *request.Call
	timer    *time.Timer
	cancel   context.CancelFunc // ends the current exchange
	stored   *pb.RecordedAnswer // answer of a keyed call
	whole    *reply             // answer of a keyed call, larger than is stored
	replay   *pb.RecordedAnswer
	recorded chan struct{} // closed when the last record was stored or given up
}

func newPlainCall(c *call, r *http.Request, body []byte, key string, nonRepeatable bool) *plainCall {
	return &plainCall{
		call: c, r: r, body: body, key: key, nonRepeatable: nonRepeatable,
		replies: make(chan reply, 1), done: make(chan struct{}), cancel: func() {},
		machine: request.NewCall(request.CallSpec{
			NonRepeatable: nonRepeatable, Keyed: key != "", Idempotent: slices.Contains(idempotentMethods, r.Method),
			Deadline: c.deadline(), Claim: c.srv.opts.Timeouts.Claim, Attempts: plainAttempts, Budget: c.srv.budget,
		}),
	}
}

func (x *plainCall) apply(ev request.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, a := range x.machine.Step(now, ev) {
		x.carryOut(a)
	}
	at := x.machine.Deadline()
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

func (x *plainCall) carryOut(a request.Action) {
	switch a := a.(type) {
	case *request.ClaimKey:
		x.event("request.claiming", 0, "")
		// A drain waits for the answer, because a late claim must be withdrawn.
		x.srv.background(x.claim)
	case *request.Send:
		x.send(a)
	case *request.StopSend:
		x.cancel()
	case *request.RecordOutcome:
		x.record(a)
	case *request.Replay:
		x.replay = a.Answer
	case *request.Finish:
		x.finish(a.Outcome)
	}
}

func (x *plainCall) finish(o request.Outcome) {
	kind := "request.done"
	if o.Failure != request.FailureNone {
		kind = "request.failed"
	}
	x.event(kind, 0, "", "ran", o.Ran.String(), "reason", o.Message)
	close(x.done)
}

func (x *plainCall) claim() {
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

// send starts the exchange with an upstream.
func (x *plainCall) send(a *request.Send) {
	if a.Attempt > 1 {
		x.srv.vars.retries.Add(1)
	}
	exclude := slices.Clone(a.Exclude)
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline().Add(deadlineSlack))
	x.cancel = cancel
	go func() {
		u := x.srv.plain.picker.pick(time.Now(), x.srv.opts.Schedulers.Upstreams(x.route.Pool), exclude)
		if u == nil {
			cancel()
			x.apply(&request.NoUpstream{Attempt: a.Attempt})
			return
		}
		x.exchange(ctx, cancel, a.Attempt, u.State)
	}()
}

func (x *plainCall) exchange(ctx context.Context, cancel context.CancelFunc, attempt uint32, u *pb.UpstreamState) {
	x.event("request.sent", attempt, u.Id)
	once := x.nonRepeatable || x.key != ""
	resp, err := x.srv.plain.send(ctx, u.Url, x.r, x.body, x.id, once)
	picker := x.srv.plain.picker
	if err != nil {
		cancel()
		picker.done(time.Now(), u.Id, upstream.KindOf(err) == upstream.KindNotSent && ctx.Err() == nil)
		x.apply(&request.SendFailed{Attempt: attempt, UpstreamID: u.Id, Kind: upstream.KindOf(err), Message: err.Error()})
		return
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, onClose: func() { picker.done(time.Now(), u.Id, false) }}
	rep := reply{attempt: attempt, resp: resp, cancel: cancel}
	if resp.StatusCode < http.StatusOK {
		rep.close()
		x.apply(&request.SendFailed{Attempt: attempt, UpstreamID: u.Id, Kind: upstream.KindOutcomeUnknown, Message: "the upstream answered with status " + resp.Status})
		return
	}
	if x.key != "" {
		x.apply(&request.Answered{Attempt: attempt})
		x.store(rep)
		return
	}
	x.pass(rep)
}

// pass gives an answer to the caller's handler, unless the request ended. It
// holds mu so that conclude sees every answer that was passed.
func (x *plainCall) pass(rep reply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.machine.Step(time.Now(), &request.Answered{Attempt: rep.attempt})
	if x.machine.State() == request.Done {
		rep.close()
		return
	}
	// A machine takes one answer, so there is room.
	x.replies <- rep
}

// store reads the answer of a keyed call, so that it can be recorded before
// the caller sees it.
func (x *plainCall) store(rep reply) {
	silence := time.AfterFunc(x.srv.opts.Timeouts.BodySilence, rep.cancel)
	body, err := io.ReadAll(io.LimitReader(rep.resp.Body, maxRecordedBody+1))
	silence.Stop()
	if err != nil {
		rep.close()
		x.apply(&request.SendFailed{Attempt: rep.attempt, Kind: upstream.KindOutcomeUnknown, Message: "reading the upstream's answer: " + err.Error()})
		return
	}
	stored := &pb.RecordedAnswer{Status: uint32(rep.resp.StatusCode)}
	header := http.Header{}
	copyHeader(header, rep.resp.Header)
	for name, values := range header {
		for _, v := range values {
			stored.Headers = append(stored.Headers, &pb.Attribute{Key: name, Value: v})
		}
	}
	x.mu.Lock()
	x.stored = stored
	if len(body) <= maxRecordedBody {
		stored.Body = body
		rep.close()
	} else {
		stored.BodyOmitted = true
		rep.resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), rep.resp.Body), Closer: rep.resp.Body}
		x.whole = &rep
	}
	x.mu.Unlock()
	x.apply(&request.AnswerComplete{Attempt: rep.attempt})
}

// record tells the ledger how a claimed call ended, again until it is stored.
func (x *plainCall) record(a *request.RecordOutcome) {
	req := &pb.RecordRequest{Organisation: x.organisation, Key: x.key, RequestId: x.id, NotRun: a.NotRun}
	if a.Answer {
		req.Answer = x.stored
	}
	recorded := make(chan struct{})
	x.recorded = recorded
	x.srv.background(func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), x.srv.opts.Timeouts.Record)
		defer cancel()
		for {
			err := x.srv.opts.Control.Record(ctx, req)
			if err == nil {
				return
			}
			x.event("request.record_failed", 0, "", "reason", err.Error())
			sleep(ctx, recordRetry)
			if ctx.Err() != nil {
				return
			}
		}
	})
}

// answer waits for the outcome and passes it to the caller.
func (x *plainCall) answer(w http.ResponseWriter) {
	select {
	case rep := <-x.replies:
		x.stream(w, rep)
	case <-x.done:
		x.conclude(w)
	}
}

// stream passes an answer to the caller as it arrives. It ends the connection
// when the answer is cut off, because the header has already been sent.
func (x *plainCall) stream(w http.ResponseWriter, rep reply) {
	defer rep.close()
	writeHeader(w, rep.resp)
	callerErr, upstreamErr := x.srv.copyBody(w, rep.resp.Body, rep.cancel)
	switch {
	case callerErr != nil:
		x.apply(&request.CallerGone{})
	case upstreamErr != nil:
		x.apply(&request.SendFailed{Attempt: rep.attempt, Kind: upstream.KindOutcomeUnknown, Message: "reading the upstream's answer: " + upstreamErr.Error()})
	default:
		x.apply(&request.AnswerComplete{Attempt: rep.attempt})
		return
	}
	<-x.done
	panic(http.ErrAbortHandler)
}

// conclude answers a call whose answer was not streamed.
func (x *plainCall) conclude(w http.ResponseWriter) {
	x.mu.Lock()
	o, replay, stored, whole, recorded := x.machine.Outcome(), x.replay, x.stored, x.whole, x.recorded
	select {
	case rep := <-x.replies:
		// It arrived together with the deadline or the caller's disconnect.
		rep.close()
	default:
	}
	x.mu.Unlock()
	if whole != nil {
		defer whole.close()
	}
	if recorded != nil {
		select {
		case <-recorded:
		case <-time.After(recordWait):
		}
	}
	switch {
	case o.Failure != request.FailureNone:
		x.srv.fail(w, x.id, failureOf(o))
	case replay != nil:
		w.Header().Set(headerReplayed, "true")
		x.writeStored(w, replay)
	case whole != nil:
		writeHeader(w, whole.resp)
		if callerErr, upstreamErr := x.srv.copyBody(w, whole.resp.Body, whole.cancel); callerErr != nil || upstreamErr != nil {
			panic(http.ErrAbortHandler)
		}
	case stored != nil:
		x.writeStored(w, stored)
	}
}

func (x *plainCall) writeStored(w http.ResponseWriter, a *pb.RecordedAnswer) {
	if a.BodyOmitted {
		f := refuse(http.StatusGone, CodeAnswerNotStored, "the call ran and was answered with status %d; the answer was too large to be stored", a.Status)
		f.Ran = request.RanYes
		x.srv.fail(w, x.id, f)
		return
	}
	for _, h := range a.Headers {
		w.Header().Add(h.Key, h.Value)
	}
	w.WriteHeader(int(a.Status))
	_, _ = w.Write(a.Body)
}

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
}

func (r reply) close() {
	_ = r.resp.Body.Close()
	r.cancel()
}

// countedBody ends the picker's count of a call once.
type countedBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

func (b *countedBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}

// prefixedBody is a body whose first part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}
