// Package bucket maps ledger keys to hash buckets. The control store assigns
// buckets to ledger shards; a client caches a leader for each bucket and needs
// not know the number of shards.
package bucket

import "hash/fnv"

// Count is the number of buckets and the highest number of shards.
const Count = 64

// Of returns the bucket of a ledger key.
func Of(organisation, key string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return h.Sum32() % Count
}
