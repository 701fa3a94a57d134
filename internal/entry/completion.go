package entry

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/upstream"
)

// deadlineSlack is how far contexts extend past the request's deadline, so that the
// state machine receives a Tick at the deadline before a call reports an expired
// context.
const deadlineSlack = time.Second

// maxReleaseDelay is the longest time that a release waits for the cancels at the
// engines of the hold. A longer wait for an unreachable engine would keep the
// memory of the other one reserved.
const maxReleaseDelay = 500 * time.Millisecond

// completion executes the actions of one request.Completion. Every event is
// applied under mu. Actions never block; calls run in goroutines that end with
// the attempt's context and report their results as events.
type completion struct {
	*call
	params *completionParams
	output *tokenQueue

	mu       sync.Mutex
	fsm      *request.Completion
	timer    *time.Timer
	timerDue time.Time

	// ctx is the context of the current submission or engine call.
	ctx    context.Context
	cancel context.CancelFunc
	// engineCalls waits for the engine calls of the current attempt.
	engineCalls *sync.WaitGroup
}

func newCompletion(c *call, in *completionParams) *completion {
	x := &completion{call: c, params: in, output: newTokenQueue(), cancel: func() {}}
	x.fsm = request.NewCompletion(request.Spec{
		PromptTokens:    upstream.EstimateTokens(len(in.prompt)),
		MaxOutputTokens: in.maxTokens,
		Deadline:        c.deadline(),
		Limits:          x.stageLimits(),
		Budget:          c.srv.retryBudget,
	})
	return x
}

// stageLimits returns the server's limits with the queue limit extended by the
// route's MaxWaitMs. The server's own queue limit covers the time in which a pool
// gets a new scheduler.
func (x *completion) stageLimits() request.Limits {
	limits := x.srv.opts.StageLimits
	limits.QueueTimeout += time.Duration(x.route.MaxWaitMs) * time.Millisecond
	return limits
}

// apply passes one event to the state machine and executes the resulting actions.
func (x *completion) apply(ev request.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, a := range x.fsm.Step(now, ev) {
		x.execute(a)
	}
	x.armTimer(now)
}

// armTimer sets the timer to fire at or before the state machine's deadline. When
// the deadline has moved later, the timer stays as set and the early Tick sets it
// again, so that not every token costs a timer reset.
func (x *completion) armTimer(now time.Time) {
	at := x.fsm.Deadline()
	if at.IsZero() {
		if x.timer != nil {
			x.timer.Stop()
		}
		return
	}
	if !x.timerDue.IsZero() && !at.Before(x.timerDue) {
		return
	}
	x.timerDue = at
	if x.timer == nil {
		x.timer = time.AfterFunc(at.Sub(now), x.onTimer)
		return
	}
	x.timer.Reset(at.Sub(now))
}

func (x *completion) onTimer() {
	x.mu.Lock()
	x.timerDue = time.Time{}
	x.mu.Unlock()
	x.apply(&request.Tick{})
}

func (x *completion) execute(a request.Action) {
	switch a := a.(type) {
	case *request.Emit:
		x.output.push(a.Text)
		x.srv.vars.tokens.Add(1)
	case *request.Submit:
		x.submit(a)
	case *request.Withdraw:
		x.cancel()
	case *request.StartPrefill:
		x.recordEvent("request.prefill", a.Attempt, a.Grant.Prefill.GetId())
		x.startCall(func(ctx context.Context) { x.prefill(ctx, a) })
	case *request.StartImport:
		x.recordEvent("request.transfer", a.Attempt, a.Grant.Decode.GetId())
		x.startCall(func(ctx context.Context) { x.importCache(ctx, a) })
	case *request.OpenStream:
		x.recordEvent("request.decode", a.Attempt, a.Grant.Decode.GetId(), "offset", strconv.Itoa(a.Offset), "connection", strconv.Itoa(int(a.Connection)))
		x.startCall(func(ctx context.Context) { x.readTokens(ctx, a) })
	case *request.ReportProgress:
		x.reportProgress(a)
	case *request.Release:
		x.release(a)
	case *request.Finish:
		x.finish(a)
	}
}

