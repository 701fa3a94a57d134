package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// clock runs at a rate within half the drift bound of true time, so that two
// clocks differ by at most the bound.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(c.offset + time.Duration(float64(t)*c.rate))
}

func drawClock(t *rapid.T, name string) clock {
	return clock{
		offset: time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, name+" offset")) * time.Millisecond,
		rate:   1 + float64(rapid.IntRange(-49, 49).Draw(t, name+" rate"))/10_000,
	}
}

// call is a request on its way: to the leader, waiting for its commit, for the
// confirmation, or on its way back.
type call struct {
	holder  int
	sent    time.Time
	renew   uint64
	stage   int
	term    int
	arrived time.Time
	command *Command
	record  Record
}

type world struct {
	now     time.Duration
	members []*Grantor
	clocks  []clock
	leader  int
	term    int
	holders []*Holder
	hclocks []clock
	calls   []*call
	tokens  []uint64
}

const (
	testLease = "draftwell/dohoku"
	testTTL   = 3 * time.Second
)

func (w *world) commit(c Command) (rec Record, ok bool) {
	for _, m := range w.members {
		rec, ok = m.Apply(c)
	}
	if ok && c.Op == OpAcquire {
		w.tokens = append(w.tokens, rec.Token)
	}
	return rec, ok
}

// step moves one call on.
func (w *world) step(c *call) (done bool) {
	g, now := w.members[w.leader], w.clocks[w.leader].at(w.now)
	name := string(rune('a' + c.holder))
	if c.stage > 0 && c.stage < 3 && c.term != w.term {
		return true
	}
	switch c.stage {
	case 0:
		c.term, c.arrived = w.term, now
		c.record = Record{Name: testLease, Holder: name, Token: c.renew}
		if c.renew == 0 {
			d := g.Acquire(testLease, name, "", uint32(c.holder), now)
			if d.Action == Refuse {
				return true
			}
			c.record = d.Record
			if d.Action == Propose {
				c.command = &d.Command
			}
		}
	case 1:
		if c.command != nil {
			rec, ok := w.commit(*c.command)
			if !ok {
				return true
			}
			c.record = rec
		}
	case 2:
		if _, ok := g.Confirmed(testLease, name, c.record.Token, c.arrived); !ok {
			return true
		}
	case 3:
		w.holders[c.holder].Granted(c.record.Token, c.sent, testTTL)
		return true
	}
	c.stage++
	return false
}

// Guards against two holders at one moment under any delay, loss, drift within
// the bound, takeover and change of leader, and against a token that is issued
// twice or falls.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		for range 3 {
			w.members = append(w.members, NewGrantor(testTTL))
			w.clocks = append(w.clocks, drawClock(t, "member"))
			w.holders = append(w.holders, &Holder{})
			w.hclocks = append(w.hclocks, drawClock(t, "holder"))
		}
		w.members[0].Elected(w.clocks[0].at(0))
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"ask": func(t *rapid.T) {
				h := rapid.IntRange(0, 2).Draw(t, "holder")
				token, _ := w.holders[h].Held(w.hclocks[h].at(w.now))
				w.calls = append(w.calls, &call{holder: h, sent: w.hclocks[h].at(w.now), renew: token})
			},
			"move a call": func(t *rapid.T) {
				if len(w.calls) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
				if w.step(w.calls[i]) {
					w.calls = append(w.calls[:i], w.calls[i+1:]...)
				}
			},
			// Complete calls make holds frequent, so that the interleavings
			// above meet them.
			"round trip": func(t *rapid.T) {
				h := rapid.IntRange(0, 2).Draw(t, "holder")
				token, _ := w.holders[h].Held(w.hclocks[h].at(w.now))
				c := &call{holder: h, sent: w.hclocks[h].at(w.now), renew: token}
				for !w.step(c) {
				}
			},
			"elect": func(t *rapid.T) {
				w.leader = rapid.IntRange(0, 2).Draw(t, "leader")
				w.term++
				w.members[w.leader].Elected(w.clocks[w.leader].at(w.now))
			},
			"": func(t *rapid.T) {
				held := 0
				for i, h := range w.holders {
					if _, ok := h.Held(w.hclocks[i].at(w.now)); ok {
						held++
					}
				}
				require.LessOrEqual(t, held, 1)
				for i := 1; i < len(w.tokens); i++ {
					require.Greater(t, w.tokens[i], w.tokens[i-1])
				}
			},
		})
	})
}

