package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Defaults of Limits.
const (
	DefaultRetention          = 24 * time.Hour
	DefaultTombstoneRetention = 30 * 24 * time.Hour
	DefaultMaxBytes           = 1 << 30
	DefaultMaxAnswerBytes     = 64 << 10
	DefaultMaxDeadline        = 10 * time.Minute
)

const (
	// entryMemoryBytes is the memory that counts towards MaxBytes for an entry
	// without its answer: the entry itself and its slot in the index.
	entryMemoryBytes = 160
	// tombstoneMemoryBytes is the memory that counts towards MaxBytes for a
	// tombstone: its element in the queue and its slot in the set.
	tombstoneMemoryBytes = 40
	// maxKeyClockLead is the maximum time by which the clock of a caller that
	// creates version 7 keys may be ahead of the ledger's time. Keys from
	// further in the future are treated as opaque.
	maxKeyClockLead = 5 * time.Minute
)

// Result is the result of a claim.
type Result uint8

// Results of Claim.
const (
	// Claimed: the claimant must run the call.
	Claimed Result = iota + 1
	// Recorded: the call has already run; its answer is returned.
	Recorded
	// InProgress: an earlier claimant is running the call.
	InProgress
	// OutcomeUnknown: an earlier claimant may have run the call, but reported
	// an unknown outcome or none before its deadline.
	OutcomeUnknown
	// OtherBody: the key was used for a request with a different digest.
	OtherBody
	// Expired: the key was claimed longer ago than Retention, or created longer
	// ago than Retention less maxKeyClockLead.
	Expired
	// Full: the table has reached MaxBytes; the call may be retried later.
	Full
)

