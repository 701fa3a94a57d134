package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// GroupID identifies a replication group.
type GroupID uint32

// HardState is the Raft state of a group that must be durable before a vote or
// an acknowledgement is sent.
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

// Snapshot describes a snapshot of a group's state after the entry at Index.
// Meta is opaque to the log and stored with it.
type Snapshot struct {
	Index uint64
	Term  uint64
	Meta  []byte
}

// Layout of a frame: magic number (4 bytes), payload length (4), sequence number
// (8), CRC32C checksum over these three and the payload (4), payload.
const (
	frameMagic       = 0x4c415747 // "GWAL"
	frameHeaderBytes = 4 + 4 + 8 + 4
	frameCRCOffset   = 16
	// MaxFrameBytes is the maximum size of the payload of one frame.
	MaxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType is the type of a record in a frame.
type recordType uint8

const (
	recordHardState recordType = iota + 1
	recordEntry
	recordSnapshot
	recordIdentity
)

// startFrame clears buf and reserves space for the frame header.
func startFrame(buf []byte) []byte {
	return append(buf[:0], make([]byte, frameHeaderBytes)...)
}

// finishFrame writes the header of a frame whose payload is complete.
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

// parseFrame returns the payload, sequence number and total size of the frame at
// the start of b. ok is false if there is no valid frame.
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

// Batch is a list of records that Write stores atomically in one frame: either
// all or none of them survive a crash.
type Batch struct {
	encoded []byte
	// decoded holds the same records for updating the log's in-memory state.
	decoded []decodedRecord
}

// decodedRecord is a record of any type. Only the field for its type is set.
type decodedRecord struct {
	kind      recordType
	group     GroupID
	hardState HardState
	// entry lacks its data in a Batch.
	entry    Entry
	snapshot Snapshot
	identity []byte
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return len(b.encoded) == 0 }

// Reset removes all records and keeps the allocated memory.
func (b *Batch) Reset() {
	b.encoded = b.encoded[:0]
	b.decoded = b.decoded[:0]
}

// SetHardState adds a group's hard state.
func (b *Batch) SetHardState(group GroupID, s HardState) {
	b.startRecord(recordHardState, group)
	b.uvarints(s.Term, s.Vote, s.Commit)
	b.decoded = append(b.decoded, decodedRecord{kind: recordHardState, group: group, hardState: s})
}

// Append adds an entry. It replaces the group's entries with the same or a higher
// index.
func (b *Batch) Append(group GroupID, e Entry) {
	b.startRecord(recordEntry, group)
	b.uvarints(e.Index, e.Term, uint64(e.Type))
	b.bytes(e.Data)
	e.Data = nil
	b.decoded = append(b.decoded, decodedRecord{kind: recordEntry, group: group, entry: e})
}

// SetSnapshot makes a snapshot that WriteSnapshot has stored the start of the
// group's log. Entries up to its index are discarded. Later entries are kept only
// if the log holds the entry with the snapshot's index and term.
func (b *Batch) SetSnapshot(group GroupID, s Snapshot) {
	b.startRecord(recordSnapshot, group)
	b.uvarints(s.Index, s.Term)
	b.bytes(s.Meta)
	b.decoded = append(b.decoded, decodedRecord{kind: recordSnapshot, group: group, snapshot: s})
}

// SetIdentity adds opaque bytes that identify the owner of the log.
func (b *Batch) SetIdentity(identity []byte) {
	b.startRecord(recordIdentity, 0)
	b.bytes(identity)
	b.decoded = append(b.decoded, decodedRecord{kind: recordIdentity, identity: append([]byte(nil), identity...)})
}

func (b *Batch) startRecord(kind recordType, group GroupID) {
	b.encoded = append(b.encoded, byte(kind))
	b.uvarints(uint64(group))
}

func (b *Batch) uvarints(values ...uint64) {
	for _, v := range values {
		b.encoded = binary.AppendUvarint(b.encoded, v)
	}
}

func (b *Batch) bytes(data []byte) {
	b.encoded = binary.AppendUvarint(b.encoded, uint64(len(data)))
	b.encoded = append(b.encoded, data...)
}

var errBadRecord = errors.New("malformed record in a frame with a valid checksum")

// recordReader decodes the records of a frame.
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

// next decodes the next record, including the data of an entry.
func (r *recordReader) next() (decodedRecord, error) {
	kind := recordType(r.rest[0])
	r.rest = r.rest[1:]
	rec := decodedRecord{kind: kind, group: GroupID(r.uvarint())}
	switch kind {
	case recordHardState:
		rec.hardState = HardState{Term: r.uvarint(), Vote: r.uvarint(), Commit: r.uvarint()}
	case recordEntry:
		rec.entry = Entry{Index: r.uvarint(), Term: r.uvarint(), Type: uint8(r.uvarint()), Data: r.bytes()}
	case recordSnapshot:
		rec.snapshot = Snapshot{Index: r.uvarint(), Term: r.uvarint(), Meta: r.bytes()}
	case recordIdentity:
		rec.identity = r.bytes()
	default:
		return rec, errBadRecord
	}
	if r.failed {
		return rec, errBadRecord
	}
	return rec, nil
}
