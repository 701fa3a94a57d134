package request

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// simulation runs one Completion against a simulated scheduler, engines and
// caller. It tracks what each of them has reserved, and delivers their messages
// in any order, late and more than once.
type simulation struct {
	t           *rapid.T
	m           *Completion
	now         time.Time
	totalTokens int // output tokens of the whole answer

	pending       []Event // messages not yet delivered to the machine
	holds         map[string]bool
	released      map[string]bool
	prefillMemory map[uint32]bool // by attempt, whether it is in use
	decodeMemory  map[uint32]bool // by attempt, whether it is in use
	baseTokens    map[uint32]int  // output tokens in the prompt of an attempt
	anyRan        bool

	answer   string
	emitted  int
	finished []Outcome
}

type randomBudget struct{ t *rapid.T }

func (b randomBudget) Withdraw(time.Time) bool {
	return rapid.IntRange(0, 4).Draw(b.t, "budget") > 0
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), totalTokens: rapid.IntRange(1, 5).Draw(t, "total"),
		holds: map[string]bool{}, released: map[string]bool{}, prefillMemory: map[uint32]bool{}, decodeMemory: map[uint32]bool{}, baseTokens: map[uint32]int{},
	}
	s.m = NewCompletion(Spec{
		PromptTokens: 10, MaxOutputTokens: rapid.IntRange(1, 6).Draw(t, "max"), Deadline: s.now.Add(time.Duration(rapid.SampledFrom([]int{2, 20}).Draw(t, "deadline")) * time.Second),
		Limits: DefaultLimits(), Budget: randomBudget{t},
	})
	return s
}

func tokenText(i int) string { return fmt.Sprintf("<%d>", i) }

func (s *simulation) step(ev Event) {
	for _, a := range s.m.Step(s.now, ev) {
		s.perform(a)
	}
	if _, ok := ev.(*Tick); ok && !s.now.Before(s.m.spec.Deadline) && s.m.State() != Done {
		s.t.Fatalf("state %s after the deadline", s.m.State())
	}
}

func (s *simulation) perform(a Action) {
	if len(s.finished) > 0 {
		if r, ok := a.(*Release); !ok || r.Outcome != pb.ReleaseRequest_NOT_STARTED {
			s.t.Fatalf("%T after Finish", a)
		}
	}
	switch a := a.(type) {
	case *Submit:
		s.submitted(a)
	case *StartPrefill:
		s.prefillStarted(a)
	case *StartImport:
		s.decodeMemory[a.Attempt] = true
		// Prefill engines free a KV cache that was fetched. The simulated one
		// keeps it until the hold is released.
		s.reply(&Imported{Attempt: a.Attempt}, &ImportFailed{Attempt: a.Attempt, Kind: s.randomKind()})
	case *OpenStream:
		s.streamOpened(a)
	case *Emit:
		if a.Offset != s.emitted {
			s.t.Fatalf("token %d emitted in place of %d", a.Offset, s.emitted)
		}
		s.emitted++
		s.answer += a.Text
	case *Release:
		s.release(a)
	case *Finish:
		s.finished = append(s.finished, a.Outcome)
	}
}

func (s *simulation) randomKind() upstream.ErrorKind {
	return rapid.SampledFrom([]upstream.ErrorKind{
		upstream.KindNotSent, upstream.KindNotRun, upstream.KindRejected, upstream.KindFailed, upstream.KindOutcomeUnknown, upstream.KindGone,
	}).Draw(s.t, "kind")
}

// reply queues one of the events, or none when the sender does not respond. The
// first event is the most likely.
func (s *simulation) reply(events ...Event) {
	if i := rapid.IntRange(0, 2*len(events)).Draw(s.t, "reply"); i < len(events) {
		s.pending = append(s.pending, events[i])
	} else if i < 2*len(events) {
		s.pending = append(s.pending, events[0])
	}
}

