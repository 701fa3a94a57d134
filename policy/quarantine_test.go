package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parts of the prompts in these tests. Parts from ownPart on belong to one prompt.
const (
	sharedPart uint64 = 1 + iota
	deadlyPart
	otherPart
	ownPart uint64 = 100
)

// crash records that the nth engine crashed under a prompt.
func crash(q *PromptQuarantine, n int, at time.Duration, parts ...uint64) {
	q.RecordCrash(CrashedPrompt{Engine: EngineProcess{ID: fmt.Sprint("i-", n), BornMs: 1}, At: at, Parts: parts}, at)
}

func quarantinedParts(q *PromptQuarantine) []uint64 {
	var list []uint64
	for _, p := range q.Quarantined() {
		list = append(list, p.Part)
	}
	return list
}

// Guards against requests with one part in common that crash one engine after the
// other, and against the quarantine of what sound requests share with them.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 3 {
		require.Empty(t, q.Quarantined())
		at := time.Duration(n) * 600 * time.Millisecond
		crash(q, n, at, sharedPart, deadlyPart, ownPart+uint64(n))
		// A sound prompt waited at the same engine.
		crash(q, n, at, sharedPart, otherPart, ownPart+50+uint64(n))
		q.RecordSound(otherPart, at+50*time.Millisecond)
		q.Decide(at)
	}
	require.Equal(t, []uint64{deadlyPart}, quarantinedParts(q))
	// Later crashes are explained by the part and count against no other.
	for n := 3; n < 10; n++ {
		at := time.Duration(n) * 600 * time.Millisecond
		crash(q, n, at, sharedPart, deadlyPart, ownPart+uint64(n))
		require.Empty(t, q.Decide(at))
	}
}

// Guards against a quarantine after a power loss, in which many engines crash at once
// and all their requests share parts.
func TestEnginesThatCrashTogetherQuarantineNothing(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 28 {
		crash(q, n, time.Duration(n)*5*time.Millisecond, sharedPart, otherPart, ownPart+uint64(n))
	}
	require.Empty(t, q.Decide(5*time.Second))
}

// Guards against a quarantine of a part whose prompts are answered, when engines crash
// again and again for another reason.
func TestAnsweredPartIsNotQuarantined(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 20 {
		at := time.Duration(n) * 1500 * time.Millisecond
		crash(q, n, at, sharedPart, ownPart+uint64(n))
		require.Empty(t, q.Decide(at))
		require.Contains(t, q.Suspects(), ownPart+uint64(n))
		q.RecordSound(sharedPart, at+300*time.Millisecond)
	}
}

// Guards against a single prompt that crashes each engine it is sent to, and against
// the quarantine of the parts that other prompts share with it.
func TestPromptThatCrashesEnginesAloneIsQuarantinedAlone(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 4 {
		crash(q, n, time.Duration(n)*time.Second, sharedPart, otherPart, ownPart)
	}
	require.Equal(t, []uint64{ownPart}, q.Decide(4*time.Second))
	require.Empty(t, q.Decide(5*time.Second))
	crash(q, 5, 6*time.Second, sharedPart, otherPart, ownPart+1)
	require.Equal(t, []uint64{otherPart}, q.Decide(6*time.Second), "a second prompt shows what the two have in common")
}

// Guards against a quarantine without end, and against trials that crash an engine
// each minute.
func TestQuarantineEndsWithAnAnswerAndTrialsBecomeRare(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 3 {
		crash(q, n, time.Duration(n)*time.Second, sharedPart, deadlyPart, ownPart+uint64(n))
	}
	now := 2 * time.Second
	require.Equal(t, []uint64{deadlyPart}, q.Decide(now))
	require.Equal(t, now+time.Minute, q.Quarantined()[0].TrialAt)
	delay := time.Minute
	for n := 3; n < 10; n++ {
		now = q.Quarantined()[0].TrialAt
		crash(q, n, now, sharedPart, deadlyPart, ownPart+uint64(n))
		q.Decide(now)
		delay = min(2*delay, 10*time.Minute)
		require.Equal(t, now+delay, q.Quarantined()[0].TrialAt)
		require.Equal(t, []uint64{deadlyPart}, quarantinedParts(q))
	}
	require.True(t, q.RecordSound(deadlyPart, now))
	require.Empty(t, q.Decide(now))
	require.Empty(t, q.Quarantined())
	require.False(t, q.Merge(QuarantinedPart{Part: deadlyPart, EndsAt: now + time.Hour}, now), "another daemon has not heard of the answer")
}

