package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playStreams records streams of several upstreams, 20 a second, and returns how many
// gaps were held against a stream. gapShare returns the share of an upstream's streams that
// have one.
func playStreams(n *EventNumbering, start time.Duration, upstreams, streams int, gapShare func(upstream int) float64) (heldAgainst int) {
	r := rand.New(rand.NewPCG(1, uint64(upstreams)))
	for i := range streams {
		now := start + time.Duration(i)*50*time.Millisecond
		u := r.IntN(upstreams)
		name := fmt.Sprintf("u-%d", u)
		if r.Float64() >= gapShare(u) {
			n.RecordStream(name, now, false)
			continue
		}
		if n.OneByOne() {
			heldAgainst++
		}
		n.RecordGap(name, now)
	}
	return heldAgainst
}

// Guards against a faulty upstream that teaches how a service numbers its events, or makes
// it forgotten.
func TestOneUpstreamDoesNotTeachTheNumbering(t *testing.T) {
	sound := func(int) float64 { return 0 }
	firstFaulty := func(share float64) func(int) float64 {
		return func(u int) float64 { return map[bool]float64{true: share}[u == 0] }
	}
	othersStep := func(u int) float64 { return map[bool]float64{true: 1}[u > 0] }
	for name, c := range map[string]struct {
		upstreams int
		gapShare  func(int) float64
		oneByOne  bool
	}{
		"all one by one":                        {4, sound, true},
		"one faulty, rarely":                    {4, firstFaulty(0.05), true},
		"one faulty, always":                    {4, firstFaulty(1), true},
		"one faulty of two":                     {2, firstFaulty(1), false},
		"only one numbers one by one, of two":   {2, othersStep, false},
		"only one numbers one by one, of eight": {8, othersStep, false},
	} {
		t.Run(name, func(t *testing.T) {
			var n EventNumbering
			playStreams(&n, 0, c.upstreams, 2000, c.gapShare)
			require.Equal(t, c.oneByOne, n.OneByOne())
			if c.oneByOne {
				require.Positive(t, playStreams(&n, time.Hour, c.upstreams, 2000, firstFaulty(0.5)))
				require.True(t, n.OneByOne())
			}
		})
	}
}

// Guards against streams that are refused because their service numbers its events
// otherwise, always or now and then, or begins to.
func TestServicesThatStepOtherwiseAreNotRefused(t *testing.T) {
	for _, share := range []float64{1, 0.5, 0.2} {
		var n EventNumbering
		require.Zero(t, playStreams(&n, 0, 4, 20_000, func(int) float64 { return share }), "share %v", share)
	}
	// Ten hours with one gap in fifty streams.
	var n EventNumbering
	require.Less(t, playStreams(&n, 0, 4, 720_000, func(int) float64 { return 0.02 }), 5)

	n = EventNumbering{}
	playStreams(&n, 0, 4, 1000, func(int) float64 { return 0 })
	require.True(t, n.OneByOne())
	require.Less(t, playStreams(&n, time.Hour, 4, 20_000, func(int) float64 { return 1 }), 10)
	require.False(t, n.OneByOne())
}

// Guards against gaps that are forgotten for good after they were seen at two upstreams.
func TestNumberingIsLearnedAnew(t *testing.T) {
	var n EventNumbering
	sound := func(int) float64 { return 0 }
	playStreams(&n, 0, 4, 200, sound)
	n.RecordGap("u-0", time.Minute)
	require.True(t, n.OneByOne())
	n.RecordGap("u-1", 2*time.Minute)
	require.False(t, n.OneByOne())
	playStreams(&n, 3*time.Minute, 4, 200, sound)
	require.False(t, n.OneByOne())
	playStreams(&n, 20*time.Minute, 4, 200, sound)
	require.True(t, n.OneByOne())
}

// Guards against a single upstream that is left, numbers its events otherwise and is cut
// off in each stream without end.
func TestOnlyUpstreamLeftMayNumberOtherwise(t *testing.T) {
	var n EventNumbering
	playStreams(&n, 0, 4, 200, func(int) float64 { return 0 })
	require.True(t, n.OneByOne())
	require.LessOrEqual(t, playStreams(&n, time.Hour, 1, 200, func(int) float64 { return 1 }), contradictingStreams)
	require.False(t, n.OneByOne())
}

// Guards against a gap of the only upstream that is never noticed, and against one whose
// streams have gaps, however rarely, or that has just started, that teaches the numbering.
func TestTheOnlyUpstreamTeachesTheNumbering(t *testing.T) {
	for _, otherVersion := range []bool{false, true} {
		required := map[bool]int{false: aloneFactor * numberedStreams, true: numberedStreams}[otherVersion]
		var n EventNumbering
		// It has replaced another process.
		n.RecordStream("u-9", 0, otherVersion)
		n.RecordStream("u-9", 0, otherVersion)
		for range required {
			require.False(t, n.OneByOne())
			n.RecordStream("u-0", 0, otherVersion)
		}
		require.Equal(t, NumberingState{Changes: 1, Alone: true}, n.State())
	}
	for _, share := range []float64{1, 0.5, 0.2, 0.05} {
		var n EventNumbering
		require.Zero(t, playStreams(&n, 0, 1, 20_000, func(int) float64 { return share }), "share %v", share)
	}
	// Ten hours with one gap in fifty streams.
	var n EventNumbering
	require.Less(t, playStreams(&n, 0, 1, 720_000, func(int) float64 { return 0.02 }), 5)
}

