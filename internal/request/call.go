package request

import (
	"fmt"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Events of a Call.
type (
	// ClaimAnswered is the ledger's answer to ClaimKey.
	ClaimAnswered struct{ Response *pb.ClaimResponse }
	// ClaimFailed tells that the ledger could not be asked.
	ClaimFailed struct{ Message string }
	// NoUpstream tells that no upstream is left to send the call to.
	NoUpstream struct{ Attempt uint32 }
	// Answered tells that the upstream's answer is being passed on.
	Answered struct{ Attempt uint32 }
	// AnswerComplete tells that the whole answer arrived.
	AnswerComplete struct{ Attempt uint32 }
	// SendFailed ends an attempt before or during its answer.
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
	// StopSend ends the attempt's exchange with the upstream.
	StopSend struct{ Attempt uint32 }
	// RecordOutcome tells the ledger how a claimed call ended: NotRun, or with
	// the answer, or with neither when the outcome is unknown.
	RecordOutcome struct {
		NotRun bool
		Answer bool
	}
	// Replay passes a recorded answer to the caller.
	Replay struct{ Answer *pb.RecordedAnswer }
)

func (*ClaimAnswered) event()  {}
func (*ClaimFailed) event()    {}
func (*NoUpstream) event()     {}
func (*Answered) event()       {}
func (*AnswerComplete) event() {}
func (*SendFailed) event()     {}
func (*ClaimKey) action()      {}
func (*Send) action()          {}
func (*StopSend) action()      {}
func (*RecordOutcome) action() {}
func (*Replay) action()        {}

// CallSpec describes one call on a plain route.
type CallSpec struct {
	// NonRepeatable: the call runs at most once.
	NonRepeatable bool
	// Keyed: the call has an idempotency key, which is claimed first.
	Keyed bool
	// Idempotent: the method may be repeated when the outcome is lost.
	Idempotent bool
	Deadline   time.Time
	// Claim bounds the wait for the ledger.
	Claim time.Duration
	// Attempts is the number of times that the call may be sent.
	Attempts int
	Budget   Budget
}

// Call is the state machine of one request on a plain route. Step never blocks
// and is not safe for concurrent use.
type Call struct {
	spec     CallSpec
	state    State
	attempt  uint32
	claimEnd time.Time
	exclude  []string
	answered bool
	gone     bool // the caller left while a claimed call was running
	ran      Ran
	outcome  Outcome
	actions  []Action
}

// NewCall returns the machine of one call; the first event is Start.
func NewCall(spec CallSpec) *Call {
	return &Call{spec: spec}
}

// State returns the current state.
func (c *Call) State() State { return c.state }

// Outcome returns the result; it is valid in state Done.
func (c *Call) Outcome() Outcome { return c.outcome }

// Deadline returns the time at which a Tick is due; zero when none is.
func (c *Call) Deadline() time.Time {
	switch {
	case c.state == Done || c.state == Accepted:
		return time.Time{}
	case c.state == Claiming && c.claimEnd.Before(c.spec.Deadline):
		return c.claimEnd
	}
	return c.spec.Deadline
}

// Step applies one event. The returned slice is valid until the next Step.
func (c *Call) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	if c.state == Done {
		c.late(ev)
		return c.actions
	}
	switch ev := ev.(type) {
	case *Start:
		c.start(now)
	case *Tick:
		c.tick(now)
	case *CallerGone:
		c.callerGone()
	case *ClaimAnswered:
		c.claimAnswered(ev.Response)
	case *ClaimFailed:
		if c.state == Claiming {
			c.claimLost(ev.Message)
		}
	case *NoUpstream:
		if c.state == Sending && ev.Attempt == c.attempt {
			c.end(Outcome{Failure: FailureNoUpstream, Message: "no upstream is available", Ran: c.ran, RetryAfter: time.Second})
		}
	case *Answered:
		if c.state == Sending && ev.Attempt == c.attempt {
			c.answered = true
			c.ran = RanYes
		}
	case *AnswerComplete:
		c.complete(ev)
	case *SendFailed:
		c.sendFailed(now, ev)
	}
	return c.actions
}

func (c *Call) do(a Action) {
	c.actions = append(c.actions, a)
}

// late withdraws a claim that is granted after the request ended.
func (c *Call) late(ev Event) {
	if a, ok := ev.(*ClaimAnswered); ok && c.attempt == 0 && a.Response.Result == pb.ClaimResponse_CLAIMED {
		c.do(&RecordOutcome{NotRun: true})
	}
}

