package request

import (
	"fmt"
	"slices"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Limits contains the timeout of each stage and the maximum number of attempts.
type Limits struct {
	// QueueTimeout is the longest time from a submission to the scheduler's
	// response.
	QueueTimeout time.Duration
	// PrefillTimeout is the timeout of a prefill; PrefillPerToken is added for each
	// prompt token.
	PrefillTimeout  time.Duration
	PrefillPerToken time.Duration
	// TransferTimeout is the timeout of a KV cache transfer for which the grant
	// sets none.
	TransferTimeout time.Duration
	// StallTimeout is the longest time without a token on a decode stream.
	StallTimeout time.Duration
	// MaxReconnects is the maximum number of consecutive reconnects to the same
	// decode engine without a token in between.
	MaxReconnects int
	// MaxAttempts is the maximum number of reservations of one request.
	MaxAttempts int
	// MaxLostBeforeToken is the number of decode engines that may be lost before the
	// first token. A prompt that crashes engines must not reach one after the other.
	MaxLostBeforeToken int
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		QueueTimeout: 5 * time.Second,
		// A prefill engine at a tenth of the usual rate prefills 1,000 tokens per
		// second.
		PrefillTimeout: 2 * time.Second, PrefillPerToken: time.Millisecond,
		TransferTimeout: 2 * time.Second,
		// The engine client closes a stream that carries neither tokens nor
		// comments for 3 s. This limit catches an engine that sends comments only.
		StallTimeout:       5 * time.Second,
		MaxReconnects:      2,
		MaxAttempts:        4,
		MaxLostBeforeToken: 2,
	}
}

// Budget limits retries over all requests of a process.
type Budget interface {
	// Withdraw takes one retry and reports whether the budget allowed it.
	Withdraw(now time.Time) bool
}

// Spec describes one completion.
type Spec struct {
	// PromptTokens is an estimate; the prefill engine reports the exact number.
	PromptTokens    int
	MaxOutputTokens int
	Deadline        time.Time
	Limits          Limits
	Budget          Budget
}

// Completion is the state machine of one request on an engine route. Step
// never blocks and is not safe for concurrent use.
type Completion struct {
	spec  Spec
	state State

	attempt       uint32
	grant         *pb.Grant
	stageStart    time.Time
	stageDeadline time.Time
	exclude       []string
	grantedHolds  []string // every hold that was granted to this request

	prefillSent bool // the attempt's prefill may occupy its engine
	importSent  bool // the attempt may occupy the decode engine
	connection  uint32
	reconnects  int
	lostEngines int // decode engines that were lost before the first token
	baseTokens  int // output tokens before this attempt
	firstToken  time.Time

	answer       []byte
	emitted      int
	promptTokens int
	ran          Ran
	outcome      Outcome

	actions  []Action
	lastEmit Emit // the Emit action of the current step, reused
}

// NewCompletion returns the state machine of a completion. Its first event must
// be Start.
func NewCompletion(spec Spec) *Completion {
	return &Completion{spec: spec, promptTokens: spec.PromptTokens}
}

// State returns the current state.
func (c *Completion) State() State { return c.state }

// Attempt returns the number of the current attempt, counted from 1.
func (c *Completion) Attempt() uint32 { return c.attempt }

// Emitted returns the number of output tokens sent to the caller so far.
func (c *Completion) Emitted() int { return c.emitted }

// Outcome returns the result, which is valid in state Done.
func (c *Completion) Outcome() Outcome { return c.outcome }

// Deadline returns the time at which the next Tick is due, the zero time when
// none is.
func (c *Completion) Deadline() time.Time {
	if c.state == Done || c.state == Accepted {
		return time.Time{}
	}
	if c.stageDeadline.Before(c.spec.Deadline) {
		return c.stageDeadline
	}
	return c.spec.Deadline
}

