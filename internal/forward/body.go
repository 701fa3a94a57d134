package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	// errBodyMemory means that the memory for callers' bodies is used up.
	errBodyMemory = errors.New("no memory for the body")
	// errBodyTooLarge means that a body of unknown length exceeds the limit.
	errBodyTooLarge = errors.New("body exceeds the limit")
)

// bodyMemory is the memory that the bodies of callers' requests may use together.
type bodyMemory struct {
	max  int64
	used atomic.Int64
}

// minBodyBytes is the smallest buffer of a body. Buffers grow by doubling as bytes
// arrive, because a caller that announces a long body may send it slowly or never.
const minBodyBytes = 16 << 10

// reserve reserves n bytes and reports whether they were free.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.max {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// read reads a body of the given length, -1 if it is not known, and of at most
// limit bytes. The returned bytes stay reserved until the caller releases
// len(body); after an error nothing is reserved.
func (m *bodyMemory) read(r io.Reader, length, limit int64) ([]byte, error) {
	longest := limit
	if length >= 0 {
		longest = length
	}
	var body []byte
	reserved := int64(0)
	for {
		if int64(len(body)) == reserved {
			// One byte more than the longest body shows that there is more.
			size := min(max(2*reserved, minBodyBytes), longest+1)
			if size <= reserved || !m.reserve(size-reserved) {
				m.release(reserved)
				if size <= reserved {
					return nil, errBodyTooLarge
				}
				return nil, errBodyMemory
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body, reserved = grown, size
		}
		n, err := r.Read(body[len(body):reserved])
		body = body[:int64(len(body))+int64(n)]
		switch {
		case err == io.EOF && int64(len(body)) <= longest:
			m.release(reserved - int64(len(body)))
			return body, nil
		case err == io.EOF:
			m.release(reserved)
			return nil, errBodyTooLarge
		case err != nil:
			m.release(reserved)
			return nil, err
		}
	}
}
