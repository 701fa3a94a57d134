package ledger

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// snapshotMagic is at the start of every snapshot and identifies its format.
const snapshotMagic = "GWLEDG01"

const (
	snapshotHeaderBytes = len(snapshotMagic) + 3*8
	// encodedEntryBytes is the encoded size of an entry without its answer.
	encodedEntryBytes     = 16 + 16 + 32 + 3*8 + 1 + 4
	encodedTombstoneBytes = 16
)

// Snapshot encodes the table deterministically: equal tables have equal
// snapshots.
func (l *Ledger) Snapshot() []byte {
	size := snapshotHeaderBytes + l.liveEntries*encodedEntryBytes + l.tombstones.len()*encodedTombstoneBytes + l.answerBytes()
	buf := make([]byte, 0, size)
	buf = append(buf, snapshotMagic...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.nowMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.liveEntries))
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.tombstones.len()))
	for pos := l.entries.head; pos < l.entries.tail; pos++ {
		if e := l.entries.at(pos); e.state != stateRemoved {
			buf = appendEntry(buf, e)
		}
	}
	for pos := l.tombstones.head; pos < l.tombstones.tail; pos++ {
		t := l.tombstones.at(pos)
		buf = binary.BigEndian.AppendUint64(buf, t.fingerprint)
		buf = binary.BigEndian.AppendUint64(buf, uint64(t.expiredMS))
	}
	return buf
}

// answerBytes returns the total size of the stored answers.
func (l *Ledger) answerBytes() int {
	return int(l.usedBytes) - l.liveEntries*entryMemoryBytes - l.tombstones.len()*tombstoneMemoryBytes
}

func appendEntry(buf []byte, e *entry) []byte {
	buf = append(buf, e.keyHash[:]...)
	buf = append(buf, e.requestHash[:]...)
	buf = append(buf, e.digest[:]...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.claimedMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.deadlineMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.keyCreatedMS))
	buf = append(buf, byte(e.state))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(e.answer)))
	return append(buf, e.answer...)
}

// Restore replaces the table with a snapshot. The answers share the memory of
// data, which must not be modified afterwards. If Restore returns an error, the
// table is unchanged.
func (l *Ledger) Restore(data []byte) error {
	if len(data) < snapshotHeaderBytes || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return errors.New("ledger snapshot: unknown format")
	}
	header := data[len(snapshotMagic):snapshotHeaderBytes]
	entries := binary.BigEndian.Uint64(header[8:])
	tombstones := binary.BigEndian.Uint64(header[16:])
	rest := data[snapshotHeaderBytes:]
	// Checked before allocating memory for these counts.
	if entries > uint64(len(rest)/encodedEntryBytes) || tombstones > uint64(len(rest)/encodedTombstoneBytes) {
		return errors.New("ledger snapshot: truncated")
	}
	next := &Ledger{
		limits:      l.limits,
		nowMS:       int64(binary.BigEndian.Uint64(header)),
		index:       make(map[hash128]uint64, entries),
		expiredKeys: make(map[uint64]struct{}, tombstones),
	}
	rest, err := next.restoreEntries(rest, entries)
	if err != nil {
		return err
	}
	if uint64(len(rest)) != tombstones*encodedTombstoneBytes {
		return errors.New("ledger snapshot: length does not match the number of tombstones")
	}
	next.restoreTombstones(rest)
	*l = *next
	return nil
}

func (l *Ledger) restoreEntries(rest []byte, count uint64) ([]byte, error) {
	for range count {
		if len(rest) < encodedEntryBytes {
			return nil, errors.New("ledger snapshot: truncated entry")
		}
		e, size := decodeEntry(rest)
		rest = rest[encodedEntryBytes:]
		if size > len(rest) {
			return nil, errors.New("ledger snapshot: truncated answer")
		}
		if size > 0 {
			e.answer = rest[:size:size]
		}
		rest = rest[size:]
		l.index[e.keyHash] = l.entries.push(e)
		l.liveEntries++
		l.usedBytes += entryMemoryBytes + int64(size)
	}
	return rest, nil
}

func decodeEntry(b []byte) (e entry, answerSize int) {
	copy(e.keyHash[:], b)
	copy(e.requestHash[:], b[16:])
	copy(e.digest[:], b[32:])
	e.claimedMS = int64(binary.BigEndian.Uint64(b[64:]))
	e.deadlineMS = int64(binary.BigEndian.Uint64(b[72:]))
	e.keyCreatedMS = int64(binary.BigEndian.Uint64(b[80:]))
	e.state = state(b[88])
	return e, int(binary.BigEndian.Uint32(b[89:]))
}

func (l *Ledger) restoreTombstones(rest []byte) {
	for len(rest) > 0 {
		t := tombstone{
			fingerprint: binary.BigEndian.Uint64(rest),
			expiredMS:   int64(binary.BigEndian.Uint64(rest[8:])),
		}
		rest = rest[encodedTombstoneBytes:]
		l.expiredKeys[t.fingerprint] = struct{}{}
		l.tombstones.push(t)
		l.usedBytes += tombstoneMemoryBytes
	}
}