// startCall starts an engine call of the current attempt in a goroutine and cancels
// the previous call.
func (x *completion) startCall(fn func(ctx context.Context)) {
	x.cancel()
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline().Add(deadlineSlack))
	x.ctx, x.cancel = ctx, cancel
	engineCalls := x.engineCalls
	engineCalls.Add(1)
	go func() {
		defer engineCalls.Done()
		defer cancel()
		fn(ctx)
	}()
}

func (x *completion) submit(a *request.Submit) {
	if a.Attempt > 1 {
		x.srv.vars.retries.Add(1)
	}
	x.recordEvent("request.queued", a.Attempt, "", "pool", x.route.Pool, "class", x.route.RequestClass.String())
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline().Add(deadlineSlack))
	x.ctx, x.cancel = ctx, cancel
	x.engineCalls = &sync.WaitGroup{}
	req := &pb.SubmitRequest{
		RequestId: x.id, Attempt: a.Attempt, EntryId: x.srv.opts.ID, Pool: x.route.Pool,
		Organisation: x.organisation, Model: x.params.model, RequestClass: x.route.RequestClass,
		PromptTokens: uint32(a.PromptTokens), MaxOutputTokens: uint32(a.MaxOutputTokens),
		PrefixHashes: x.params.prefixHashes, MaxWaitMs: x.route.MaxWaitMs,
		DeadlineMs:   millis(time.Until(x.deadline())),
		TtftTargetMs: x.route.TtftTargetMs, TpotTargetMs: x.route.TpotTargetMs, Weights: x.route.Weights,
		Exclude: append([]string(nil), a.Exclude...), AgeMs: millis(time.Since(x.accepted)),
	}
	// Runs in the background so that a drain waits for it: a late grant must be
	// released.
	x.srv.background(func() {
		defer cancel()
		resp, err := x.srv.opts.Schedulers.Submit(ctx, req)
		if g := resp.GetGrant(); g != nil {
			x.recordEvent("request.granted", a.Attempt, g.Decode.GetId(), "hold", g.HoldId, "prefill", g.Prefill.GetId())
		}
		x.apply(submitEvent(a.Attempt, resp, err))
	})
}

// submitEvent returns the event for the result of a submission.
func submitEvent(attempt uint32, resp *pb.SubmitResponse, err error) request.Event {
	if err != nil {
		return &request.Refused{Attempt: attempt, Failure: request.FailureNoScheduler, Message: err.Error(), RetryAfter: time.Second}
	}
	if g := resp.GetGrant(); g != nil {
		return &request.Granted{Attempt: attempt, Grant: g}
	}
	r := resp.GetRefusal()
	failure := request.FailureOverloaded
	switch r.GetCode() {
	case pb.Refusal_NO_UPSTREAM:
		failure = request.FailureNoUpstream
	case pb.Refusal_TOO_LARGE:
		failure = request.FailureTooLarge
	case pb.Refusal_NOT_HOLDER, pb.Refusal_SHUTTING_DOWN:
		failure = request.FailureNoScheduler
	}
	retryAfter := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	if retryAfter == 0 && failure != request.FailureTooLarge {
		retryAfter = time.Second
	}
	return &request.Refused{Attempt: attempt, Failure: failure, Message: r.GetMessage(), RetryAfter: retryAfter}
}

func (x *completion) prefill(ctx context.Context, a *request.StartPrefill) {
	result, err := x.srv.opts.Engine(a.Grant.Prefill.GetUrl()).Prefill(ctx, &upstream.PrefillRequest{
		RequestID: x.id, Attempt: a.Attempt, Model: x.params.model, Prompt: x.params.prompt + a.Answer, Priority: a.Grant.Priority,
	})
	if err != nil {
		x.apply(&request.PrefillFailed{Attempt: a.Attempt, Kind: upstream.KindOf(err), Message: err.Error()})
		return
	}
	x.apply(&request.Prefilled{Attempt: a.Attempt, Result: result})
}

