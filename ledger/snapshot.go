package ledger

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// snapshotMagic begins every snapshot and names its format.
const snapshotMagic = "GWLEDG01"

const (
	headerSize = len(snapshotMagic) + 3*8
	// entrySize is the encoded size of an entry without its answer.
	entrySize     = 16 + 16 + 32 + 3*8 + 1 + 4
	tombstoneSize = 16
)

// Snapshot encodes the table. Equal tables have equal snapshots.
func (l *Ledger) Snapshot() []byte {
	size := headerSize + l.live*entrySize + l.tombs.len()*tombstoneSize + l.answerBytes()
	buf := make([]byte, 0, size)
	buf = append(buf, snapshotMagic...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.nowMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.live))
	buf = binary.BigEndian.AppendUint64(buf, uint64(l.tombs.len()))
	for pos := l.entries.head; pos < l.entries.tail; pos++ {
		if e := l.entries.at(pos); e.state != stateRemoved {
			buf = appendEntry(buf, e)
		}
	}
	for pos := l.tombs.head; pos < l.tombs.tail; pos++ {
		t := l.tombs.at(pos)
		buf = binary.BigEndian.AppendUint64(buf, t.fingerprint)
		buf = binary.BigEndian.AppendUint64(buf, uint64(t.expiredMS))
	}
	return buf
}

func (l *Ledger) answerBytes() int {
	return int(l.bytes) - l.live*entryBytes - l.tombs.len()*tombstoneBytes
}

func appendEntry(buf []byte, e *entry) []byte {
	buf = append(buf, e.key[:]...)
	buf = append(buf, e.run[:]...)
	buf = append(buf, e.digest[:]...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.claimedMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.deadlineMS))
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.keyMS))
	buf = append(buf, byte(e.state))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(e.answer)))
	return append(buf, e.answer...)
}

// Restore replaces the table by a snapshot. Answers refer to data, which must
// not be modified afterwards. On an error the table is unchanged.
func (l *Ledger) Restore(data []byte) error {
	if len(data) < headerSize || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return errors.New("ledger snapshot: unknown format")
	}
	header := data[len(snapshotMagic):headerSize]
	entries := binary.BigEndian.Uint64(header[8:])
	tombs := binary.BigEndian.Uint64(header[16:])
	rest := data[headerSize:]
	// Checked before the allocation below, which trusts the counts.
	if entries > uint64(len(rest)/entrySize) || tombs > uint64(len(rest)/tombstoneSize) {
		return errors.New("ledger snapshot: truncated")
	}
	next := &Ledger{
		limits:  l.limits,
		nowMS:   int64(binary.BigEndian.Uint64(header)),
		index:   make(map[keyHash]uint64, entries),
		expired: make(map[uint64]struct{}, tombs),
	}
	rest, err := next.restoreEntries(rest, entries)
	if err != nil {
		return err
	}
	if uint64(len(rest)) != tombs*tombstoneSize {
		return errors.New("ledger snapshot: wrong length")
	}
	next.restoreTombstones(rest)
	*l = *next
	return nil
}

func (l *Ledger) restoreEntries(rest []byte, count uint64) ([]byte, error) {
	for range count {
		if len(rest) < entrySize {
			return nil, errors.New("ledger snapshot: truncated entry")
		}
		e, size := decodeEntry(rest)
		rest = rest[entrySize:]
		if size > len(rest) {
			return nil, errors.New("ledger snapshot: truncated answer")
		}
		if size > 0 {
			e.answer = rest[:size:size]
		}
		rest = rest[size:]
		l.index[e.key] = l.entries.push(e)
		l.live++
		l.bytes += entryBytes + int64(size)
	}
	return rest, nil
}

func decodeEntry(b []byte) (e entry, answerSize int) {
	copy(e.key[:], b)
	copy(e.run[:], b[16:])
	copy(e.digest[:], b[32:])
	e.claimedMS = int64(binary.BigEndian.Uint64(b[64:]))
	e.deadlineMS = int64(binary.BigEndian.Uint64(b[72:]))
	e.keyMS = int64(binary.BigEndian.Uint64(b[80:]))
	e.state = state(b[88])
	return e, int(binary.BigEndian.Uint32(b[89:]))
}

func (l *Ledger) restoreTombstones(rest []byte) {
	for len(rest) > 0 {
		t := tombstone{
			fingerprint: binary.BigEndian.Uint64(rest),
			expiredMS:   int64(binary.BigEndian.Uint64(rest[8:])),
		}
		rest = rest[tombstoneSize:]
		l.expired[t.fingerprint] = struct{}{}
		l.tombs.push(t)
		l.bytes += tombstoneBytes
	}
}
