package raft

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// ErrMalformed is wrapped by every decoding error.
var ErrMalformed = errors.New("malformed raft encoding")

// codecVersion is the first byte of every encoded message.
const codecVersion = 1

// Bits of the flags byte of an encoded message.
const (
	flagReject = 1 << iota
	flagTransfer
	flagSnapshot
	flagEnd
)

// minEntryBytes is the size of the smallest encoded entry. It bounds the memory
// that a forged or corrupt entry count can make the decoder allocate.
const minEntryBytes = 4

// AppendMessage appends the encoding of m to dst.
func AppendMessage(dst []byte, m *Message) []byte {
	var flags byte
	if m.Reject {
		flags |= flagReject
	}
	if m.Transfer {
		flags |= flagTransfer
	}
	if m.Snapshot != nil {
		flags |= flagSnapshot
	}
	dst = append(dst, codecVersion, byte(m.Type), flags)
	for _, v := range [...]uint64{uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Context} {
		dst = binary.AppendUvarint(dst, v)
	}
	dst = binary.AppendUvarint(dst, uint64(len(m.Entries)))
	for i := range m.Entries {
		dst = AppendEntry(dst, &m.Entries[i])
	}
	if m.Snapshot != nil {
		dst = appendBytes(dst, AppendSnapshotMeta(nil, &m.Snapshot.Meta))
		dst = appendBytes(dst, m.Snapshot.Data)
	}
	return dst
}

// AppendEntry appends the encoding of e to dst.
func AppendEntry(dst []byte, e *Entry) []byte {
	dst = binary.AppendUvarint(dst, e.Index)
	dst = binary.AppendUvarint(dst, e.Term)
	dst = append(dst, byte(e.Type))
	return appendBytes(dst, e.Data)
}

// AppendMembership appends the encoding of m to dst.
func AppendMembership(dst []byte, m *Membership) []byte {
	for _, ids := range [...][]MemberID{m.Voters, m.Learners, m.Removed} {
		dst = binary.AppendUvarint(dst, uint64(len(ids)))
		for _, id := range ids {
			dst = binary.AppendUvarint(dst, uint64(id))
		}
	}
	return dst
}

// AppendSnapshotMeta appends the encoding of m to dst.
func AppendSnapshotMeta(dst []byte, m *SnapshotMeta) []byte {
	dst = binary.AppendUvarint(dst, m.Index)
	dst = binary.AppendUvarint(dst, m.Term)
	return AppendMembership(dst, &m.Membership)
}

func appendBytes(dst, b []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(b)))
	return append(dst, b...)
}

// DecodeMessage decodes one message. The result shares the memory of b.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{rest: b}
	var m Message
	version := d.byte()
	m.Type = MessageType(d.byte())
	flags := d.byte()
	if d.failed || version != codecVersion || m.Type == 0 || m.Type >= messageTypeEnd || flags >= flagEnd {
		return Message{}, errors.Wrap(ErrMalformed, "decoding message header")
	}
	m.Reject = flags&flagReject != 0
	m.Transfer = flags&flagTransfer != 0
	m.From = MemberID(d.uvarint())
	m.To = MemberID(d.uvarint())
	for _, field := range [...]*uint64{&m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.Hint, &m.Context} {
		*field = d.uvarint()
	}
	m.Entries = d.entries()
	if flags&flagSnapshot != 0 {
		m.Snapshot = d.snapshot()
	}
	if !d.done() {
		return Message{}, errors.Wrapf(ErrMalformed, "decoding %s", m.Type)
	}
	return m, nil
}

// DecodeMembership decodes a membership.
func DecodeMembership(b []byte) (Membership, error) {
	d := decoder{rest: b}
	m := d.membership()
	if !d.done() {
		return Membership{}, errors.Wrap(ErrMalformed, "decoding membership")
	}
	return m, nil
}

// DecodeSnapshotMeta decodes the metadata of a snapshot.
func DecodeSnapshotMeta(b []byte) (SnapshotMeta, error) {
	d := decoder{rest: b}
	m := d.snapshotMeta()
	if !d.done() {
		return SnapshotMeta{}, errors.Wrap(ErrMalformed, "decoding snapshot metadata")
	}
	return m, nil
}

// decoder reads fields one after another. After the first error it returns only
// zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

func (d *decoder) done() bool { return !d.failed && len(d.rest) == 0 }

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.fail()
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// count reads a number of elements and fails if that many elements of at least
// minBytes each can't fit the remaining input.
func (d *decoder) count(minBytes int) int {
	v := d.uvarint()
	if v > uint64(len(d.rest)/minBytes) {
		d.fail()
		return 0
	}
	return int(v)
}

func (d *decoder) bytes() []byte {
	n := d.count(1)
	if n == 0 {
		return nil
	}
	b := d.rest[:n:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) entries() []Entry {
	n := d.count(minEntryBytes)
	if n == 0 {
		return nil
	}
	entries := make([]Entry, n)
	for i := range entries {
		e := &entries[i]
		e.Index = d.uvarint()
		e.Term = d.uvarint()
		e.Type = EntryType(d.byte())
		e.Data = d.bytes()
		if e.Type >= entryTypeEnd {
			d.fail()
		}
	}
	return entries
}

func (d *decoder) memberIDs() []MemberID {
	n := d.count(1)
	if n == 0 {
		return nil
	}
	ids := make([]MemberID, n)
	for i := range ids {
		ids[i] = MemberID(d.uvarint())
	}
	return ids
}

func (d *decoder) membership() Membership {
	return Membership{Voters: d.memberIDs(), Learners: d.memberIDs(), Removed: d.memberIDs()}
}

func (d *decoder) snapshotMeta() SnapshotMeta {
	return SnapshotMeta{Index: d.uvarint(), Term: d.uvarint(), Membership: d.membership()}
}

func (d *decoder) snapshot() *Snapshot {
	inner := decoder{rest: d.bytes()}
	s := &Snapshot{Meta: inner.snapshotMeta()}
	if !inner.done() {
		d.fail()
	}
	s.Data = d.bytes()
	return s
}