func (r Result) String() string {
	names := [...]string{"invalid", "claimed", "recorded", "in progress", "outcome unknown", "other body", "expired", "full"}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// Limits are the limits of a ledger. All replicas must use the same limits. Zero
// fields take the defaults.
type Limits struct {
	// Retention is the time for which an entry is kept after its claim.
	Retention time.Duration
	// TombstoneRetention is the time for which the fingerprint of an opaque
	// key is kept after its entry has expired.
	TombstoneRetention time.Duration
	// MaxBytes is the maximum memory accounted for entries, answers and
	// tombstones. Only the short answers of calls that already ran may exceed
	// it.
	MaxBytes int64
	// MaxAnswerBytes is the maximum size of a stored answer.
	MaxAnswerBytes int
	// MaxDeadline is the maximum time for which a claim stays in progress.
	MaxDeadline time.Duration
}

func (l *Limits) setDefaults() {
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	if l.TombstoneRetention <= 0 {
		l.TombstoneRetention = DefaultTombstoneRetention
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultMaxBytes
	}
	if l.MaxAnswerBytes <= 0 {
		l.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if l.MaxDeadline <= 0 {
		l.MaxDeadline = DefaultMaxDeadline
	}
}

// Claim is a request to run a call.
type Claim struct {
	Organisation string
	// Key is the idempotency key.
	Key string
	// Digest is the SHA-256 digest of the request.
	Digest [sha256.Size]byte
	// RequestID must be unique to one run of the call.
	RequestID string
	// Deadline is the maximum time that the call may take.
	Deadline time.Duration
}

// Outcome is the claimant's report on a claimed call.
type Outcome struct {
	Organisation string
	Key          string
	RequestID    string
	// Answer is stored and returned to later claims of the key.
	Answer []byte
	// ShortAnswer is stored instead of Answer if Answer exceeds a limit.
	ShortAnswer []byte
	// Unknown means that it is not known whether the call ran.
	Unknown bool
	// NotRun means that the call certainly did not run. The claim is removed.
	NotRun bool
}

// Stats describes the size of a ledger.
type Stats struct {
	Entries    int
	Tombstones int
	// Bytes is the memory that counts towards MaxBytes.
	Bytes int64
	// NowMS is the ledger's time in Unix milliseconds.
	NowMS int64
}

// state is the state of an entry.
type state uint8

const (
	// stateRemoved marks a claim that was withdrawn because the call did not
	// run.
	stateRemoved state = iota
	stateClaimed
	stateUnknown
	stateRecorded
)

// hash128 is a SHA-256 digest truncated to 128 bits.
type hash128 [16]byte

// entry is a claimed call. The queue holds entries in the order of their claims,
// in which they also expire because time never decreases.
type entry struct {
	keyHash     hash128
	requestHash hash128
	digest      [sha256.Size]byte
	claimedMS   int64
	deadlineMS  int64
	// keyCreatedMS is the creation time of a version 7 key, 0 for other keys.
	keyCreatedMS int64
	state        state
	answer       []byte
}

// tombstone is the remainder of an expired entry with an opaque key.
type tombstone struct {
	fingerprint uint64
	expiredMS   int64
}

// Ledger is the table of claimed calls. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	nowMS       int64
	usedBytes   int64
	liveEntries int
	entries     queue[entry]
	// index maps a key's hash to the position of its entry in the queue.
	index map[hash128]uint64
	// tombstones and expiredKeys hold the same fingerprints: in the order of
	// their expiry and as a set.
	tombstones  queue[tombstone]
	expiredKeys map[uint64]struct{}
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	limits.setDefaults()
	return &Ledger{limits: limits, index: map[hash128]uint64{}, expiredKeys: map[uint64]struct{}{}}
}

// Claim executes a claim at the given time in Unix milliseconds. The answer is
// set only for Recorded and must not be modified.
func (l *Ledger) Claim(c Claim, nowMS int64) (Result, []byte) {
	l.AdvanceTime(nowMS)
	keyHash := hashKey(c.Organisation, c.Key)
	requestHash := hashRequestID(c.RequestID)
	if pos, ok := l.index[keyHash]; ok {
		return l.claimExisting(l.entries.at(pos), &c, requestHash)
	}
	keyCreatedMS := l.keyCreationTime(c.Key)
	if l.isExpired(keyHash, keyCreatedMS) {
		return Expired, nil
	}
	if l.usedBytes+entryMemoryBytes > l.limits.MaxBytes {
		return Full, nil
	}
	timeout := min(max(c.Deadline, 0), l.limits.MaxDeadline)
	l.index[keyHash] = l.entries.push(entry{
		keyHash: keyHash, requestHash: requestHash, digest: c.Digest, keyCreatedMS: keyCreatedMS, state: stateClaimed,
		claimedMS: l.nowMS, deadlineMS: l.nowMS + timeout.Milliseconds(),
	})
	l.liveEntries++
	l.usedBytes += entryMemoryBytes
	return Claimed, nil
}

func (l *Ledger) claimExisting(e *entry, c *Claim, requestHash hash128) (Result, []byte) {
	if e.digest != c.Digest {
		return OtherBody, nil
	}
	switch {
	case e.state == stateRecorded:
		return Recorded, e.answer
	case e.state == stateUnknown || l.nowMS >= e.deadlineMS:
		return OutcomeUnknown, nil
	case e.requestHash == requestHash:
		return Claimed, nil
	}
	return InProgress, nil
}

// Record stores the claimant's report at the given time in Unix milliseconds. It
// returns false and stores nothing if the key is not claimed by that request id
// or the report contradicts a recorded answer. For a key without a claim, a NotRun
// report returns true. A report after the claim's deadline is still accepted: it
// makes an unknown outcome known.
func (l *Ledger) Record(o Outcome, nowMS int64) bool {
	l.AdvanceTime(nowMS)
	keyHash := hashKey(o.Organisation, o.Key)
	pos, ok := l.index[keyHash]
	if !ok {
		// A NotRun report may be a retry of one that already removed the claim.
		return o.NotRun
	}
	e := l.entries.at(pos)
	if e.requestHash != hashRequestID(o.RequestID) {
		return false
	}
	if e.state == stateRecorded {
		// A retry after a lost response. The first outcome is kept.
		return !o.NotRun && !o.Unknown
	}
	switch {
	case o.NotRun:
		l.dropFromIndex(e)
		e.state = stateRemoved
		l.dropRemovedEntries()
	case o.Unknown:
		e.state = stateUnknown
	default:
		e.state = stateRecorded
		e.answer = l.storableAnswer(o)
		l.usedBytes += int64(len(e.answer))
	}
	return true
}

// storableAnswer returns Answer if the limits allow it, otherwise ShortAnswer.
// The outcome itself is always recorded, even above MaxBytes, because the call
// has already run.
func (l *Ledger) storableAnswer(o Outcome) []byte {
	n := len(o.Answer)
	if n > l.limits.MaxAnswerBytes || l.usedBytes+int64(n) > l.limits.MaxBytes {
		return o.ShortAnswer
	}
	return o.Answer
}

// AdvanceTime moves time forward to nowMS, in Unix milliseconds, and removes
// the entries and tombstones whose retention has ended.
func (l *Ledger) AdvanceTime(nowMS int64) {
	if nowMS <= l.nowMS {
		return
	}
	l.nowMS = nowMS
	for l.entries.len() > 0 && l.isOlderThan(l.entries.front().claimedMS, l.limits.Retention) {
		l.expireFront()
	}
	for l.tombstones.len() > 0 && l.isOlderThan(l.tombstones.front().expiredMS, l.limits.TombstoneRetention) {
		delete(l.expiredKeys, l.tombstones.front().fingerprint)
		l.tombstones.pop()
		l.usedBytes -= tombstoneMemoryBytes
	}
}

func (l *Ledger) isOlderThan(sinceMS int64, age time.Duration) bool {
	return l.nowMS-sinceMS >= age.Milliseconds()
}

func (l *Ledger) expireFront() {
	e := l.entries.front()
	if e.state != stateRemoved {
		l.dropFromIndex(e)
		if e.keyCreatedMS == 0 {
			l.addTombstone(e.keyHash)
		}
	}
	l.entries.pop()
}

// dropFromIndex takes an entry out of the index and the accounting. The caller
// removes it from the queue.
func (l *Ledger) dropFromIndex(e *entry) {
	delete(l.index, e.keyHash)
	l.liveEntries--
	l.usedBytes -= entryMemoryBytes + int64(len(e.answer))
}

// dropRemovedEntries drops withdrawn claims from the queue once they outnumber
// the live entries by a chunk. Otherwise calls that their upstream rejects would
// use memory that no limit accounts for.
func (l *Ledger) dropRemovedEntries() {
	if l.entries.len() < 2*l.liveEntries+chunkLength {
		return
	}
	var kept queue[entry]
	for pos := l.entries.head; pos < l.entries.tail; pos++ {
		if e := l.entries.at(pos); e.state != stateRemoved {
			l.index[e.keyHash] = kept.push(*e)
		}
	}
	l.entries = kept
}

func (l *Ledger) addTombstone(keyHash hash128) {
	f := fingerprint(keyHash)
	if _, ok := l.expiredKeys[f]; ok {
		return
	}
	l.expiredKeys[f] = struct{}{}
	l.tombstones.push(tombstone{fingerprint: f, expiredMS: l.nowMS})
	l.usedBytes += tombstoneMemoryBytes
}

func (l *Ledger) isExpired(keyHash hash128, keyCreatedMS int64) bool {
	if _, ok := l.expiredKeys[fingerprint(keyHash)]; ok {
		return true
	}
	if keyCreatedMS == 0 {
		return false
	}
	// An entry leaves the table Retention after its claim, and the creation
	// time in the key may be up to maxKeyClockLead after the claim. The key is
	// refused that much earlier, so that it can't be claimed in between.
	return l.nowMS-keyCreatedMS >= (l.limits.Retention - maxKeyClockLead).Milliseconds()
}

// keyCreationTime returns the creation time of a version 7 key in Unix
// milliseconds, or 0 if the key is opaque.
func (l *Ledger) keyCreationTime(key string) int64 {
	ms, ok := uuid7Time(key)
	if !ok || ms <= 0 || ms > l.nowMS+maxKeyClockLead.Milliseconds() {
		return 0
	}
	return ms
}

// Stats returns the current size and time of the ledger.
func (l *Ledger) Stats() Stats {
	return Stats{Entries: l.liveEntries, Tombstones: l.tombstones.len(), Bytes: l.usedBytes, NowMS: l.nowMS}
}

func hashKey(organisation, key string) hash128 {
	h := sha256.New()
	var n [8]byte
	// The length prefix gives ("ab", "c") and ("a", "bc") different hashes.
	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	h.Write(n[:])
	h.Write([]byte(organisation))
	h.Write([]byte(key))
	return hash128(h.Sum(nil)[:16])
}

func hashRequestID(requestID string) hash128 {
	sum := sha256.Sum256([]byte(requestID))
	return hash128(sum[:16])
}

func fingerprint(keyHash hash128) uint64 {
	return binary.BigEndian.Uint64(keyHash[:8])
}