// Guards against memory that callers can fill.
func TestQuarantineIsBounded(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 600 {
		at := time.Duration(n) * 10 * time.Millisecond
		for i := range uint64(40) {
			crash(q, n, at, uint64(n)<<32|i<<16, uint64(n)<<32|i<<16|1)
		}
		q.Merge(QuarantinedPart{Part: uint64(n), TrialAt: time.Hour, EndsAt: time.Hour + at}, at)
		if n%50 == 0 {
			q.Decide(at)
		}
	}
	require.LessOrEqual(t, len(q.crashes), maxCrashes)
	require.LessOrEqual(t, len(q.Crashes()), maxCrashes*maxPromptsPerCrash)
	require.LessOrEqual(t, len(q.Suspects()), maxSuspectParts)
	require.LessOrEqual(t, len(q.Quarantined()), maxQuarantined)
}

// Guards against evidence that changes while it is sent to other daemons.
func TestEvidenceIsCopied(t *testing.T) {
	q := NewPromptQuarantine()
	crash(q, 1, 0, sharedPart, deadlyPart, ownPart)
	sent := q.Crashes()
	q.RecordSound(sharedPart, time.Second)
	require.Equal(t, []uint64{sharedPart, deadlyPart, ownPart}, sent[0].Parts)
}

// crashWhole records that the nth upstream crashed under a whole request.
func crashWhole(q *PromptQuarantine, n int, at time.Duration, key uint64) {
	q.RecordCrash(CrashedPrompt{Engine: EngineProcess{ID: fmt.Sprint("i-", n), BornMs: 1}, At: at, Parts: []uint64{key}, Whole: true}, at)
}

// Guards against a request that crashes one upstream after the other within a second,
// and against refusing those that were in progress at some of them.
func TestWholeRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	q := NewPromptQuarantine()
	const deadly, sound = 1, 2
	for n := range 3 {
		require.Empty(t, q.Decide(time.Duration(n)*80*time.Millisecond))
		crashWhole(q, n, time.Duration(n)*80*time.Millisecond, deadly)
		if n > 0 {
			crashWhole(q, n, time.Duration(n)*80*time.Millisecond, sound)
		}
	}
	require.Equal(t, []uint64{deadly}, q.Decide(160*time.Millisecond))
	// The crash is explained.
	crashWhole(q, 3, time.Second, deadly)
	crashWhole(q, 3, time.Second, sound)
	require.Empty(t, q.Decide(time.Second))
	require.True(t, q.RecordSound(deadly, 2*time.Second), "an answer ends the quarantine")
	require.Empty(t, quarantinedParts(q))
}

// Guards against a sound request that is quarantined in place of the one beside which
// it was in progress at each crash.
func TestWholeRequestsAtTheSameCrashesAreAllQuarantined(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 3 {
		crashWhole(q, n, time.Duration(n)*80*time.Millisecond, 1)
		crashWhole(q, n, time.Duration(n)*80*time.Millisecond, 2)
	}
	require.ElementsMatch(t, []uint64{1, 2}, q.Decide(200*time.Millisecond))
}

// Guards against a quarantine of requests that were each in progress at one upstream
// when all of them crashed.
func TestUpstreamsThatCrashTogetherQuarantineNoRequest(t *testing.T) {
	q := NewPromptQuarantine()
	for n := range 24 {
		crashWhole(q, n%6, time.Duration(n%6)*time.Millisecond, uint64(1+n))
	}
	require.Empty(t, q.Decide(time.Second))
}

// Guards against a part that crashes one engine again and again without a quarantine, since the
// engine starts again under its id and does not tell its start; and against a crash that counts
// twice because two entries or daemons report it.
func TestCrashesOfAnEngineThatTellsNoStartCount(t *testing.T) {
	q := NewPromptQuarantine()
	record := func(n int, at time.Duration) {
		q.RecordCrash(CrashedPrompt{Engine: EngineProcess{ID: "i-1"}, At: at, Parts: []uint64{sharedPart, deadlyPart, ownPart + uint64(n)}}, at)
	}
	for n := range quarantineCrashes {
		at := time.Duration(n) * 8 * time.Second
		for repeat := range 3 {
			record(n, at+time.Duration(repeat)*untoldCrashSpan/2)
			record(50+n, at+time.Duration(repeat)*untoldCrashSpan/2)
		}
		added := q.Decide(at + untoldCrashSpan)
		require.Equal(t, n == quarantineCrashes-1, len(added) > 0, "after %d crashes", n+1)
	}
	require.Contains(t, quarantinedParts(q), deadlyPart)

	q = NewPromptQuarantine()
	for n := range 3 {
		at := time.Duration(n) * 8 * time.Second
		q.RecordCrash(CrashedPrompt{Engine: EngineProcess{ID: "i-1", BornMs: 1}, At: at, Parts: []uint64{deadlyPart, ownPart + uint64(n)}}, at)
	}
	require.Empty(t, q.Decide(time.Minute), "one process crashes once")
}
