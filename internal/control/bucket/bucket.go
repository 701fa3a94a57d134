// Package bucket maps ledger keys to hash buckets. The control store assigns
// buckets to ledger shards. A client caches the leader of each bucket and need
// not know the number of shards.
package bucket

import "hash/fnv"

// Count is the number of buckets and the maximum number of shards.
const Count = 64

// Of returns the bucket of a ledger key.
func Of(organisation, key string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return h.Sum32() % Count
}
