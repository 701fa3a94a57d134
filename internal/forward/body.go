package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/budget"
)

var (
	// errBodyMemory means that the memory for callers' bodies is used up.
	errBodyMemory = errors.New("no memory for the body")
	// errBodyTooLarge means that a body of unknown length exceeds the limit.
	errBodyTooLarge = errors.New("body exceeds the limit")
)

// bodyMemory counts the memory that the bodies of callers' requests use together. Whether
// there is some for one of them is up to the account of its caller.
type bodyMemory struct {
	// max limits the memory in addition to the accounts; 0 for no limit.
	max  int64
	used atomic.Int64
}

// minBodyBytes is the smallest buffer of a body. Buffers grow by doubling as bytes
// arrive, because a caller that announces a long body may send it slowly or never.
const minBodyBytes = 16 << 10

// reserve reserves n bytes and reports whether they were free.
func (m *bodyMemory) reserve(a *budget.Account, n int64) bool {
	if m.used.Add(n) > m.max && m.max > 0 || !a.Reserve(n) {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(a *budget.Account, n int64) {
	m.used.Add(-n)
	a.Release(n)
}

// read reads a body of the given length, -1 if it is not known, and of at most
// limit bytes, for the account a. The returned buffer stays reserved until the caller releases
// cap(body); after an error nothing is reserved.
func (m *bodyMemory) read(a *budget.Account, r io.Reader, length, limit int64) ([]byte, error) {
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
			if size <= reserved || !m.reserve(a, size-reserved) {
				m.release(a, reserved)
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
			return body, nil
		case err == io.EOF:
			m.release(a, reserved)
			return nil, errBodyTooLarge
		case err != nil:
			m.release(a, reserved)
			return nil, err
		}
	}
}