// Guards against a takeover that waits for ever, and against a less suitable
// candidate that wins while a better one asks.
func TestTakeoverAndPreference(t *testing.T) {
	g := NewGrantor(testTTL)
	now := time.Unix(1000, 0)
	g.Elected(now)
	d := g.Acquire("p", "a", "a:1", 1, now)
	require.Equal(t, Propose, d.Action)
	rec, ok := g.Apply(d.Command)
	require.True(t, ok)
	_, ok = g.Confirmed("p", "a", rec.Token, now)
	require.True(t, ok)
	end := now.Add(testTTL)
	require.Equal(t, Refuse, g.Acquire("p", "c", "", 9, end.Add(-time.Millisecond)).Action)
	require.Equal(t, Refuse, g.Acquire("p", "b", "", 2, end).Action)
	require.Equal(t, Propose, g.Acquire("p", "b", "", 2, end.Add(candidateWindow)).Action)

	taken, _ := g.Apply(g.Acquire("p", "c", "", 9, end.Add(candidateWindow)).Command)
	require.Greater(t, taken.Token, rec.Token)
	g.Elected(end)
	_, ok = g.Confirmed("p", "a", rec.Token, end)
	require.False(t, ok, "the old holder must not renew")
	_, ok = g.Apply(Command{Op: OpRelease, Name: "p", Holder: "a", Replaces: rec.Token})
	require.False(t, ok, "a late release must not end the new hold")
}

// Guards against a late answer that revives a lease after it was given up.
func TestLostStaysLost(t *testing.T) {
	var h Holder
	now := time.Unix(1000, 0)
	h.Granted(4, now, testTTL)
	h.Lost()
	h.Granted(4, now.Add(time.Millisecond), testTTL)
	_, ok := h.Held(now.Add(time.Second))
	require.False(t, ok)
	h.Granted(5, now, testTTL)
	token, ok := h.Held(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, uint64(5), token)
}

// Guards against a holder whose clock is slow by the drift bound and that goes
// on after the grantor lets another start.
func TestSlowHolderStopsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	var h Holder
	h.Granted(1, start, testTTL)
	// While the grantor measures the whole lifetime, the holder measures less.
	slow := testTTL * 100 / 101
	_, ok := h.Held(start.Add(slow))
	require.False(t, ok)
}

// Guards against two acquisitions that were decided on one state and both take
// effect, and against a renewal that is confirmed between the decision on a
// takeover and its commit (found by TestNeverTwoHolders with 20,000 checks).
func TestTakeoverUnderWay(t *testing.T) {
	g := NewGrantor(testTTL)
	now := time.Unix(1000, 0)
	g.Elected(now)
	first := g.Acquire("p", "a", "", 1, now)
	second := g.Acquire("p", "b", "", 1, now)
	rec, ok := g.Apply(first.Command)
	require.True(t, ok)
	_, ok = g.Apply(second.Command)
	require.False(t, ok)

	now = now.Add(testTTL)
	takeover := g.Acquire("p", "b", "", 1, now)
	require.Equal(t, Propose, takeover.Action)
	_, ok = g.Confirmed("p", "a", rec.Token, now)
	require.False(t, ok)
	again := g.Acquire("p", "a", "", 1, now)
	require.Equal(t, Propose, again.Action, "the holder must be able to ask anew when the takeover fails")
}
