package request

import (
	"fmt"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Events of a Call.
type (
	// ClaimAnswered carries the ledger's response to ClaimKey.
	ClaimAnswered struct{ Response *pb.ClaimResponse }
	// ClaimFailed reports that the request to the ledger failed.
	ClaimFailed struct{ Message string }
	// NoUpstream reports that no upstream is left to send the call to.
	NoUpstream struct{ Attempt uint32 }
	// ResponseStarted reports that the upstream's response is being forwarded.
	ResponseStarted struct{ Attempt uint32 }
	// ResponseComplete reports that the whole response arrived.
	ResponseComplete struct{ Attempt uint32 }
	// SendFailed ends an attempt before or during its response.
	SendFailed struct {
		Attempt    uint32
		UpstreamID string
		Kind       upstream.ErrorKind
		Message    string
	}
)

// Actions of a Call.
type (
	// ClaimKey claims the idempotency key.
	ClaimKey struct{}
	// Send sends the call to an upstream that is not excluded.
	Send struct {
		Attempt uint32
		Exclude []string
	}
	// StopSend aborts the attempt's exchange with the upstream.
	StopSend struct{ Attempt uint32 }
	// RecordOutcome tells the ledger how a claimed call ended: not run, with a
	// response, or, when neither is set, with an unknown outcome.
	RecordOutcome struct {
		NotRun   bool
		Response bool
	}
	// Replay returns a recorded response to the caller.
	Replay struct{ Answer *pb.RecordedAnswer }
)

func (*ClaimAnswered) event()    {}
func (*ClaimFailed) event()      {}
func (*NoUpstream) event()       {}
func (*ResponseStarted) event()  {}
func (*ResponseComplete) event() {}
func (*SendFailed) event()       {}
func (*ClaimKey) action()        {}
func (*Send) action()            {}
func (*StopSend) action()        {}
func (*RecordOutcome) action()   {}
func (*Replay) action()          {}

// CallSpec describes one call on a plain route.
type CallSpec struct {
	// NonRepeatable is set when the call must run at most once.
	NonRepeatable bool
	// Keyed is set when the call has an idempotency key, which is claimed before
	// the call is sent.
	Keyed bool
	// Idempotent is set when the method may be retried after an unknown outcome.
	Idempotent bool
	Deadline   time.Time
	// ClaimTimeout is the timeout of the claim at the ledger.
	ClaimTimeout time.Duration
	// MaxAttempts is the maximum number of times that the call is sent.
	MaxAttempts int
	Budget      Budget
}

// Call is the state machine of one request on a plain route. Step never blocks
// and is not safe for concurrent use.
type Call struct {
	spec            CallSpec
	state           State
	attempt         uint32
	claimDeadline   time.Time
	exclude         []string
	responseStarted bool
	callerLeft      bool // the caller left while a claimed call was running
	ran             Ran
	outcome         Outcome
	actions         []Action
}

// NewCall returns the state machine of a call. Its first event must be Start.
func NewCall(spec CallSpec) *Call {
	return &Call{spec: spec}
}

// State returns the current state.
func (c *Call) State() State { return c.state }

// Outcome returns the result, which is valid in state Done.
func (c *Call) Outcome() Outcome { return c.outcome }

// Deadline returns the time at which the next Tick is due, the zero time when
// none is.
func (c *Call) Deadline() time.Time {
	switch {
	case c.state == Done || c.state == Accepted:
		return time.Time{}
	case c.state == Claiming && c.claimDeadline.Before(c.spec.Deadline):
		return c.claimDeadline
	}
	return c.spec.Deadline
}

// Step applies one event. The returned slice is valid until the next Step.
func (c *Call) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	if c.state == Done {
		c.handleLate(ev)
		return c.actions
	}
	switch ev := ev.(type) {
	case *Start:
		c.start(now)
	case *Tick:
		c.tick(now)
	case *CallerGone:
		c.callerGone()
	case *Stopped:
		c.stopped()
	case *ClaimAnswered:
		c.claimAnswered(ev.Response)
	case *ClaimFailed:
		if c.state == Claiming {
			c.claimFailed(ev.Message)
		}
	case *NoUpstream:
		if c.state == Sending && ev.Attempt == c.attempt {
			c.end(Outcome{Failure: FailureNoUpstream, Message: "no upstream is available", Ran: c.ran, RetryAfter: time.Second})
		}
	case *ResponseStarted:
		if c.state == Sending && ev.Attempt == c.attempt {
			c.responseStarted = true
			c.ran = RanYes
		}
	case *ResponseComplete:
		c.complete(ev)
	case *SendFailed:
		c.sendFailed(now, ev)
	}
	return c.actions
}

