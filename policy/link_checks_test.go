package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pathAttempt is what becomes of a simulated attempt: nothing if result is PathUnknown.
type pathAttempt struct {
	result PathResult
	after  time.Duration
	// refused is set if there is no connection.
	refused bool
}

// simulateLink makes checks of a link in simulated time and returns the verdict and when there
// was one. The attempts of a check are asked for in the order in which they begin.
func simulateLink(direct, relayed func(now time.Duration) pathAttempt) (LinkVerdict, time.Duration) {
	var l LinkChecks
	var directs, relays []pathAttempt
	for now := time.Duration(0); ; {
		for i := range l.Checks {
			c := &l.Checks[i]
			if a := directs[i]; a.result != PathUnknown && now >= c.Began+a.after {
				c.Direct, c.DirectEnded = a.result, true
			}
			if a := relays[i]; a.result != PathUnknown && now >= c.Began+a.after && !c.RelayedEnded {
				c.Relayed, c.RelayedEnded, c.RelayedTook = a.result, true, a.after
			}
			c.Connected = !directs[i].refused
		}
		step := l.Next(now)
		switch {
		case step.Done:
			return JudgeLink(step.Direct, step.Relayed), now
		case step.Begin && step.RelayedFirst:
			r := relayed(now)
			directs, relays = append(directs, direct(now)), append(relays, r)
			l.Checks = append(l.Checks, LinkCheck{Began: now})
		case step.Begin:
			d := direct(now)
			directs, relays = append(directs, d), append(relays, relayed(now))
			l.Checks = append(l.Checks, LinkCheck{Began: now})
		default:
			now += time.Millisecond
		}
	}
}

func answered(after time.Duration) func(time.Duration) pathAttempt {
	return func(time.Duration) pathAttempt { return pathAttempt{result: PathReached, after: after} }
}

// Guards against a link that carries nothing and is not found, or is found too late for the
// callers whose requests wait.
func TestLinkChecksFindLinksThatAreDown(t *testing.T) {
	for name, c := range map[string]struct {
		direct pathAttempt
		within time.Duration
	}{
		"silent":  {pathAttempt{}, 600 * time.Millisecond},
		"hanging": {pathAttempt{refused: true}, 500 * time.Millisecond},
		"refused": {pathAttempt{result: PathFailed, after: time.Millisecond, refused: true}, 100 * time.Millisecond},
		"reset":   {pathAttempt{result: PathBroken, after: time.Millisecond}, 100 * time.Millisecond},
	} {
		for _, relayTime := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(name+" beside "+relayTime.String(), func(t *testing.T) {
				verdict, at := simulateLink(func(time.Duration) pathAttempt { return c.direct }, answered(relayTime))
				require.Equal(t, LinkDown, verdict)
				require.LessOrEqual(t, at, c.within)
			})
		}
	}
}

// Guards against a link that is judged down because single attempts are late, get lost, or are
// turned away by the upstream.
func TestLinkChecksOfSoundLinks(t *testing.T) {
	const fast = 2 * time.Millisecond
	late := func(share float64) func(*rand.Rand) pathAttempt {
		return func(r *rand.Rand) pathAttempt {
			if r.Float64() < share {
				return pathAttempt{result: PathReached, after: 300*time.Millisecond + time.Duration(r.Int64N(int64(500*time.Millisecond)))}
			}
			return pathAttempt{result: PathReached, after: fast}
		}
	}
	first := func(n int, a pathAttempt) func() func(*rand.Rand) pathAttempt {
		return func() func(*rand.Rand) pathAttempt {
			begun := 0
			return func(*rand.Rand) pathAttempt {
				if begun++; begun <= n {
					return a
				}
				return pathAttempt{result: PathReached, after: fast}
			}
		}
	}
	every := func(f func(*rand.Rand) pathAttempt) func() func(*rand.Rand) pathAttempt {
		return func() func(*rand.Rand) pathAttempt { return f }
	}
	for name, c := range map[string]struct {
		direct func() func(*rand.Rand) pathAttempt
		// relayed is nil if all are answered at once.
		relayed func(*rand.Rand) pathAttempt
	}{
		"one late answer in ten":      {every(late(0.1)), late(0.1)},
		"one late answer in three":    {every(late(0.33)), late(0.33)},
		"an upstream that stands":     {first(20, pathAttempt{}), func(*rand.Rand) pathAttempt { return pathAttempt{} }},
		"two lost packets":            {first(2, pathAttempt{}), nil},
		"two lost connections":        {first(2, pathAttempt{refused: true}), nil},
		"two connections turned away": {first(2, pathAttempt{result: PathBroken, after: fast}), nil},
		"two refused connections":     {first(2, pathAttempt{result: PathFailed, after: fast, refused: true}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(77, 1))
			for range 2000 {
				direct := c.direct()
				relayed := answered(fast)
				if c.relayed != nil {
					relayed = func(time.Duration) pathAttempt { return c.relayed(random) }
				}
				verdict, _ := simulateLink(func(time.Duration) pathAttempt { return direct(random) }, relayed)
				require.NotEqual(t, LinkDown, verdict)
			}
		})
	}
}

// Guards against a link that is judged down because an upstream that works on one request at a
// time answers each second check late: the direct ones, if they always came first.
func TestLinkChecksAlternateTheirOrder(t *testing.T) {
	begun := 0
	turn := func(time.Duration) pathAttempt {
		if begun++; begun%2 == 1 {
			return pathAttempt{result: PathReached, after: 800 * time.Millisecond}
		}
		return pathAttempt{result: PathReached, after: 2 * time.Millisecond}
	}
	verdict, _ := simulateLink(turn, turn)
	require.NotEqual(t, LinkDown, verdict)
}

// Guards against a link over which bytes come and that is judged down, because the upstream
// answers all direct status checks late.
func TestLinkThatCarriesBytesIsNotSilent(t *testing.T) {
	l := LinkChecks{Heard: true}
	for i := range 10 {
		l.Checks = append(l.Checks, LinkCheck{Began: time.Duration(i) * checkInterval, Connected: true, Relayed: PathReached, RelayedEnded: true})
	}
	step := l.Next(900 * time.Millisecond)
	require.True(t, step.Done)
	require.Equal(t, LinkUnknown, JudgeLink(step.Direct, step.Relayed))
}