func (s *simulation) submitted(a *Submit) {
	if a.MaxOutputTokens < 1 {
		s.t.Fatalf("submission for %d tokens", a.MaxOutputTokens)
	}
	switch rapid.IntRange(0, 9).Draw(s.t, "scheduler") {
	case 0:
		s.pending = append(s.pending, &Refused{Attempt: a.Attempt, Failure: FailureOverloaded})
	case 1: // no response
	default:
		id := fmt.Sprintf("h%d", len(s.holds))
		s.holds[id] = true
		g := &pb.Grant{
			HoldId:         id,
			Prefill:        &pb.UpstreamAddress{Id: fmt.Sprintf("p%d", a.Attempt)},
			Decode:         &pb.UpstreamAddress{Id: fmt.Sprintf("d%d", a.Attempt)},
			PrefillDelayMs: uint32(rapid.SampledFrom([]int{0, 0, 50}).Draw(s.t, "delay")),
		}
		for _, x := range a.Exclude {
			if x == g.Prefill.Id || x == g.Decode.Id {
				s.t.Fatalf("excluded upstream %s", x)
			}
		}
		s.pending = append(s.pending, &Granted{Attempt: a.Attempt, Grant: g})
	}
}

func (s *simulation) prefillStarted(a *StartPrefill) {
	if a.Answer != s.answer {
		s.t.Fatalf("prefill of answer %q, the caller has %q", a.Answer, s.answer)
	}
	s.baseTokens[a.Attempt] = s.emitted
	kind := s.randomKind()
	rejected := kind == upstream.KindNotSent || kind == upstream.KindNotRun || kind == upstream.KindRejected
	if rapid.IntRange(0, 3).Draw(s.t, "prefill") > 0 || !rejected {
		s.prefillMemory[a.Attempt] = true
		s.anyRan = true
		if rejected {
			kind = upstream.KindOutcomeUnknown
		}
		s.reply(&Prefilled{Attempt: a.Attempt, Result: &upstream.PrefillResult{PromptTokens: 10}}, &PrefillFailed{Attempt: a.Attempt, Kind: kind})
		return
	}
	s.pending = append(s.pending, &PrefillFailed{Attempt: a.Attempt, Kind: kind})
}

func (s *simulation) streamOpened(a *OpenStream) {
	base := s.baseTokens[a.Attempt]
	for i := a.Offset; base+i < s.totalTokens; i++ {
		if rapid.IntRange(0, 7).Draw(s.t, "stream") == 0 {
			s.reply(&StreamLost{Attempt: a.Attempt, Connection: a.Connection, Kind: s.randomKind()})
			return
		}
		t := upstream.Token{Attempt: a.Attempt, Offset: i, Text: tokenText(base + i)}
		if base+i == s.totalTokens-1 {
			t.Finish = "stop"
		}
		s.pending = append(s.pending, &TokenReceived{Connection: a.Connection, Token: t})
	}
}

func (s *simulation) release(a *Release) {
	if !s.holds[a.HoldID] || s.released[a.HoldID] {
		s.t.Fatalf("release of unknown or released hold %q", a.HoldID)
	}
	s.released[a.HoldID] = true
	if a.Outcome == pb.ReleaseRequest_COMPLETED {
		// Engines free a request that they completed.
		delete(s.prefillMemory, a.Attempt)
		delete(s.decodeMemory, a.Attempt)
	}
	for _, at := range a.CancelAt {
		if at.Id == fmt.Sprintf("p%d", a.Attempt) {
			delete(s.prefillMemory, a.Attempt)
		}
		if at.Id == fmt.Sprintf("d%d", a.Attempt) {
			delete(s.decodeMemory, a.Attempt)
		}
	}
}