// addAction appends an action to the result of the current step.
func (c *Call) addAction(a Action) {
	c.actions = append(c.actions, a)
}

// handleLate withdraws a claim that is granted after the request ended.
func (c *Call) handleLate(ev Event) {
	if a, ok := ev.(*ClaimAnswered); ok && c.attempt == 0 && a.Response.Result == pb.ClaimResponse_CLAIMED {
		c.addAction(&RecordOutcome{NotRun: true})
	}
}

func (c *Call) start(now time.Time) {
	if c.state != Accepted {
		return
	}
	if c.spec.Keyed {
		c.state = Claiming
		c.claimDeadline = now.Add(c.spec.ClaimTimeout)
		c.addAction(&ClaimKey{})
		return
	}
	c.send()
}

func (c *Call) send() {
	c.state = Sending
	c.attempt++
	c.addAction(&Send{Attempt: c.attempt, Exclude: c.exclude})
}

func (c *Call) claimAnswered(r *pb.ClaimResponse) {
	if c.state != Claiming {
		return
	}
	switch r.Result {
	case pb.ClaimResponse_CLAIMED:
		c.send()
	case pb.ClaimResponse_RECORDED:
		c.addAction(&Replay{Answer: r.Answer})
		c.finish(Outcome{Ran: RanYes})
	case pb.ClaimResponse_IN_PROGRESS:
		c.finish(Outcome{Failure: FailureInProgress, Message: "a call with this key is running", Ran: RanUnknown, RetryAfter: time.Second})
	case pb.ClaimResponse_OUTCOME_UNKNOWN:
		c.finish(Outcome{Failure: FailureOutcomeUnknown, Message: "an earlier call with this key ended without a known outcome", Ran: RanUnknown})
	case pb.ClaimResponse_OTHER_BODY:
		c.finish(Outcome{Failure: FailureOtherBody, Message: "the key was used for a different request", Ran: RanNo})
	case pb.ClaimResponse_EXPIRED:
		c.finish(Outcome{Failure: FailureKeyExpired, Message: "the key has expired", Ran: RanUnknown})
	case pb.ClaimResponse_FULL:
		c.finish(Outcome{Failure: FailureLedgerFull, Message: "the ledger is full", Ran: RanNo, RetryAfter: time.Second})
	default:
		c.claimFailed(fmt.Sprintf("unknown claim result %d", r.Result))
	}
}

// claimFailed ends a call when it is not known whether the claim was made. The
// call was not sent, so the claim is withdrawn.
func (c *Call) claimFailed(message string) {
	c.addAction(&RecordOutcome{NotRun: true})
	c.finish(Outcome{Failure: FailureNoControl, Message: message, Ran: RanNo, RetryAfter: time.Second})
}

func (c *Call) tick(now time.Time) {
	if c.state == Accepted {
		return
	}
	if c.state == Claiming && !now.Before(c.claimDeadline) {
		c.claimFailed("the ledger did not answer in time")
		return
	}
	if now.Before(c.spec.Deadline) {
		return
	}
	if c.state == Claiming {
		c.claimFailed("the deadline passed before the key was claimed")
		return
	}
	c.markPossiblyRun()
	c.end(Outcome{Failure: FailureDeadline, Message: "the deadline passed before the upstream answered", Ran: c.ran})
}

