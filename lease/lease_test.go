package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// clock runs at a rate within half the maximum drift of true time, so that two
// clocks differ by at most the maximum.
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

// call is a request in progress. Its stages are: sent to the leader (0), waiting
// for the commit (1), waiting for the confirmation (2), response sent (3).
type call struct {
	holder     int
	sentAt     time.Time
	renewToken uint64
	stage      int
	term       int
	arrivedAt  time.Time
	command    *Command
	record     Record
}

type simulation struct {
	now          time.Duration
	members      []*Grantor
	clocks       []clock
	leader       int
	term         int
	holders      []*Holder
	holderClocks []clock
	calls        []*call
	tokens       []uint64
}

const (
	testLease = "draftwell/dohoku"
	testTTL   = 3 * time.Second
)

func (s *simulation) commit(c Command) (rec Record, ok bool) {
	for _, m := range s.members {
		rec, ok = m.Apply(c)
	}
	if ok && c.Op == OpAcquire {
		s.tokens = append(s.tokens, rec.Token)
	}
	return rec, ok
}

// step advances a call by one stage and reports whether the call has ended.
func (s *simulation) step(c *call) (done bool) {
	g, now := s.members[s.leader], s.clocks[s.leader].at(s.now)
	name := string(rune('a' + c.holder))
	if c.stage > 0 && c.stage < 3 && c.term != s.term {
		return true
	}
	switch c.stage {
	case 0:
		c.term, c.arrivedAt = s.term, now
		c.record = Record{Name: testLease, Holder: name, Token: c.renewToken}
		if c.renewToken == 0 {
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
			rec, ok := s.commit(*c.command)
			if !ok {
				return true
			}
			c.record = rec
		}
	case 2:
		if _, ok := g.Renew(testLease, name, c.record.Token, c.arrivedAt); !ok {
			return true
		}
	case 3:
		s.holders[c.holder].Extend(c.record.Token, c.sentAt, testTTL)
		return true
	}
	c.stage++
	return false
}

// Guards against two simultaneous holders under any delay, loss, takeover, change
// of leader and drift within the maximum, and against fencing tokens that are
// issued twice or decrease.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{}
		for range 3 {
			s.members = append(s.members, NewGrantor(testTTL))
			s.clocks = append(s.clocks, drawClock(t, "member"))
			s.holders = append(s.holders, &Holder{})
			s.holderClocks = append(s.holderClocks, drawClock(t, "holder"))
		}
		s.members[0].BecomeLeader(s.clocks[0].at(0))
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"ask": func(t *rapid.T) {
				h := rapid.IntRange(0, 2).Draw(t, "holder")
				token, _ := s.holders[h].Held(s.holderClocks[h].at(s.now))
				s.calls = append(s.calls, &call{holder: h, sentAt: s.holderClocks[h].at(s.now), renewToken: token})
			},
			"move a call": func(t *rapid.T) {
				if len(s.calls) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
				if s.step(s.calls[i]) {
					s.calls = append(s.calls[:i], s.calls[i+1:]...)
				}
			},
			// Complete calls make it frequent that a lease is held, so that
			// the interleavings above are tested in that state.
			"round trip": func(t *rapid.T) {
				h := rapid.IntRange(0, 2).Draw(t, "holder")
				token, _ := s.holders[h].Held(s.holderClocks[h].at(s.now))
				c := &call{holder: h, sentAt: s.holderClocks[h].at(s.now), renewToken: token}
				for !s.step(c) {
				}
			},
			"elect": func(t *rapid.T) {
				s.leader = rapid.IntRange(0, 2).Draw(t, "leader")
				s.term++
				s.members[s.leader].BecomeLeader(s.clocks[s.leader].at(s.now))
			},
			"": func(t *rapid.T) {
				held := 0
				for i, h := range s.holders {
					if _, ok := h.Held(s.holderClocks[i].at(s.now)); ok {
						held++
					}
				}
				require.LessOrEqual(t, held, 1)
				for i := 1; i < len(s.tokens); i++ {
					require.Greater(t, s.tokens[i], s.tokens[i-1])
				}
			},
		})
	})
}

// Guards against a takeover that waits forever, and against a candidate that wins
// although one with a higher preference requests the lease.
func TestTakeoverAndPreference(t *testing.T) {
	g := NewGrantor(testTTL)
	now := time.Unix(1000, 0)
	g.BecomeLeader(now)
	d := g.Acquire("p", "a", "a:1", 1, now)
	require.Equal(t, Propose, d.Action)
	rec, ok := g.Apply(d.Command)
	require.True(t, ok)
	_, ok = g.Renew("p", "a", rec.Token, now)
	require.True(t, ok)
	expiry := now.Add(testTTL)
	require.Equal(t, Refuse, g.Acquire("p", "c", "", 9, expiry.Add(-time.Millisecond)).Action)
	require.Equal(t, Refuse, g.Acquire("p", "b", "", 2, expiry).Action)
	require.Equal(t, Propose, g.Acquire("p", "b", "", 2, expiry.Add(candidateWindow)).Action)

	takenOver, _ := g.Apply(g.Acquire("p", "c", "", 9, expiry.Add(candidateWindow)).Command)
	require.Greater(t, takenOver.Token, rec.Token)
	g.BecomeLeader(expiry)
	_, ok = g.Renew("p", "a", rec.Token, expiry)
	require.False(t, ok, "the old holder must not renew")
	_, ok = g.Apply(Command{Op: OpRelease, Name: "p", Holder: "a", Replaces: rec.Token})
	require.False(t, ok, "a delayed release must not end the new lease")
}

// Guards against a delayed response that revives a lost lease.
func TestLostLeaseIsNotRevived(t *testing.T) {
	var h Holder
	now := time.Unix(1000, 0)
	h.Extend(4, now, testTTL)
	h.MarkLost()
	h.Extend(4, now.Add(time.Millisecond), testTTL)
	_, ok := h.Held(now.Add(time.Second))
	require.False(t, ok)
	h.Extend(5, now, testTTL)
	token, ok := h.Held(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, uint64(5), token)
}

// Guards against a holder whose clock is slow by the maximum drift and that keeps
// using the lease after the grantor could grant it to another holder.
func TestHolderWithSlowClockStopsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	var h Holder
	h.Extend(1, start, testTTL)
	// The holder's clock advances by this much while the grantor's advances by
	// the whole lifetime.
	slow := testTTL * 100 / 101
	_, ok := h.Held(start.Add(slow))
	require.False(t, ok)
}

// Guards against two acquisitions that were decided on the same state and both
// take effect, and against a renewal that is confirmed between the proposal of a
// takeover and its commit. TestNeverTwoHolders finds the latter with 20,000
// checks.
func TestTakeoverInProgress(t *testing.T) {
	g := NewGrantor(testTTL)
	now := time.Unix(1000, 0)
	g.BecomeLeader(now)
	first := g.Acquire("p", "a", "", 1, now)
	second := g.Acquire("p", "b", "", 1, now)
	rec, ok := g.Apply(first.Command)
	require.True(t, ok)
	_, ok = g.Apply(second.Command)
	require.False(t, ok)

	now = now.Add(testTTL)
	takeover := g.Acquire("p", "b", "", 1, now)
	require.Equal(t, Propose, takeover.Action)
	_, ok = g.Renew("p", "a", rec.Token, now)
	require.False(t, ok)
	again := g.Acquire("p", "a", "", 1, now)
	require.Equal(t, Propose, again.Action, "the holder must be able to acquire again if the takeover fails")
}