// deliver passes pending message i to the machine. With keep it stays pending
// and is delivered again later.
func (s *simulation) deliver(i int, keep bool) {
	ev := s.pending[i]
	if !keep {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
	s.step(ev)
}

func (s *simulation) run() {
	s.step(&Start{})
	for range rapid.IntRange(0, 60).Draw(s.t, "steps") {
		switch n := rapid.IntRange(0, 20).Draw(s.t, "op"); {
		case n == 0:
			s.step(&CallerGone{})
		case n == 20:
			s.step(&Stopped{})
		case n <= 3:
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
			s.step(&Tick{})
		case len(s.pending) > 0 && n <= 14:
			s.deliver(0, n == 4)
		case len(s.pending) > 0:
			s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "message"), n == 15)
		}
	}
	// Deliver all pending messages, then let time pass until the request is done.
	for len(s.pending) > 0 {
		s.deliver(0, false)
	}
	for s.m.State() != Done {
		if s.m.Deadline().IsZero() {
			s.t.Fatalf("no deadline in state %s", s.m.State())
		}
		s.now = s.m.Deadline()
		s.step(&Tick{})
		for len(s.pending) > 0 {
			s.deliver(0, false)
		}
	}
}

func (s *simulation) check() {
	if len(s.finished) != 1 {
		s.t.Fatalf("%d outcomes", len(s.finished))
	}
	o := s.finished[0]
	var want strings.Builder
	for i := range s.emitted {
		want.WriteString(tokenText(i))
	}
	if s.answer != want.String() {
		s.t.Fatalf("answer %q", s.answer)
	}
	if o.Failure == FailureNone && s.emitted != min(s.totalTokens, s.m.spec.MaxOutputTokens) {
		s.t.Fatalf("complete answer of %d tokens, want %d", s.emitted, s.totalTokens)
	}
	if o.Ran == RanNo && s.anyRan {
		s.t.Fatalf("outcome %+v says not run", o)
	}
	for id := range s.holds {
		if !s.released[id] {
			s.t.Fatalf("hold %s is not released", id)
		}
	}
	if len(s.prefillMemory) > 0 || len(s.decodeMemory) > 0 {
		s.t.Fatalf("engine memory in use: prefill %v, decode %v", s.prefillMemory, s.decodeMemory)
	}
}

// Guards against a caller that gets no outcome, two outcomes, a duplicate or
// missing token or a wrong "not run", against holds and engine memory that are
// not freed, and against running past the deadline, under any order of messages,
// losses, duplicates, faults, timeouts and disconnects.
func TestCompletionUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.run()
		s.check()
	})
}

// Guards against a prompt that crashes each engine which begins to answer it, and is
// sent to four of them.
func TestPromptThatCrashesEnginesReachesTwo(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewCompletion(Spec{PromptTokens: 10, MaxOutputTokens: 5, Deadline: now.Add(time.Minute), Limits: DefaultLimits(), Budget: unlimitedBudget{}})
	engines := map[string]bool{}
	var finished *Outcome
	pending := []Event{&Start{}}
	for len(pending) > 0 {
		event := pending[0]
		pending = pending[1:]
		for _, a := range m.Step(now, event) {
			switch a := a.(type) {
			case *Submit:
				grant := &pb.Grant{HoldId: fmt.Sprint("h", a.Attempt), Prefill: &pb.UpstreamAddress{Id: "p"}, Decode: &pb.UpstreamAddress{Id: fmt.Sprint("d", a.Attempt)}}
				pending = append(pending, &Granted{Attempt: a.Attempt, Grant: grant})
			case *StartPrefill:
				pending = append(pending, &Prefilled{Attempt: a.Attempt, Result: &upstream.PrefillResult{PromptTokens: 10}})
			case *StartImport:
				pending = append(pending, &Imported{Attempt: a.Attempt})
			case *OpenStream:
				kind := upstream.KindOutcomeUnknown
				if engines[a.Grant.Decode.Id] {
					kind = upstream.KindNotSent
				}
				engines[a.Grant.Decode.Id] = true
				pending = append(pending, &StreamLost{Attempt: a.Attempt, Connection: a.Connection, Kind: kind})
			case *Finish:
				finished = &a.Outcome
			}
		}
	}
	require.Len(t, engines, 2)
	require.NotNil(t, finished)
	require.Equal(t, FailureUpstream, finished.Failure)
}

// unlimitedBudget allows every retry.
type unlimitedBudget struct{}

func (unlimitedBudget) Withdraw(time.Time) bool { return true }