// Step applies one event. The returned slice and the actions in it are valid
// until the next Step.
func (c *Completion) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	if c.state == Done {
		c.handleLate(ev)
		return c.actions
	}
	switch ev := ev.(type) {
	case *Start:
		if c.state == Accepted {
			c.submit(now)
		}
	case *Tick:
		c.tick(now)
	case *CallerGone:
		c.finish(now, Outcome{Failure: FailureCallerGone, Message: "the caller disconnected"}, pb.ReleaseRequest_CANCELLED)
	case *Stopped:
		c.finish(now, Outcome{Failure: FailureStopped, Message: stoppedMessage, RetryAfter: time.Second}, pb.ReleaseRequest_CANCELLED)
	case *Granted:
		c.granted(now, ev)
	case *Refused:
		c.refused(now, ev)
	case *Prefilled:
		c.prefilled(now, ev)
	case *PrefillFailed:
		c.prefillFailed(now, ev)
	case *Imported:
		c.imported(now, ev)
	case *ImportFailed:
		c.importFailed(now, ev)
	case *TokenReceived:
		c.tokenReceived(now, ev)
	case *StreamLost:
		c.streamLost(now, ev)
	}
	return c.actions
}

// addAction appends an action to the result of the current step.
func (c *Completion) addAction(a Action) {
	c.actions = append(c.actions, a)
}

// handleLate releases a grant that no attempt is waiting for.
func (c *Completion) handleLate(ev Event) {
	if g, ok := ev.(*Granted); ok && !c.seenHold(g.Grant) {
		c.addAction(&Release{Attempt: g.Attempt, HoldID: g.Grant.HoldId, Outcome: pb.ReleaseRequest_NOT_STARTED})
	}
}

// seenHold reports whether the grant was received before, and records its hold.
func (c *Completion) seenHold(g *pb.Grant) bool {
	if slices.Contains(c.grantedHolds, g.HoldId) {
		return true
	}
	c.grantedHolds = append(c.grantedHolds, g.HoldId)
	return false
}

// submit starts the next attempt.
func (c *Completion) submit(now time.Time) {
	c.attempt++
	c.state = Queued
	c.stageStart = now
	c.stageDeadline = now.Add(c.spec.Limits.QueueTimeout)
	c.grant = nil
	c.prefillSent = false
	c.importSent = false
	c.reconnects = 0
	c.baseTokens = c.emitted
	c.firstToken = time.Time{}
	c.addAction(&Submit{
		Attempt:         c.attempt,
		PromptTokens:    c.spec.PromptTokens + c.emitted,
		MaxOutputTokens: c.spec.MaxOutputTokens - c.emitted,
		Exclude:         c.exclude,
	})
}

func (c *Completion) tick(now time.Time) {
	if c.state == Accepted {
		return
	}
	if !now.Before(c.spec.Deadline) {
		c.finish(now, Outcome{
			Failure: FailureDeadline, Message: fmt.Sprintf("the deadline passed in state %s", c.state),
		}, pb.ReleaseRequest_CANCELLED)
		return
	}
	if now.Before(c.stageDeadline) {
		return
	}
	switch c.state {
	case Queued:
		c.finish(now, Outcome{
			Failure: FailureNoScheduler, Message: "the scheduler did not answer in time", RetryAfter: time.Second,
		}, pb.ReleaseRequest_NOT_STARTED)
	case Reserved:
		c.startPrefill(now)
	case Prefill:
		c.prefillFailed(now, &PrefillFailed{Attempt: c.attempt, Kind: upstream.KindStalled, Message: "no result within the time limit"})
	case Transfer:
		c.importFailed(now, &ImportFailed{Attempt: c.attempt, Kind: upstream.KindStalled, Message: "no result within the time limit"})
	case Decode:
		c.streamLost(now, &StreamLost{Attempt: c.attempt, Connection: c.connection, Kind: upstream.KindStalled, Message: "no token within the time limit"})
	}
}

func (c *Completion) granted(now time.Time, ev *Granted) {
	if c.state != Queued || ev.Attempt != c.attempt {
		c.handleLate(ev)
		return
	}
	if c.seenHold(ev.Grant) {
		return
	}
	c.grant = ev.Grant
	c.state = Reserved
	c.stageDeadline = now.Add(time.Duration(ev.Grant.PrefillDelayMs) * time.Millisecond)
	if ev.Grant.PrefillDelayMs == 0 {
		c.startPrefill(now)
	}
}

func (c *Completion) refused(now time.Time, ev *Refused) {
	if c.state != Queued || ev.Attempt != c.attempt {
		return
	}
	c.finish(now, Outcome{Failure: ev.Failure, Message: ev.Message, RetryAfter: ev.RetryAfter}, pb.ReleaseRequest_NOT_STARTED)
}

