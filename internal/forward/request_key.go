package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net"
)

// requestKey returns a key for the content of a request, which is the same at every
// entry: its service, method, host, path with query, caller and body. A caller that
// sends a request again gives it another id.
func (x *exchange) requestKey() uint64 {
	caller, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		caller = x.r.RemoteAddr
	}
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{x.service.Name, x.r.Method, x.r.Host, x.r.RequestURI, caller} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		// Writes to a hash do not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(x.body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// connectionLost logs a request other than a prompt under which an upstream has
// crashed.
func (x *exchange) connectionLost(t *target) {
	if len(x.parts) > 0 || x.callerGone() {
		return
	}
	key := x.requestKey()
	go func() {
		if t.refusesConnections() {
			x.s.opts.Logger.Warn().Str("event", "upstream.crashed").Str("upstream", t.id).Str("id", x.info.ID).Str("request", fmt.Sprintf("%016x", key)).Msg("")
		}
	}()
}
