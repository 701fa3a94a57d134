package upstream

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// PrefixHash is the state of a rolling FNV-1a hash over a text.
type PrefixHash uint64

// NewPrefixHash returns the state for the empty text.
func NewPrefixHash() PrefixHash {
	return PrefixHash(fnvOffset)
}

// Add returns the state after appending text.
func (h PrefixHash) Add(text string) PrefixHash {
	for i := 0; i < len(text); i++ {
		h = (h ^ PrefixHash(text[i])) * PrefixHash(fnvPrime)
	}
	return h
}

// PrefixHashes returns, for each full block of pieceTokens tokens of a prompt, the
// hash of the prompt up to the end of that block. Engines identify prefixes in
// cache events by these hashes.
func PrefixHashes(prompt string, pieceTokens int) []uint64 {
	size := pieceTokens * TokenBytes
	if size <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/size)
	h := NewPrefixHash()
	for len(prompt) >= size {
		h = h.Add(prompt[:size])
		prompt = prompt[size:]
		hashes = append(hashes, uint64(h))
	}
	return hashes
}