func (c *Call) start(now time.Time) {
	if c.state != Accepted {
		return
	}
	if c.spec.Keyed {
		c.state = Claiming
		c.claimEnd = now.Add(c.spec.Claim)
		c.do(&ClaimKey{})
		return
	}
	c.send()
}

func (c *Call) send() {
	c.state = Sending
	c.attempt++
	c.do(&Send{Attempt: c.attempt, Exclude: c.exclude})
}

func (c *Call) claimAnswered(r *pb.ClaimResponse) {
	if c.state != Claiming {
		return
	}
	switch r.Result {
	case pb.ClaimResponse_CLAIMED:
		c.send()
	case pb.ClaimResponse_RECORDED:
		c.do(&Replay{Answer: r.Answer})
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
		c.claimLost(fmt.Sprintf("unknown claim result %d", r.Result))
	}
}

// claimLost ends a call whose claim may have been made but is not known to be.
// Nothing was sent, so the claim is withdrawn.
func (c *Call) claimLost(message string) {
	c.do(&RecordOutcome{NotRun: true})
	c.finish(Outcome{Failure: FailureNoControl, Message: message, Ran: RanNo, RetryAfter: time.Second})
}

func (c *Call) tick(now time.Time) {
	if c.state == Accepted {
		return
	}
	if c.state == Claiming && !now.Before(c.claimEnd) {
		c.claimLost("the ledger did not answer in time")
		return
	}
	if now.Before(c.spec.Deadline) {
		return
	}
	if c.state == Claiming {
		c.claimLost("the deadline passed before the key was claimed")
		return
	}
	c.lose()
	c.end(Outcome{Failure: FailureDeadline, Message: "the deadline passed before the upstream answered", Ran: c.ran})
}

// lose notes that the call may have run.
func (c *Call) lose() {
	c.ran = max(c.ran, RanUnknown)
}

func (c *Call) callerGone() {
	o := Outcome{Failure: FailureCallerGone, Message: "the caller disconnected", Ran: c.ran}
	switch c.state {
	case Accepted:
		c.finish(o)
	case Claiming:
		c.do(&RecordOutcome{NotRun: true})
		c.finish(o)
	case Sending:
		if c.spec.Keyed {
			// The call goes on, so that its answer is recorded for a repeat.
			c.gone = true
			return
		}
		if !c.answered {
			c.lose()
		}
		o.Ran = c.ran
		c.end(o)
	}
}

func (c *Call) complete(ev *AnswerComplete) {
	if c.state != Sending || ev.Attempt != c.attempt {
		return
	}
	if c.spec.Keyed {
		c.do(&RecordOutcome{Answer: true})
	}
	c.finish(Outcome{Ran: RanYes})
}

func (c *Call) sendFailed(now time.Time, ev *SendFailed) {
	if c.state != Sending || ev.Attempt != c.attempt {
		return
	}
	untouched := ev.Kind == upstream.KindNotSent || ev.Kind == upstream.KindNotRun
	if !untouched && !c.answered {
		c.lose()
	}
	if c.mayRetry(now, untouched) {
		c.exclude = append(c.exclude, ev.UpstreamID)
		c.send()
		return
	}
	c.end(Outcome{Failure: FailureUpstream, Message: ev.Message, Ran: c.ran, RetryAfter: time.Second})
}

func (c *Call) mayRetry(now time.Time, untouched bool) bool {
	safe := untouched || c.spec.Idempotent
	if c.spec.NonRepeatable || c.spec.Keyed {
		// The claim covers one run; without one the call is sent once.
		safe = untouched && c.spec.Keyed
	}
	if !safe || c.answered || int(c.attempt) >= c.spec.Attempts || !now.Before(c.spec.Deadline) {
		return false
	}
	return c.spec.Budget.Withdraw(now)
}

// end finishes a call that was given to an upstream.
func (c *Call) end(o Outcome) {
	c.do(&StopSend{Attempt: c.attempt})
	if c.spec.Keyed {
		c.do(&RecordOutcome{NotRun: o.Ran == RanNo})
	}
	if (c.spec.Keyed || c.spec.NonRepeatable) && o.Ran != RanNo && o.Failure != FailureCallerGone {
		o.Failure = FailureOutcomeUnknown
		o.RetryAfter = 0
	}
	c.finish(o)
}

func (c *Call) finish(o Outcome) {
	if c.gone {
		o.Failure = FailureCallerGone
	}
	c.state = Done
	c.outcome = o
	c.do(&Finish{Outcome: o})
}
