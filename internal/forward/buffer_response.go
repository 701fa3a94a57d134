package forward

import (
	"io"
	"net/http"
)

const (
	// relayBufferBytes is the buffer of a response that is copied as it arrives, and the one
	// with which a buffered response begins.
	relayBufferBytes = 8 << 10
)

// bufferResponse reads the body of a response. Unless whole is set, it is longer than
// maxBufferedBytes, or there is no memory for more of it, and the rest has not been read. The
// memory is released at the end of the request.
func (x *exchange) bufferResponse(resp *http.Response) (body []byte, whole bool, err error) {
	longest := int64(maxBufferedBytes)
	if n := resp.ContentLength; n >= 0 {
		longest = min(longest, n)
	}
	// One byte more shows the end of a body, or that there is more.
	body = make([]byte, 0, min(relayBufferBytes, longest+1))
	for {
		if len(body) == cap(body) {
			size := min(int64(2*cap(body)), longest+1)
			if size <= int64(cap(body)) || !x.account.Reserve(size-int64(cap(body))) {
				return body, false, nil
			}
			x.buffered += size - int64(cap(body))
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, int64(len(body)) <= longest, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}