func (x *completion) importCache(ctx context.Context, a *request.StartImport) {
	err := x.srv.opts.Engine(a.Grant.Decode.GetUrl()).Import(ctx, &upstream.ImportRequest{
		RequestID: x.id, Attempt: a.Attempt, Model: x.params.model, SourceURL: a.Grant.Prefill.GetUrl(),
		Handle: a.Handle, Priority: a.Grant.Priority, MaxOutputTokens: a.MaxOutputTokens,
	})
	if err != nil {
		x.apply(&request.ImportFailed{Attempt: a.Attempt, Kind: upstream.KindOf(err), Message: err.Error()})
		return
	}
	x.apply(&request.Imported{Attempt: a.Attempt})
}

// readTokens passes the tokens of one decode connection to the state machine.
func (x *completion) readTokens(ctx context.Context, a *request.OpenStream) {
	lost := &request.StreamLost{Attempt: a.Attempt, Connection: a.Connection}
	stream, err := x.srv.opts.Engine(a.Grant.Decode.GetUrl()).Decode(ctx, &upstream.DecodeRequest{
		RequestID: x.id, Attempt: a.Attempt, Offset: a.Offset, MaxOutputTokens: a.MaxOutputTokens, Priority: a.Grant.Priority,
	})
	if err != nil {
		lost.Kind, lost.Message = upstream.KindOf(err), err.Error()
		x.apply(lost)
		return
	}
	defer stream.Close()
	// Closes the stream when ctx ends, because Next may ignore its context.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	ev := &request.TokenReceived{Connection: a.Connection}
	for {
		ev.Token, err = stream.Next()
		if err != nil {
			break
		}
		x.apply(ev)
		if ctx.Err() != nil {
			return
		}
	}
	lost.Kind, lost.Message = upstream.KindOf(err), err.Error()
	if err == io.EOF {
		lost.Kind, lost.Message = upstream.KindOutcomeUnknown, "the stream ended before the last token"
	}
	x.apply(lost)
}

func (x *completion) reportProgress(a *request.ReportProgress) {
	x.srv.opts.Schedulers.Progress(x.route.Pool, &pb.ProgressRequest{
		HoldId: a.HoldID, Stage: a.Stage, DurationUs: micros(a.Duration), Tokens: uint32(max(a.Tokens, 0)), KvBytes: uint64(max(a.KVBytes, 0)),
	})
}

// release stops the attempt's calls at once, then cancels the attempt at the engines
// in a.CancelAt and releases the hold in the background. If there are no engines to
// cancel at, it only releases the hold.
func (x *completion) release(a *request.Release) {
	req := &pb.ReleaseRequest{
		HoldId: a.HoldID, Outcome: a.Outcome, OutputTokens: uint32(a.OutputTokens),
		TpotUs: micros(a.TimePerToken), PrefillWasted: a.PrefillWasted,
	}
	x.recordEvent("request.released", a.Attempt, "", "hold", a.HoldID, "outcome", a.Outcome.String())
	if len(a.CancelAt) == 0 {
		x.srv.opts.Schedulers.Release(x.route.Pool, req)
		return
	}
	x.cancel()
	engineCalls := x.engineCalls
	x.srv.background(func() {
		// The engine must receive the cancel after the call that it cancels.
		engineCalls.Wait()
		cancelled := make(chan struct{})
		go func() {
			defer close(cancelled)
			x.srv.cancelOnEngines(x.call, a)
		}()
		select {
		case <-cancelled:
		case <-time.After(maxReleaseDelay):
		}
		x.srv.opts.Schedulers.Release(x.route.Pool, req)
		<-cancelled
	})
}

func (x *completion) finish(a *request.Finish) {
	x.cancel()
	o := a.Outcome
	kind := "request.done"
	if o.Failure != request.FailureNone {
		kind = "request.failed"
	}
	x.recordEvent(kind, x.fsm.Attempt(), "", "tokens", strconv.Itoa(o.OutputTokens), "ran", o.Ran.String(), "reason", o.Message)
	x.output.finish(o)
}

func millis(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 0))
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}
