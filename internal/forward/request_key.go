package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math"
)

// requestKey returns a key for the content of a request, which is the same at every
// entry: its tenant, service, method, host, path with query, credentials and body. A caller
// that sends a request again gives it another id, and may have another address.
func (x *exchange) requestKey() uint64 {
	h := sha256.New()
	writeField := func(field string) {
		// Writes to a hash do not fail.
		_ = binary.Write(h, binary.LittleEndian, uint64(len(field)))
		_, _ = io.WriteString(h, field)
	}
	// Without a tenant the key is that of builds that know none. No service name has the
	// length by which a tenant is recognised.
	if tenant := x.tenantName(); tenant != "" {
		_ = binary.Write(h, binary.LittleEndian, uint64(math.MaxUint64))
		writeField(tenant)
	}
	for _, field := range []string{x.service.Name, x.r.Method, x.r.Host, x.r.RequestURI, x.r.Header.Get("Authorization")} {
		writeField(field)
	}
	_, _ = h.Write(x.body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// maxKeyedBody is the longest body whose request has a key while no upstream crashes. A
// longer one would take an entry with a small share of a processor too long.
const maxKeyedBody = 64 << 10

// identify sets the parts by which the request is recognised if it crashes upstreams:
// those of its prompt or, if it has none, a key of its content.
func (x *exchange) identify() {
	if x.service.Engine != nil {
		x.parts = partKeys(x.service.Name, x.info.PromptParts)
	}
	x.whole = len(x.parts) == 0
	if x.whole && (len(x.body) <= maxKeyedBody || x.s.promptParts.active()) {
		x.parts = []uint64{x.requestKey()}
	}
}

// reportCrash reports, in the background, the request if an upstream has crashed
// under it.
func (x *exchange) reportCrash(t *target) {
	if len(x.parts) == 0 {
		x.parts = []uint64{x.requestKey()}
	}
	go x.s.reportIfCrashed(t, x.lastBornMs, x.info, x.parts, x.whole)
}
