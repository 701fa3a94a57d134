package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Defaults of Limits.
const (
	DefaultRetention   = 24 * time.Hour
	DefaultTombstone   = 30 * 24 * time.Hour
	DefaultMaxBytes    = 1 << 30
	DefaultMaxAnswer   = 64 << 10
	DefaultMaxDeadline = 10 * time.Minute
)

const (
	// entryBytes is the accounted cost of one entry without its answer: the
	// entry itself and its slot in the index.
	entryBytes = 160
	// tombstoneBytes is the accounted cost of one fingerprint: its place in
	// the queue and its slot in the set.
	tombstoneBytes = 40
	// clockAllowance is how far the clock of a caller that creates version 7
	// keys may be ahead of the ledger's time. Keys from further ahead are
	// treated as opaque.
	clockAllowance = 5 * time.Minute
)

// Result answers a claim.
type Result uint8

// Results of Claim.
const (
	// Claimed: the claimant runs the call.
	Claimed Result = iota + 1
	// Recorded: the call ran; its answer is returned.
	Recorded
	// InProgress: an earlier claimant runs the call.
	InProgress
	// OutcomeUnknown: an earlier claimant may have run the call and did not
	// report before its deadline.
	OutcomeUnknown
	// OtherBody: the key was used for a different request.
	OtherBody
	// Expired: the key was used, or created, longer ago than Retention.
	Expired
	// Full: the table has no room; the call may be tried later.
	Full
)

func (r Result) String() string {
	names := [...]string{"invalid", "claimed", "recorded", "in progress", "outcome unknown", "other body", "expired", "full"}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// Limits bound a ledger. All replicas must use equal limits. Zero fields take
// the defaults.
type Limits struct {
	Retention time.Duration
	Tombstone time.Duration
	// MaxBytes bounds the accounted memory of entries, answers and
	// fingerprints.
	MaxBytes int64
	// MaxAnswer bounds one stored answer, bytes.
	MaxAnswer int
	// MaxDeadline bounds the time for which a claim stays in progress.
	MaxDeadline time.Duration
}

func (l *Limits) setDefaults() {
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	if l.Tombstone <= 0 {
		l.Tombstone = DefaultTombstone
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultMaxBytes
	}
	if l.MaxAnswer <= 0 {
		l.MaxAnswer = DefaultMaxAnswer
	}
	if l.MaxDeadline <= 0 {
		l.MaxDeadline = DefaultMaxDeadline
	}
}

// Claim asks to run a call.
type Claim struct {
	Organisation string
	Key          string
	// Digest is a SHA-256 over the request.
	Digest [sha256.Size]byte
	// RequestID is unique to one run.
	RequestID string
	// Deadline is the longest time that the call may run.
	Deadline time.Duration
}

// Outcome reports what became of a claimed call.
type Outcome struct {
	Organisation string
	Key          string
	RequestID    string
	// Answer is stored for later claims of the key.
	Answer []byte
	// Short is stored in place of Answer when Answer is over a limit.
	Short []byte
	// Unknown: it is not known whether the call ran.
	Unknown bool
	// NotRun: the call provably did not run; the claim is removed.
	NotRun bool
}

// Stats describe the size of a ledger.
type Stats struct {
	Entries    int
	Tombstones int
	Bytes      int64
	// NowMS is the ledger's time, Unix milliseconds.
	NowMS int64
}

type state uint8

const (
	// stateRemoved marks a claim that was withdrawn as not run.
	stateRemoved state = iota
	stateClaimed
	stateUnknown
	stateRecorded
)

type keyHash [16]byte

// entry is one call. Entries are queued in the order of their claims, which is
// the order in which they expire because time never decreases.
type entry struct {
	key        keyHash
	run        keyHash
	digest     [sha256.Size]byte
	claimedMS  int64
	deadlineMS int64
	// keyMS is the creation time inside a version 7 key, 0 for other keys.
	keyMS  int64
	state  state
	answer []byte
}

type tombstone struct {
	fingerprint uint64
	expiredMS   int64
}

// Ledger is the table. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	nowMS   int64
	bytes   int64
	live    int
	entries queue[entry]
	// index maps a key to the position of its entry in the queue.
	index map[keyHash]uint64
	// tombs and expired hold the fingerprints, by age and as a set.
	tombs   queue[tombstone]
	expired map[uint64]struct{}
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	limits.setDefaults()
	return &Ledger{limits: limits, index: map[keyHash]uint64{}, expired: map[uint64]struct{}{}}
}

// Claim executes a claim at the given time, Unix milliseconds. The answer is
// set for Recorded only and must not be modified.
func (l *Ledger) Claim(c Claim, nowMS int64) (Result, []byte) {
	l.Advance(nowMS)
	key := hashKey(c.Organisation, c.Key)
	run := hashRun(c.RequestID)
	if pos, ok := l.index[key]; ok {
		return l.claimAgain(l.entries.at(pos), &c, run)
	}
	keyMS := l.keyTime(c.Key)
	if l.isExpired(key, keyMS) {
		return Expired, nil
	}
	if l.bytes+entryBytes > l.limits.MaxBytes {
		return Full, nil
	}
	limit := min(max(c.Deadline, 0), l.limits.MaxDeadline)
	l.index[key] = l.entries.push(entry{
		key: key, run: run, digest: c.Digest, keyMS: keyMS, state: stateClaimed,
		claimedMS: l.nowMS, deadlineMS: l.nowMS + limit.Milliseconds(),
	})
	l.live++
	l.bytes += entryBytes
	return Claimed, nil
}

