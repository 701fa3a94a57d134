package forward

import (
	"encoding/binary"
	"hash/fnv"
)

// contentHash returns a hash of the caller's request without its id, so that the
// request has the same hash when it is sent again. It is never 0.
func (x *exchange) contentHash() uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(x.r.Method), []byte(x.r.RequestURI), []byte(x.info.Model), []byte(x.info.PromptKey), x.body} {
		// The length separates the parts. Writes to a hash do not fail.
		_ = binary.Write(h, binary.LittleEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	if x.tenant != nil {
		_, _ = h.Write([]byte(x.tenant.Name))
	}
	return max(1, h.Sum64())
}