func (c *Completion) startPrefill(now time.Time) {
	c.state = Prefill
	c.stageStart = now
	c.stageDeadline = now.Add(c.spec.Limits.PrefillTimeout + time.Duration(c.promptTokens+c.emitted)*c.spec.Limits.PrefillPerToken)
	c.prefillSent = true
	c.reportProgress(pb.ProgressRequest_PREFILL_STARTED, 0, 0, 0)
	c.addAction(&StartPrefill{Attempt: c.attempt, Grant: c.grant, Answer: string(c.answer)})
}

func (c *Completion) prefilled(now time.Time, ev *Prefilled) {
	if c.state != Prefill || ev.Attempt != c.attempt {
		return
	}
	c.ran = RanYes
	if c.baseTokens == 0 && ev.Result.PromptTokens > 0 {
		c.promptTokens = ev.Result.PromptTokens
	}
	c.reportProgress(pb.ProgressRequest_PREFILL_DONE, now.Sub(c.stageStart), ev.Result.PromptTokens-ev.Result.CachedTokens, ev.Result.KVBytes)
	c.state = Transfer
	c.stageStart = now
	limit := time.Duration(c.grant.TransferLimitMs) * time.Millisecond
	if limit == 0 {
		limit = c.spec.Limits.TransferTimeout
	}
	c.stageDeadline = now.Add(limit)
	c.importSent = true
	c.addAction(&StartImport{
		Attempt: c.attempt, Grant: c.grant, Handle: ev.Result.Handle, MaxOutputTokens: c.spec.MaxOutputTokens - c.baseTokens,
	})
}

func (c *Completion) prefillFailed(now time.Time, ev *PrefillFailed) {
	if c.state != Prefill || ev.Attempt != c.attempt {
		return
	}
	c.updateRan(ev.Kind)
	if ev.Kind == upstream.KindNotSent || ev.Kind == upstream.KindNotRun || ev.Kind == upstream.KindRejected {
		c.prefillSent = false
	}
	if ev.Kind == upstream.KindRejected {
		c.finish(now, Outcome{Failure: FailureRejected, Message: ev.Message}, pb.ReleaseRequest_PREFILL_FAILED)
		return
	}
	c.retry(now, c.grant.GetPrefill().GetId(), pb.ReleaseRequest_PREFILL_FAILED, "prefill: "+ev.Message)
}

func (c *Completion) imported(now time.Time, ev *Imported) {
	if c.state != Transfer || ev.Attempt != c.attempt {
		return
	}
	c.reportProgress(pb.ProgressRequest_TRANSFER_DONE, now.Sub(c.stageStart), 0, 0)
	c.state = Decode
	c.stageStart = now
	c.openStream(now)
}

func (c *Completion) importFailed(now time.Time, ev *ImportFailed) {
	if c.state != Transfer || ev.Attempt != c.attempt {
		return
	}
	failedUpstream := c.grant.GetDecode().GetId()
	if ev.Kind == upstream.KindGone {
		// The KV cache expired at the prefill engine; neither engine failed.
		failedUpstream = ""
	}
	c.retry(now, failedUpstream, pb.ReleaseRequest_TRANSFER_FAILED, "transfer: "+ev.Message)
}

func (c *Completion) openStream(now time.Time) {
	c.connection++
	c.stageDeadline = now.Add(c.spec.Limits.StallTimeout)
	c.addAction(&OpenStream{
		Attempt: c.attempt, Connection: c.connection, Grant: c.grant,
		Offset: c.emitted - c.baseTokens, MaxOutputTokens: c.spec.MaxOutputTokens - c.baseTokens,
	})
}

func (c *Completion) tokenReceived(now time.Time, ev *TokenReceived) {
	if c.state != Decode || ev.Token.Attempt != c.attempt || ev.Connection != c.connection {
		return
	}
	next := c.emitted - c.baseTokens
	if ev.Token.Offset < next {
		return
	}
	if ev.Token.Offset > next {
		c.streamLost(now, &StreamLost{
			Attempt: c.attempt, Connection: c.connection, Kind: upstream.KindOutcomeUnknown,
			Message: fmt.Sprintf("token %d arrived in place of token %d", ev.Token.Offset, next),
		})
		return
	}
	if next == 0 {
		c.firstToken = now
		c.reportProgress(pb.ProgressRequest_FIRST_TOKEN, now.Sub(c.stageStart), 1, 0)
	}
	c.reconnects = 0
	c.stageDeadline = now.Add(c.spec.Limits.StallTimeout)
	c.answer = append(c.answer, ev.Token.Text...)
	c.lastEmit = Emit{Offset: c.emitted, Text: ev.Token.Text}
	c.emitted++
	c.addAction(&c.lastEmit)
	finishReason := ev.Token.Finish
	if finishReason == "" && c.emitted >= c.spec.MaxOutputTokens {
		finishReason = "length"
	}
	if finishReason != "" {
		c.finish(now, Outcome{Finish: finishReason}, pb.ReleaseRequest_COMPLETED)
	}
}

