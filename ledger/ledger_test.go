package ledger

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const dayMS = int64(24 * time.Hour / time.Millisecond)

func uuid7(ms int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}

func claimOf(key, run, body string) Claim {
	return Claim{Organisation: "o", Key: key, RequestID: run, Digest: sha256.Sum256([]byte(body)), Deadline: time.Minute}
}

// Guards against a wrong result for each kind of repeated claim.
func TestClaimResults(t *testing.T) {
	l := New(Limits{})
	now := dayMS * 20000
	claim := func(key, run, body string) Result {
		r, _ := l.Claim(claimOf(key, run, body), now)
		return r
	}
	require.Equal(t, Claimed, claim("k", "r1", "b"))
	require.Equal(t, Claimed, claim("k", "r1", "b"), "the first response may be lost")
	require.Equal(t, InProgress, claim("k", "r2", "b"))
	require.Equal(t, OtherBody, claim("k", "r2", "other"))
	require.False(t, l.Record(Outcome{Organisation: "o", Key: "k", RequestID: "r2", NotRun: true}, now))
	now += time.Minute.Milliseconds()
	require.Equal(t, OutcomeUnknown, claim("k", "r1", "b"), "the claimant must not start after its deadline")
	require.Equal(t, OutcomeUnknown, claim("k", "r2", "b"))
	now -= time.Minute.Milliseconds()
	require.Equal(t, OutcomeUnknown, claim("k", "r2", "b"), "time must not go back")
	now += time.Minute.Milliseconds()
	require.True(t, l.Record(Outcome{Organisation: "o", Key: "k", RequestID: "r1", Answer: []byte("a")}, now))
	r, answer := l.Claim(claimOf("k", "r3", "b"), now)
	require.Equal(t, Recorded, r)
	require.Equal(t, []byte("a"), answer)
	require.False(t, l.Record(Outcome{Organisation: "o", Key: "k", RequestID: "r1", NotRun: true}, now))

	require.Equal(t, Claimed, claim("n", "r1", "b"))
	require.True(t, l.Record(Outcome{Organisation: "o", Key: "n", RequestID: "r1", NotRun: true}, now))
	require.Equal(t, Claimed, claim("n", "r2", "b"))

	now += dayMS
	require.Equal(t, Expired, claim("k", "r4", "b"))
	now -= dayMS
	require.Equal(t, Expired, claim("k", "r4", "b"))
}

// Guards against a second run of a call with a version 7 key at any time after the
// first, with caller clocks ahead and behind by about the maximum lead and by a
// day.
func TestVersion7KeyNeverRunsAgain(t *testing.T) {
	startMS := dayMS * 20000
	allowance := maxKeyClockLead.Milliseconds()
	for _, skew := range []int64{-dayMS, -allowance, 0, allowance, allowance + 1, dayMS} {
		l := New(Limits{TombstoneRetention: time.Hour * 48})
		key := uuid7(startMS+skew, 1)
		first, _ := l.Claim(claimOf(key, "r1", "b"), startMS)
		for later := int64(0); later <= 2*dayMS; later += 60_000 {
			r, _ := l.Claim(claimOf(key, "r2", "b"), startMS+later)
			if first == Claimed {
				require.NotEqual(t, Claimed, r, "skew %d, %d ms later", skew, later)
			}
		}
	}
}

// Guards against evicting entries early when the table is full, and against
// memory that stays accounted for after entries expire.
func TestFullTableRefusesOnlyNewKeys(t *testing.T) {
	l := New(Limits{MaxBytes: 10 * entryMemoryBytes, MaxAnswerBytes: 100})
	now := dayMS * 20000
	for i := range 10 {
		r, _ := l.Claim(claimOf(fmt.Sprint(i), "r", "b"), now)
		require.Equal(t, Claimed, r)
	}
	r, _ := l.Claim(claimOf("new", "r", "b"), now)
	require.Equal(t, Full, r)
	require.True(t, l.Record(Outcome{Organisation: "o", Key: "3", RequestID: "r", Answer: make([]byte, 50), ShortAnswer: []byte("s")}, now))
	r, answer := l.Claim(claimOf("3", "x", "b"), now)
	require.Equal(t, Recorded, r)
	require.Equal(t, []byte("s"), answer)
	l.AdvanceTime(now + dayMS)
	require.Equal(t, Stats{Tombstones: 10, Bytes: 10 * tombstoneMemoryBytes, NowMS: now + dayMS}, l.Stats())
	l.AdvanceTime(now + 32*dayMS)
	require.Zero(t, l.Stats().Bytes)
}

