package entry

import "godwitward.example/godwitward/internal/upstream"

const (
	// prefixPieceTokens is the number of tokens after which a prefix is hashed:
	// the size of a piece of engine memory.
	prefixPieceTokens = 1000
	prefixPieceBytes  = prefixPieceTokens * upstream.TokenBytes
	// maxPrefixHashes bounds the size of a submission.
	maxPrefixHashes = 64

	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// PrefixHashes returns the FNV-1a hash of the prompt up to the end of each full
// piece. Each hash continues the one before, so equal hashes mean equal text up
// to that piece.
func PrefixHashes(prompt string) []uint64 {
	n := min(len(prompt)/prefixPieceBytes, maxPrefixHashes)
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, n)
	h := uint64(fnvOffset)
	for i := range n * prefixPieceBytes {
		h = (h ^ uint64(prompt[i])) * fnvPrime
		if (i+1)%prefixPieceBytes == 0 {
			out = append(out, h)
		}
	}
	return out
}
