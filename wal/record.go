package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// GroupID names one replication group of the log.
type GroupID uint32

// HardState is the part of a group's state that a vote or an acknowledgement
// depends on.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Entry is one log entry of a group. Type and Data are opaque to the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  uint8
	Data  []byte
}

// Snapshot is a position in a group's log with the state up to it. Meta is
// opaque to the log and stored beside the position.
type Snapshot struct {
	Index uint64
	Term  uint64
	Meta  []byte
}

// Layout of a frame: magic, payload length, sequence number, checksum over the
// three and the payload, payload.
const (
	frameMagic       = 0x4c415747 // "GWAL"
	frameHeaderBytes = 4 + 4 + 8 + 4
	frameCRCOffset   = 16
	// MaxFrameBytes bounds the payload of one frame.
	MaxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType is the kind of one record in a frame.
type recordType uint8

const (
	recordHardState recordType = iota + 1
	recordEntry
	recordSnapshot
	recordIdentity
)

// startFrame reserves room for the header.
func startFrame(buf []byte) []byte {
	return append(buf[:0], make([]byte, frameHeaderBytes)...)
}

// finishFrame fills in the header of a frame.
func finishFrame(frame []byte, sequence uint64) {
	binary.LittleEndian.PutUint32(frame[0:], frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(frame)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(frame[8:], sequence)
	binary.LittleEndian.PutUint32(frame[frameCRCOffset:], frameChecksum(frame))
}

func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[:frameCRCOffset])
	return crc32.Update(sum, castagnoli, frame[frameHeaderBytes:])
}

// parseFrame returns the payload of the frame at the start of b, its sequence
// number and its size, and false when there is no valid frame.
func parseFrame(b []byte) (payload []byte, sequence uint64, size int, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, 0, false
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > MaxFrameBytes || uint64(length) > uint64(len(b)-frameHeaderBytes) {
		return nil, 0, 0, false
	}
	size = frameHeaderBytes + int(length)
	frame := b[:size]
	if binary.LittleEndian.Uint32(frame[frameCRCOffset:]) != frameChecksum(frame) {
		return nil, 0, 0, false
	}
	return frame[frameHeaderBytes:], binary.LittleEndian.Uint64(frame[8:]), size, true
}

// Batch collects records that Write stores in one frame: all or none of them
// survive a crash.
type Batch struct {
	records []byte
	// changes mirrors records for the log's own bookkeeping.
	changes []change
}

// change is what one record does to the bookkeeping of a group.
type change struct {
	kind      recordType
	group     GroupID
	hardState HardState
	// entry is set without its data.
	entry    Entry
	snapshot Snapshot
	identity []byte
}

// Empty reports whether the batch holds no record.
func (b *Batch) Empty() bool { return len(b.records) == 0 }

// Reset empties the batch and keeps its memory.
func (b *Batch) Reset() {
	b.records = b.records[:0]
	b.changes = b.changes[:0]
}

// SetHardState stores a group's hard state.
func (b *Batch) SetHardState(group GroupID, s HardState) {
	b.start(recordHardState, group)
	b.uvarints(s.Term, s.Vote, s.Commit)
	b.changes = append(b.changes, change{kind: recordHardState, group: group, hardState: s})
}

// Append stores an entry. It replaces the group's entries with the same or a
// higher index.
func (b *Batch) Append(group GroupID, e Entry) {
	b.start(recordEntry, group)
	b.uvarints(e.Index, e.Term, uint64(e.Type))
	b.bytes(e.Data)
	e.Data = nil
	b.changes = append(b.changes, change{kind: recordEntry, group: group, entry: e})
}

// SetSnapshot makes a snapshot that WriteSnapshot stored the start of the
// group's log. Entries up to its index are dropped; later ones stay when the
// log holds an entry of the snapshot's index and term.
func (b *Batch) SetSnapshot(group GroupID, s Snapshot) {
	b.start(recordSnapshot, group)
	b.uvarints(s.Index, s.Term)
	b.bytes(s.Meta)
	b.changes = append(b.changes, change{kind: recordSnapshot, group: group, snapshot: s})
}

// SetIdentity stores opaque bytes that name the owner of the log.
func (b *Batch) SetIdentity(identity []byte) {
	b.start(recordIdentity, 0)
	b.bytes(identity)
	b.changes = append(b.changes, change{kind: recordIdentity, identity: append([]byte(nil), identity...)})
}

func (b *Batch) start(kind recordType, group GroupID) {
	b.records = append(b.records, byte(kind))
	b.uvarints(uint64(group))
}

func (b *Batch) uvarints(values ...uint64) {
	for _, v := range values {
		b.records = binary.AppendUvarint(b.records, v)
	}
}

func (b *Batch) bytes(data []byte) {
	b.records = binary.AppendUvarint(b.records, uint64(len(data)))
	b.records = append(b.records, data...)
}

var errBadRecord = errors.New("malformed record in a frame with a valid checksum")

// recordReader decodes the records of one frame.
type recordReader struct {
	rest   []byte
	failed bool
}

func (r *recordReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *recordReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		r.rest = nil
		return nil
	}
	data := append([]byte(nil), r.rest[:n]...)
	r.rest = r.rest[n:]
	return data
}

// next decodes one record. The entry of an entry record includes its data.
func (r *recordReader) next() (change, error) {
	kind := recordType(r.rest[0])
	r.rest = r.rest[1:]
	c := change{kind: kind, group: GroupID(r.uvarint())}
	switch kind {
	case recordHardState:
		c.hardState = HardState{Term: r.uvarint(), Vote: r.uvarint(), Commit: r.uvarint()}
	case recordEntry:
		c.entry = Entry{Index: r.uvarint(), Term: r.uvarint(), Type: uint8(r.uvarint()), Data: r.bytes()}
	case recordSnapshot:
		c.snapshot = Snapshot{Index: r.uvarint(), Term: r.uvarint(), Meta: r.bytes()}
	case recordIdentity:
		c.identity = r.bytes()
	default:
		return c, errBadRecord
	}
	if r.failed {
		return c, errBadRecord
	}
	return c, nil
}