func (l *Ledger) claimAgain(e *entry, c *Claim, run keyHash) (Result, []byte) {
	if e.digest != c.Digest {
		return OtherBody, nil
	}
	switch {
	case e.state == stateRecorded:
		return Recorded, e.answer
	case e.state == stateUnknown || l.nowMS >= e.deadlineMS:
		return OutcomeUnknown, nil
	case e.run == run:
		return Claimed, nil
	}
	return InProgress, nil
}

// Record executes the report of the claimant at the given time. It reports
// false, without effect, when the key is not claimed by that request id. A
// report after the claim's deadline still counts: it turns an unknown outcome
// into a known one.
func (l *Ledger) Record(o Outcome, nowMS int64) bool {
	l.Advance(nowMS)
	key := hashKey(o.Organisation, o.Key)
	pos, ok := l.index[key]
	if !ok {
		// The resend of a withdrawal finds nothing to withdraw.
		return o.NotRun
	}
	e := l.entries.at(pos)
	if e.run != hashRun(o.RequestID) {
		return false
	}
	if e.state == stateRecorded {
		// A resend after a lost answer; the first outcome stays.
		return !o.NotRun && !o.Unknown
	}
	switch {
	case o.NotRun:
		l.remove(e)
		e.state = stateRemoved
		l.compact()
	case o.Unknown:
		e.state = stateUnknown
	default:
		e.state = stateRecorded
		e.answer = l.fit(o)
		l.bytes += int64(len(e.answer))
	}
	return true
}

// fit returns the largest form of the answer that the limits allow. An outcome
// itself is always recorded, even over MaxBytes, since the call already ran.
func (l *Ledger) fit(o Outcome) []byte {
	n := len(o.Answer)
	if n > l.limits.MaxAnswer || l.bytes+int64(n) > l.limits.MaxBytes {
		return o.Short
	}
	return o.Answer
}

// Advance moves time forward and expires what is over the bounds.
func (l *Ledger) Advance(nowMS int64) {
	if nowMS <= l.nowMS {
		return
	}
	l.nowMS = nowMS
	for l.entries.len() > 0 && l.due(l.entries.front().claimedMS, l.limits.Retention) {
		l.expireFront()
	}
	for l.tombs.len() > 0 && l.due(l.tombs.front().expiredMS, l.limits.Tombstone) {
		delete(l.expired, l.tombs.front().fingerprint)
		l.tombs.pop()
		l.bytes -= tombstoneBytes
	}
}

func (l *Ledger) due(sinceMS int64, limit time.Duration) bool {
	return l.nowMS-sinceMS >= limit.Milliseconds()
}

func (l *Ledger) expireFront() {
	e := l.entries.front()
	if e.state != stateRemoved {
		l.remove(e)
		if e.keyMS == 0 {
			l.bury(e.key)
		}
	}
	l.entries.pop()
}

func (l *Ledger) remove(e *entry) {
	delete(l.index, e.key)
	l.live--
	l.bytes -= entryBytes + int64(len(e.answer))
}

// compact drops withdrawn claims from the queue once they outnumber the others,
// because calls that are refused by their upstream would otherwise fill memory
// that no limit accounts for.
func (l *Ledger) compact() {
	if l.entries.len() < 2*l.live+chunkLength {
		return
	}
	var kept queue[entry]
	for pos := l.entries.head; pos < l.entries.tail; pos++ {
		if e := l.entries.at(pos); e.state != stateRemoved {
			l.index[e.key] = kept.push(*e)
		}
	}
	l.entries = kept
}

func (l *Ledger) bury(key keyHash) {
	f := fingerprint(key)
	if _, ok := l.expired[f]; ok {
		return
	}
	l.expired[f] = struct{}{}
	l.tombs.push(tombstone{fingerprint: f, expiredMS: l.nowMS})
	l.bytes += tombstoneBytes
}

func (l *Ledger) isExpired(key keyHash, keyMS int64) bool {
	if _, ok := l.expired[fingerprint(key)]; ok {
		return true
	}
	if keyMS == 0 {
		return false
	}
	// An entry leaves the table Retention after its claim, and the key may be
	// stamped up to clockAllowance later than its claim. The refusal begins
	// that much earlier, so there is no gap between the two.
	return l.nowMS-keyMS >= (l.limits.Retention - clockAllowance).Milliseconds()
}

// keyTime returns the creation time of a version 7 key, 0 for other keys.
func (l *Ledger) keyTime(key string) int64 {
	ms, ok := uuid7Time(key)
	if !ok || ms <= 0 || ms > l.nowMS+clockAllowance.Milliseconds() {
		return 0
	}
	return ms
}

// Stats returns the present size.
func (l *Ledger) Stats() Stats {
	return Stats{Entries: l.live, Tombstones: l.tombs.len(), Bytes: l.bytes, NowMS: l.nowMS}
}

func hashKey(organisation, key string) keyHash {
	h := sha256.New()
	var n [8]byte
	// The length keeps ("ab", "c") and ("a", "bc") apart.
	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	h.Write(n[:])
	h.Write([]byte(organisation))
	h.Write([]byte(key))
	return keyHash(h.Sum(nil)[:16])
}

func hashRun(requestID string) keyHash {
	sum := sha256.Sum256([]byte(requestID))
	return keyHash(sum[:16])
}

func fingerprint(key keyHash) uint64 {
	return binary.BigEndian.Uint64(key[:8])
}
