package forward

import (
	"hash/maphash"
	"slices"
)

// maxCarriedRequests is the number of requests after which a connection is replaced, so
// that the memory for their ids is bounded.
const maxCarriedRequests = 256

// requestIDs is the set of the ids of the requests that a connection has carried, as
// hashes. Two ids with one hash cost a new connection.
type requestIDs []uint64

var requestIDSeed = maphash.MakeSeed()

func (ids *requestIDs) add(id string) {
	if id != "" {
		*ids = append(*ids, maphash.String(requestIDSeed, id))
	}
}

func (ids requestIDs) contains(id string) bool {
	return id != "" && slices.Contains(ids, maphash.String(requestIDSeed, id))
}

func (ids requestIDs) full() bool { return len(ids) >= maxCarriedRequests }
