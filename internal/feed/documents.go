package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/corestore"
)

// A configuration of 1,500 routes takes 440 KB, and an entry with a link of 7.5 Mbit/s half
// a second to receive it, twice as it has two hubs. Several changes in a row would fill the
// link and delay all of its callers, so documents are sent compressed.

const (
	// minDeflateBytes is the size from which on compressing a document is worth the time.
	minDeflateBytes = 4 << 10
	// maxDocumentBytes limits the size of a decompressed document. It exceeds every
	// document that a core daemon accepts.
	maxDocumentBytes = 16 << 20
)

// documentEncoder compresses the newest document once for all entries.
type documentEncoder struct {
	mu       sync.Mutex
	version  uint64
	deflated []byte
}

// encode returns a document as it is sent to an entry. The message shares its bytes with
// others and must not be modified.
func (e *documentEncoder) encode(d corestore.Document, readsDeflated bool) *pb.Document {
	if !readsDeflated || len(d.Body) < minDeflateBytes {
		return &pb.Document{Version: d.Version, Body: d.Body}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != d.Version || e.deflated == nil {
		e.version, e.deflated = d.Version, deflate(d.Body)
	}
	return &pb.Document{Version: d.Version, DeflatedBody: e.deflated}
}

func deflate(body []byte) []byte {
	var out bytes.Buffer
	// Neither the level nor writes to memory can fail.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

// documentBody returns the body of a document that a hub sent.
func documentBody(d *pb.Document) ([]byte, error) {
	if len(d.DeflatedBody) == 0 {
		return d.Body, nil
	}
	r := flate.NewReader(bytes.NewReader(d.DeflatedBody))
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "decompressing configuration %d", d.Version)
	case len(body) > maxDocumentBytes:
		return nil, errors.Errorf("configuration %d exceeds %d bytes", d.Version, maxDocumentBytes)
	}
	return body, nil
}
