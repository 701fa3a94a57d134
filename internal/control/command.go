package control

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// commandKind is the first byte of every replicated command.
type commandKind byte

const (
	// commandChange carries a ConfigChange.
	commandChange commandKind = iota + 1
	// commandAcquire carries a PoolLease whose fencing token is the replaced
	// one, after the term in which the leader decided.
	commandAcquire
	// commandRelease carries a ReleaseLeaseRequest.
	commandRelease
	// commandLeader carries the addresses of a new leader as a Hello
	// (daemon_id: member id, vm: internal address, place: operator address),
	// after its term.
	commandLeader
	// commandMember carries the internal address of a member that is being
	// added, in the same fields.
	commandMember
	// commandClaim carries a ClaimRequest after the leader's time.
	commandClaim
	// commandRecord carries a RecordRequest after the leader's time.
	commandRecord
)

// numberSize is the length of the big-endian number (a term, or a time in Unix
// milliseconds) that precedes the message of some commands.
const numberSize = 8

func encodeCommand(kind commandKind, m proto.Message) ([]byte, error) {
	buf := make([]byte, 0, 1+proto.Size(m))
	buf = append(buf, byte(kind))
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, m)
	return out, errors.Wrap(err, "encoding command")
}

func encodeNumbered(kind commandKind, number uint64, m proto.Message) ([]byte, error) {
	buf := make([]byte, 0, 1+numberSize+proto.Size(m))
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint64(buf, number)
	out, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	return out, errors.Wrap(err, "encoding command")
}

func decodeNumbered(data []byte, m proto.Message) (number uint64, err error) {
	if len(data) < numberSize {
		return 0, errors.New("decoding command: too short")
	}
	number = binary.BigEndian.Uint64(data)
	return number, errors.Wrap(proto.Unmarshal(data[numberSize:], m), "decoding command")
}

// appendRecord appends a length and an encoded message; snapshots are
// sequences of these.
func appendRecord(buf []byte, m proto.Message) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, m)
}

// recordReader reads what appendRecord wrote.
type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err = errors.New("snapshot: truncated number")
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *recordReader) bytes(n uint64) []byte {
	if r.err == nil && n > uint64(len(r.rest)) {
		r.err = errors.New("snapshot: truncated record")
	}
	if r.err != nil {
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *recordReader) message(m proto.Message) {
	b := r.bytes(r.uint())
	if r.err == nil {
		r.err = proto.Unmarshal(b, m)
	}
}
