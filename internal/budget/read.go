package budget

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrFull means that the memory for callers is used up, or that it went to others while a
// body arrived.
var ErrFull = errors.New("no memory for the body, send it again later")

// minReadBytes is the buffer with which a body begins. It doubles as bytes arrive, because a
// caller that announces a long body may never send it.
const minReadBytes = 16 << 10

// ReadAll reads the body of a request, at most limit bytes of it. What it takes counts
// against the account of the request until release is called, which is never nil.
func ReadAll(r *http.Request, limit int64) (body []byte, release func(), err error) {
	a := FromContext(r.Context())
	done := a.ReceivesBody()
	body, reserved, err := readAll(a, r.Body, limit)
	done()
	if a.Ended() {
		body, err = nil, ErrFull
	}
	return body, func() { a.Release(reserved) }, err
}

func readAll(a *Account, r io.Reader, limit int64) (body []byte, reserved int64, err error) {
	for {
		if int64(len(body)) == reserved {
			size := min(max(2*reserved, minReadBytes), limit)
			if size == reserved {
				return body, reserved, nil
			}
			if !a.Reserve(size - reserved) {
				return nil, reserved, ErrFull
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body, reserved = grown, size
		}
		n, err := r.Read(body[len(body):reserved])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}