// Guards against an upstream that was the only one, whose numbering is held against another
// one without end or for more than two streams, and against one gap that unlearns it.
func TestWhatTheOnlyUpstreamTaughtMayBeWrong(t *testing.T) {
	learned := func() *EventNumbering {
		n := &EventNumbering{}
		playStreams(n, 0, 1, aloneFactor*numberedStreams, func(int) float64 { return 0 })
		require.True(t, n.State().Alone)
		return n
	}
	told := &EventNumbering{}
	require.True(t, told.Merge(learned().State()))
	for name, n := range map[string]*EventNumbering{"learned": learned(), "told": told} {
		held := playStreams(n, time.Minute, 2, 2000, func(u int) float64 { return map[bool]float64{true: 1}[u == 1] })
		require.LessOrEqual(t, held, 2, name)
		require.Equal(t, NumberingState{Changes: 2}, n.State(), name)
	}
	n := learned()
	n.RecordGap("u-0", time.Hour)
	require.True(t, n.OneByOne())
	n.RecordGap("u-0", time.Hour+2*gapMemory)
	require.True(t, n.OneByOne(), "the first gap is long past")
	n.RecordGap("u-0", time.Hour+2*gapMemory+time.Minute)
	require.False(t, n.OneByOne())

	// Others confirm it, after which gaps at one upstream do not unlearn it.
	n = learned()
	playStreams(n, time.Minute, 2, 100, func(int) float64 { return 0 })
	require.Equal(t, NumberingState{Changes: 1}, n.State())
	alone := learned()
	require.True(t, alone.Merge(n.State()))
	require.False(t, n.Merge(learned().State()))
	for _, confirmed := range []*EventNumbering{n, alone} {
		confirmed.RecordGap("u-0", time.Hour)
		confirmed.RecordGap("u-0", time.Hour)
		require.True(t, confirmed.OneByOne())
	}
}

// Guards against entries that disagree on how events are numbered, or tell each other what
// one of them has found wrong, whatever the order in which they hear of it.
func TestEntriesAgreeOnTheNumbering(t *testing.T) {
	sound := func(int) float64 { return 0 }
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(2, seed))
		entries := make([]EventNumbering, 6)
		// One has learned it from a single upstream.
		playStreams(&entries[5], 0, 1, aloneFactor*numberedStreams, sound)
		require.True(t, entries[5].State().Alone)
		// The first ones have learned it; one has unlearned it, and one has learned it anew.
		for i := range 3 {
			playStreams(&entries[i], 0, 4, 200, sound)
		}
		for _, unlearned := range []*EventNumbering{&entries[1], &entries[2]} {
			unlearned.RecordGap("u-0", time.Minute)
			unlearned.RecordGap("u-1", time.Minute)
			require.False(t, unlearned.OneByOne())
		}
		newest := &entries[1]
		if seed%2 == 1 {
			playStreams(&entries[2], time.Hour, 4, 200, sound)
			newest = &entries[2]
		}
		want, learned := newest.State(), newest.OneByOne()
		require.Equal(t, seed%2 == 1, learned)
		// Messages arrive late, twice and in any order.
		var messages []NumberingState
		for i := range entries {
			messages = append(messages, entries[i].State(), entries[i].State())
		}
		for i := range entries {
			r.Shuffle(len(messages), func(a, b int) { messages[a], messages[b] = messages[b], messages[a] })
			for _, m := range messages {
				entries[i].Merge(m)
				require.False(t, entries[i].Merge(m), "an old message is news")
			}
			require.Equal(t, want, entries[i].State())
			require.Equal(t, learned, entries[i].OneByOne())
		}
	}
}

// Guards against entries that teach each other without end what is wrong: whoever learns it
// anew needs more streams than the one before.
func TestNumberingIsHarderToLearnForAllEntriesAfterItWasWrong(t *testing.T) {
	var first, second EventNumbering
	for wrong := range 4 {
		required := numberedStreams << wrong
		for n := range required {
			require.False(t, first.OneByOne(), "%d streams after it was wrong %d times", n, wrong)
			first.RecordStream(fmt.Sprintf("u-%d", n%2), 0, false)
		}
		require.True(t, first.OneByOne())
		require.True(t, second.Merge(first.State()))
		require.True(t, second.OneByOne())
		second.RecordGap(fmt.Sprintf("v-%d", 2*wrong), 0)
		second.RecordGap(fmt.Sprintf("v-%d", 2*wrong+1), 0)
		require.False(t, second.OneByOne())
		require.True(t, first.Merge(second.State()))
		require.False(t, first.OneByOne())
	}
	// Streams that were recorded before do not count after it was found wrong elsewhere.
	var counting EventNumbering
	for n := range numberedStreams - 1 {
		counting.RecordStream(fmt.Sprintf("u-%d", n%2), 0, false)
	}
	require.True(t, counting.Merge(NumberingState{Changes: 2}))
	counting.RecordStream("u-1", 0, false)
	require.False(t, counting.OneByOne())
	// The number of streams is limited, also for numbers that no entry has reached.
	require.True(t, counting.Merge(NumberingState{Changes: 1 << 31}))
	require.Equal(t, maxNumberedStreams, counting.required())
}
