package request

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// world is a scheduler, engines and a caller around one Completion. It keeps
// what each of them has reserved, and delivers their messages in any order,
// late and repeatedly.
type world struct {
	t     *rapid.T
	m     *Completion
	now   time.Time
	total int // output tokens of the whole answer

	inbox    []Event // messages under way to the machine
	holds    map[string]bool
	released map[string]bool
	prefill  map[uint32]bool // prefill memory by attempt
	decode   map[uint32]bool // decode memory by attempt
	base     map[uint32]int  // output tokens in the prompt of an attempt
	ranAny   bool

	answer   string
	offset   int
	finished []Outcome
}

type drawnBudget struct{ t *rapid.T }

func (b drawnBudget) Withdraw(time.Time) bool {
	return rapid.IntRange(0, 4).Draw(b.t, "budget") > 0
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), total: rapid.IntRange(1, 5).Draw(t, "total"),
		holds: map[string]bool{}, released: map[string]bool{}, prefill: map[uint32]bool{}, decode: map[uint32]bool{}, base: map[uint32]int{},
	}
	w.m = NewCompletion(Spec{
		PromptTokens: 10, MaxOutputTokens: rapid.IntRange(1, 6).Draw(t, "max"), Deadline: w.now.Add(time.Duration(rapid.SampledFrom([]int{2, 20}).Draw(t, "deadline")) * time.Second),
		Limits: DefaultLimits(), Budget: drawnBudget{t},
	})
	return w
}

func tokenText(i int) string { return fmt.Sprintf("<%d>", i) }

func (w *world) step(ev Event) {
	for _, a := range w.m.Step(w.now, ev) {
		w.act(a)
	}
	if _, ok := ev.(*Tick); ok && !w.now.Before(w.m.spec.Deadline) && w.m.State() != Done {
		w.t.Fatalf("state %s after the deadline", w.m.State())
	}
}

func (w *world) act(a Action) {
	if len(w.finished) > 0 {
		if r, ok := a.(*Release); !ok || r.Outcome != pb.ReleaseRequest_NOT_STARTED {
			w.t.Fatalf("%T after Finish", a)
		}
	}
	switch a := a.(type) {
	case *Submit:
		w.submitted(a)
	case *StartPrefill:
		w.prefillStarted(a)
	case *StartImport:
		w.decode[a.Attempt] = true
		// A cache that the decode engine fetched leaves the prefill engine.
		w.reply(&Imported{Attempt: a.Attempt}, &ImportFailed{Attempt: a.Attempt, Kind: w.kind()})
	case *OpenStream:
		w.streamOpened(a)
	case *Emit:
		if a.Offset != w.offset {
			w.t.Fatalf("token %d emitted in place of %d", a.Offset, w.offset)
		}
		w.offset++
		w.answer += a.Text
	case *Release:
		w.release(a)
	case *Finish:
		w.finished = append(w.finished, a.Outcome)
	}
}

func (w *world) kind() upstream.ErrorKind {
	return rapid.SampledFrom([]upstream.ErrorKind{
		upstream.KindNotSent, upstream.KindNotRun, upstream.KindRejected, upstream.KindFailed, upstream.KindOutcomeUnknown, upstream.KindGone,
	}).Draw(w.t, "kind")
}

// reply sends one of the events, or none: a silent peer.
func (w *world) reply(events ...Event) {
	if i := rapid.IntRange(0, 2*len(events)).Draw(w.t, "reply"); i < len(events) {
		w.inbox = append(w.inbox, events[i])
	} else if i < 2*len(events) {
		w.inbox = append(w.inbox, events[0])
	}
}

func (w *world) submitted(a *Submit) {
	if a.MaxOutputTokens < 1 {
		w.t.Fatalf("submission for %d tokens", a.MaxOutputTokens)
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "scheduler") {
	case 0:
		w.inbox = append(w.inbox, &Refused{Attempt: a.Attempt, Failure: FailureOverloaded})
	case 1: // silent
	default:
		id := fmt.Sprintf("h%d", len(w.holds))
		w.holds[id] = true
		g := &pb.Grant{
			HoldId:         id,
			Prefill:        &pb.UpstreamAddress{Id: fmt.Sprintf("p%d", a.Attempt)},
			Decode:         &pb.UpstreamAddress{Id: fmt.Sprintf("d%d", a.Attempt)},
			PrefillDelayMs: uint32(rapid.SampledFrom([]int{0, 0, 50}).Draw(w.t, "delay")),
		}
		for _, x := range a.Exclude {
			if x == g.Prefill.Id || x == g.Decode.Id {
				w.t.Fatalf("excluded upstream %s", x)
			}
		}
		w.inbox = append(w.inbox, &Granted{Attempt: a.Attempt, Grant: g})
	}
}

