package streamlog

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// A batch is stored as its length and the CRC32C of its encoding, four bytes each, and the
// encoding.
const batchHeaderBytes = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeBatch(b *pb.StreamVersionBatch) ([]byte, error) {
	encoded, err := proto.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encoding stream versions")
	}
	frame := make([]byte, batchHeaderBytes, batchHeaderBytes+len(encoded))
	binary.LittleEndian.PutUint32(frame, uint32(len(encoded)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(encoded, castagnoli))
	return append(frame, encoded...), nil
}

// decodeBatches returns the batches up to the first that is torn or damaged, and the number
// of bytes from there on.
func decodeBatches(data []byte) (batches []*pb.StreamVersionBatch, rest int) {
	for len(data) >= batchHeaderBytes {
		n := int(binary.LittleEndian.Uint32(data))
		if n > len(data)-batchHeaderBytes {
			break
		}
		encoded := data[batchHeaderBytes : batchHeaderBytes+n]
		b := &pb.StreamVersionBatch{}
		if crc32.Checksum(encoded, castagnoli) != binary.LittleEndian.Uint32(data[4:]) || proto.Unmarshal(encoded, b) != nil {
			break
		}
		batches = append(batches, b)
		data = data[batchHeaderBytes+n:]
	}
	return batches, len(data)
}