// markPossiblyRun records that the call may have run.
func (c *Call) markPossiblyRun() {
	c.ran = max(c.ran, RanUnknown)
}

func (c *Call) callerGone() {
	o := Outcome{Failure: FailureCallerGone, Message: "the caller disconnected", Ran: c.ran}
	switch c.state {
	case Accepted:
		c.finish(o)
	case Claiming:
		c.addAction(&RecordOutcome{NotRun: true})
		c.finish(o)
	case Sending:
		if c.spec.Keyed {
			// The call continues, so that its response is recorded for a retry.
			c.callerLeft = true
			return
		}
		if !c.responseStarted {
			c.markPossiblyRun()
		}
		o.Ran = c.ran
		c.end(o)
	}
}

func (c *Call) stopped() {
	o := Outcome{Failure: FailureStopped, Message: stoppedMessage, RetryAfter: time.Second}
	switch c.state {
	case Accepted:
		c.finish(o)
	case Claiming:
		c.addAction(&RecordOutcome{NotRun: true})
		c.finish(o)
	case Sending:
		c.markPossiblyRun()
		o.Ran = c.ran
		c.end(o)
	}
}

func (c *Call) complete(ev *ResponseComplete) {
	if c.state != Sending || ev.Attempt != c.attempt {
		return
	}
	if c.spec.Keyed {
		c.addAction(&RecordOutcome{Response: true})
	}
	c.finish(Outcome{Ran: RanYes})
}

func (c *Call) sendFailed(now time.Time, ev *SendFailed) {
	if c.state != Sending || ev.Attempt != c.attempt {
		return
	}
	notRun := ev.Kind == upstream.KindNotSent || ev.Kind == upstream.KindNotRun
	if !notRun && !c.responseStarted {
		c.markPossiblyRun()
	}
	if c.takeRetry(now, notRun) {
		c.exclude = append(c.exclude, ev.UpstreamID)
		c.send()
		return
	}
	c.end(Outcome{Failure: FailureUpstream, Message: ev.Message, Ran: c.ran, RetryAfter: time.Second})
}

// takeRetry reports whether the call may be sent again and takes a retry from
// the budget. notRun is set when the failed attempt did not run.
func (c *Call) takeRetry(now time.Time, notRun bool) bool {
	allowed := notRun || c.spec.Idempotent
	if c.spec.NonRepeatable || c.spec.Keyed {
		// A claim covers a single run; without one, a non-repeatable call is sent
		// only once.
		allowed = notRun && c.spec.Keyed
	}
	if !allowed || c.responseStarted || int(c.attempt) >= c.spec.MaxAttempts || !now.Before(c.spec.Deadline) {
		return false
	}
	return c.spec.Budget.Withdraw(now)
}

// end finishes a call in state Sending: it aborts the current attempt and
// records the outcome of a claimed call. A call that must not run twice and may
// have run ends with FailureOutcomeUnknown unless the caller left.
func (c *Call) end(o Outcome) {
	c.addAction(&StopSend{Attempt: c.attempt})
	if c.spec.Keyed {
		c.addAction(&RecordOutcome{NotRun: o.Ran == RanNo})
	}
	if (c.spec.Keyed || c.spec.NonRepeatable) && o.Ran != RanNo && o.Failure != FailureCallerGone {
		o.Failure = FailureOutcomeUnknown
		o.RetryAfter = 0
	}
	c.finish(o)
}

// finish moves to state Done with the outcome.
func (c *Call) finish(o Outcome) {
	if c.callerLeft {
		o.Failure = FailureCallerGone
	}
	c.state = Done
	c.outcome = o
	c.addAction(&Finish{Outcome: o})
}