func (c *Completion) streamLost(now time.Time, ev *StreamLost) {
	if c.state != Decode || ev.Attempt != c.attempt || ev.Connection != c.connection {
		return
	}
	sameEngine := ev.Kind == upstream.KindOutcomeUnknown || ev.Kind == upstream.KindStalled
	if sameEngine && c.reconnects < c.spec.Limits.MaxReconnects {
		c.reconnects++
		c.openStream(now)
		return
	}
	// A stream that was never opened says nothing about the prompt.
	if c.emitted == 0 && c.reconnects > 0 {
		c.lostEngines++
	}
	c.retry(now, c.grant.GetDecode().GetId(), pb.ReleaseRequest_DECODE_FAILED, "decode: "+ev.Message)
}

// retry ends the attempt and starts the next one if the limits and the budget
// allow it. failedUpstream is excluded from later attempts.
func (c *Completion) retry(now time.Time, failedUpstream string, outcome pb.ReleaseRequest_Outcome, message string) {
	if failedUpstream != "" {
		c.exclude = append(c.exclude, failedUpstream)
	}
	limits := &c.spec.Limits
	allowed := int(c.attempt) < limits.MaxAttempts && c.lostEngines < limits.MaxLostBeforeToken && now.Before(c.spec.Deadline)
	if !allowed || !c.spec.Budget.Withdraw(now) {
		c.finish(now, Outcome{Failure: FailureUpstream, Message: message, RetryAfter: time.Second}, outcome)
		return
	}
	c.release(now, outcome)
	c.submit(now)
}

func (c *Completion) finish(now time.Time, o Outcome, releaseOutcome pb.ReleaseRequest_Outcome) {
	if c.state == Prefill && c.prefillSent {
		// The engine was sent the prompt and has not reported a result.
		c.ran = max(c.ran, RanUnknown)
	}
	o.Ran = c.ran
	if c.state == Queued {
		c.addAction(&Withdraw{Attempt: c.attempt})
	}
	c.release(now, releaseOutcome)
	c.state = Done
	o.PromptTokens = c.promptTokens
	o.OutputTokens = c.emitted
	c.outcome = o
	c.addAction(&Finish{Outcome: o})
}

// release ends the hold of the current attempt, if there is one.
func (c *Completion) release(now time.Time, outcome pb.ReleaseRequest_Outcome) {
	if c.grant == nil || c.state == Queued {
		return
	}
	if c.state == Reserved {
		outcome = pb.ReleaseRequest_NOT_STARTED
	}
	r := &Release{
		Attempt: c.attempt, HoldID: c.grant.HoldId, Outcome: outcome, OutputTokens: c.emitted - c.baseTokens,
		PrefillWasted: c.prefillSent && c.emitted == c.baseTokens,
	}
	if r.OutputTokens > 1 {
		r.TimePerToken = now.Sub(c.firstToken) / time.Duration(r.OutputTokens-1)
	}
	if outcome != pb.ReleaseRequest_COMPLETED {
		if c.prefillSent {
			r.CancelAt = append(r.CancelAt, c.grant.Prefill)
		}
		if c.importSent {
			r.CancelAt = append(r.CancelAt, c.grant.Decode)
		}
	}
	c.addAction(r)
}

func (c *Completion) reportProgress(stage pb.ProgressRequest_Stage, d time.Duration, tokens int, kvBytes int64) {
	c.addAction(&ReportProgress{Attempt: c.attempt, HoldID: c.grant.HoldId, Stage: stage, Duration: d, Tokens: tokens, KVBytes: kvBytes})
}

// updateRan records whether a prefill that failed with an error of this kind may
// have run.
func (c *Completion) updateRan(kind upstream.ErrorKind) {
	switch kind {
	case upstream.KindNotSent, upstream.KindNotRun, upstream.KindRejected:
	case upstream.KindFailed:
		c.ran = RanYes
	default:
		c.ran = max(c.ran, RanUnknown)
	}
}