func (w *world) prefillStarted(a *StartPrefill) {
	if a.Answer != w.answer {
		w.t.Fatalf("prefill of answer %q, the caller has %q", a.Answer, w.answer)
	}
	w.base[a.Attempt] = w.offset
	kind := w.kind()
	refused := kind == upstream.KindNotSent || kind == upstream.KindNotRun || kind == upstream.KindRejected
	if rapid.IntRange(0, 3).Draw(w.t, "prefill") > 0 || !refused {
		w.prefill[a.Attempt] = true
		w.ranAny = true
		if refused {
			kind = upstream.KindOutcomeUnknown
		}
		w.reply(&Prefilled{Attempt: a.Attempt, Result: &upstream.PrefillResult{PromptTokens: 10}}, &PrefillFailed{Attempt: a.Attempt, Kind: kind})
		return
	}
	w.inbox = append(w.inbox, &PrefillFailed{Attempt: a.Attempt, Kind: kind})
}

func (w *world) streamOpened(a *OpenStream) {
	base := w.base[a.Attempt]
	for i := a.Offset; base+i < w.total; i++ {
		if rapid.IntRange(0, 7).Draw(w.t, "stream") == 0 {
			w.reply(&StreamLost{Attempt: a.Attempt, Connection: a.Connection, Kind: w.kind()})
			return
		}
		t := upstream.Token{Attempt: a.Attempt, Offset: i, Text: tokenText(base + i)}
		if base+i == w.total-1 {
			t.Finish = "stop"
		}
		w.inbox = append(w.inbox, &TokenReceived{Connection: a.Connection, Token: t})
	}
}

func (w *world) release(a *Release) {
	if !w.holds[a.HoldID] || w.released[a.HoldID] {
		w.t.Fatalf("release of unknown or released hold %q", a.HoldID)
	}
	w.released[a.HoldID] = true
	if a.Outcome == pb.ReleaseRequest_COMPLETED {
		// Engines free a request that they completed.
		delete(w.prefill, a.Attempt)
		delete(w.decode, a.Attempt)
	}
	for _, at := range a.CancelAt {
		if at.Id == fmt.Sprintf("p%d", a.Attempt) {
			delete(w.prefill, a.Attempt)
		}
		if at.Id == fmt.Sprintf("d%d", a.Attempt) {
			delete(w.decode, a.Attempt)
		}
	}
}

// deliver passes message i on and keeps a copy to repeat when asked to.
func (w *world) deliver(i int, keep bool) {
	ev := w.inbox[i]
	if !keep {
		w.inbox = slices.Delete(w.inbox, i, i+1)
	}
	w.step(ev)
}

func (w *world) run() {
	w.step(&Start{})
	for range rapid.IntRange(0, 60).Draw(w.t, "steps") {
		switch n := rapid.IntRange(0, 19).Draw(w.t, "op"); {
		case n == 0:
			w.step(&CallerGone{})
		case n <= 3:
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
			w.step(&Tick{})
		case len(w.inbox) > 0 && n <= 14:
			w.deliver(0, n == 4)
		case len(w.inbox) > 0:
			w.deliver(rapid.IntRange(0, len(w.inbox)-1).Draw(w.t, "message"), n == 15)
		}
	}
	// Everything that is under way arrives, and time passes.
	for len(w.inbox) > 0 {
		w.deliver(0, false)
	}
	for w.m.State() != Done {
		if w.m.Deadline().IsZero() {
			w.t.Fatalf("no deadline in state %s", w.m.State())
		}
		w.now = w.m.Deadline()
		w.step(&Tick{})
		for len(w.inbox) > 0 {
			w.deliver(0, false)
		}
	}
}

func (w *world) check() {
	if len(w.finished) != 1 {
		w.t.Fatalf("%d outcomes", len(w.finished))
	}
	o := w.finished[0]
	var want strings.Builder
	for i := range w.offset {
		want.WriteString(tokenText(i))
	}
	if w.answer != want.String() {
		w.t.Fatalf("answer %q", w.answer)
	}
	if o.Failure == FailureNone && w.offset != min(w.total, w.m.spec.MaxOutputTokens) {
		w.t.Fatalf("complete answer of %d tokens, want %d", w.offset, w.total)
	}
	if o.Ran == RanNo && w.ranAny {
		w.t.Fatalf("outcome %+v says not run", o)
	}
	for id := range w.holds {
		if !w.released[id] {
			w.t.Fatalf("hold %s is not released", id)
		}
	}
	if len(w.prefill) > 0 || len(w.decode) > 0 {
		w.t.Fatalf("engine memory in use: prefill %v, decode %v", w.prefill, w.decode)
	}
}

// Guards against a caller that gets no outcome, two outcomes, a token twice, a
// hole in the answer or a false "not run", and against holds and engine memory
// that stay occupied or run past the deadline, under any order of messages,
// losses, repeats, faults, timeouts and disconnects.
func TestCompletionUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.run()
		w.check()
	})
}
