package control

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// commandKind is the first byte of every replicated command.
type commandKind byte

const (
	// commandConfigChange carries a ConfigChange.
	commandConfigChange commandKind = iota + 1
	// commandAcquireLease carries the term in which the leader decided, and a
	// PoolLease whose fencing token is that of the lease to be replaced.
	commandAcquireLease
	// commandReleaseLease carries a ReleaseLeaseRequest.
	commandReleaseLease
	// commandLeaderAddresses carries the term of a new leader and its addresses
	// as a Hello (daemon_id: member id, vm: internal address, place: operator
	// address).
	commandLeaderAddresses
	// commandMemberAddress carries the id and internal address of a member that
	// is being added, in the same Hello fields.
	commandMemberAddress
	// commandClaim carries the leader's time and a ClaimRequest.
	commandClaim
	// commandRecordOutcome carries the leader's time and a RecordRequest.
	commandRecordOutcome
)

// prefixSize is the size in bytes of the big-endian integer (a term, or a time
// in Unix milliseconds) that precedes the message of some commands.
const prefixSize = 8

func encodeCommand(kind commandKind, m proto.Message) ([]byte, error) {
	buf := make([]byte, 0, 1+proto.Size(m))
	buf = append(buf, byte(kind))
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, m)
	return out, errors.Wrap(err, "encoding command")
}

func encodeWithPrefix(kind commandKind, prefix uint64, m proto.Message) ([]byte, error) {
	buf := make([]byte, 0, 1+prefixSize+proto.Size(m))
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint64(buf, prefix)
	out, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	return out, errors.Wrap(err, "encoding command")
}

func decodeWithPrefix(data []byte, m proto.Message) (prefix uint64, err error) {
	if len(data) < prefixSize {
		return 0, errors.New("decoding command: too short")
	}
	prefix = binary.BigEndian.Uint64(data)
	return prefix, errors.Wrap(proto.Unmarshal(data[prefixSize:], m), "decoding command")
}

// appendMessage appends an encoded message, prefixed with its length as a
// varint.
func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, m)
}

// snapshotReader decodes the integers, byte strings and messages of a snapshot.
// After the first error it returns zero values and err is set.
type snapshotReader struct {
	remaining []byte
	err       error
}

func (r *snapshotReader) uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.err = errors.New("snapshot: truncated integer")
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

func (r *snapshotReader) bytes(n uint64) []byte {
	if r.err == nil && n > uint64(len(r.remaining)) {
		r.err = errors.New("snapshot: truncated byte string")
	}
	if r.err != nil {
		return nil
	}
	b := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return b
}

func (r *snapshotReader) message(m proto.Message) {
	b := r.bytes(r.uint())
	if r.err == nil {
		r.err = proto.Unmarshal(b, m)
	}
}