// Guards against a second run of a call with any key within the retention times,
// a table that differs after snapshot and restore, and wrong accounting.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxBytes: 30 * entryMemoryBytes, MaxAnswerBytes: 64, TombstoneRetention: 3 * 24 * time.Hour}
		l := New(limits)
		startMS := dayMS * 20000
		now, run := startMS, 0
		owner := map[string]string{}
		keys := rapid.SampledFrom([]string{"a", "b", "c", uuid7(startMS, 1), uuid7(startMS+dayMS, 2), uuid7(startMS-dayMS, 3)})
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				run++
				r, _ := l.Claim(claimOf(key, fmt.Sprint(run), "b"), now)
				if r == Claimed {
					require.Empty(t, owner[key], "key %s runs twice", key)
					owner[key] = fmt.Sprint(run)
				}
			},
			"record": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				o := Outcome{Organisation: "o", Key: key, RequestID: owner[key]}
				o.NotRun = rapid.Bool().Draw(t, "not run")
				o.Unknown = !o.NotRun && rapid.Bool().Draw(t, "unknown")
				o.Answer = make([]byte, rapid.IntRange(0, 100).Draw(t, "size"))
				if l.Record(o, now) && o.NotRun {
					delete(owner, key)
				}
			},
			"wait": func(t *rapid.T) {
				// Opaque keys may run again 4 days after their claim:
				// 1 day of retention and 3 days of tombstone retention.
				now = min(now+rapid.Int64Range(-1000, dayMS/2).Draw(t, "ms"), startMS+4*dayMS-1)
			},
			"restore": func(t *rapid.T) {
				snap := l.Snapshot()
				other := New(limits)
				require.NoError(t, other.Restore(snap))
				require.Equal(t, snap, other.Snapshot())
				require.Equal(t, l.Stats(), other.Stats())
				l = other
			},
			"": func(t *rapid.T) {
				require.Len(t, l.index, l.liveEntries)
				require.Equal(t, l.liveEntries*entryMemoryBytes+l.answerBytes()+l.tombstones.len()*tombstoneMemoryBytes, int(l.usedBytes))
			},
		})
	})
}

// Guards against withdrawn claims that are never freed, and against a wrong index
// after they are dropped.
func TestWithdrawnClaimsAreDropped(t *testing.T) {
	l := New(Limits{})
	for i := range 3 * chunkLength {
		key := fmt.Sprint(i)
		l.Claim(claimOf(key, "r", "b"), 1)
		if i%100 != 0 {
			require.True(t, l.Record(Outcome{Organisation: "o", Key: key, RequestID: "r", NotRun: true}, 1))
		}
	}
	require.Less(t, l.entries.len(), 2*chunkLength)
	for i := 0; i < 3*chunkLength; i += 100 {
		r, _ := l.Claim(claimOf(fmt.Sprint(i), "x", "b"), 1)
		require.Equal(t, InProgress, r)
	}
}

// Guards against a panic or a huge allocation on a corrupt snapshot.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	l := New(Limits{})
	l.Claim(claimOf("k", "r", "b"), 1)
	snap := l.Snapshot()
	for n := range snap {
		require.Error(t, New(Limits{}).Restore(snap[:n]))
	}
	snap[len(snapshotMagic)+8] = 0xff
	require.Error(t, New(Limits{}).Restore(snap))
}

func benchmarkLedger(b *testing.B, entries int) *Ledger {
	b.Helper()
	l := New(Limits{})
	for i := range entries {
		l.Claim(claimOf(fmt.Sprint(i), "r", "b"), 1)
	}
	return l
}

var sizes = []int{250_000, 500_000, 1_000_000, 2_000_000}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		l := benchmarkLedger(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				l.Snapshot()
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range sizes {
		snap := benchmarkLedger(b, n).Snapshot()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if err := New(Limits{}).Restore(snap); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkClaim(b *testing.B) {
	l := New(Limits{MaxBytes: 1 << 40})
	for i := 0; b.Loop(); i++ {
		l.Claim(claimOf(fmt.Sprint(i), "r", "b"), 1)
	}
}
