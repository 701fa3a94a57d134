package upstream

// Announcement is the body of POST /upstreams/announce, sent by an upstream to
// any entry each second. The entry answers 204, or 400 with the findings.
type Announcement struct {
	ID string `json:"id"`
	// Generation grows with each start of the upstream.
	Generation uint64 `json:"generation"`
	// URL is the base URL at which entries reach the upstream by IP address.
	URL     string `json:"url"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	Service string `json:"service"`
	// Role is "prefill", "decode" or "plain".
	Role   string   `json:"role"`
	Models []string `json:"models,omitempty"`
	// Leaving asks for no new work; running work finishes.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing: the engine refuses orders with an old fencing token.
	ChecksFencing bool   `json:"checks_fencing,omitempty"`
	TotalPieces   uint32 `json:"total_pieces,omitempty"`
	PieceTokens   uint32 `json:"piece_tokens,omitempty"`
	MaxBatch      uint32 `json:"max_batch,omitempty"`
	// LinkBytesPerSecond is the rate of the engine's KV cache link.
	LinkBytesPerSecond uint64 `json:"link_bytes_per_s,omitempty"`
	KVBytesPerToken    uint64 `json:"kv_bytes_per_token,omitempty"`
	// Nominal speeds; 0 when unknown.
	PrefillTokensPerSecond uint32 `json:"prefill_tokens_per_s,omitempty"`
	DecodeMicrosPerToken   uint32 `json:"decode_us_per_token,omitempty"`
	Load                   Load   `json:"load"`
	// CacheEvents are late and may have gaps, seen in Sequence.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Load is an upstream's own load report.
type Load struct {
	// AgeMillis is the age of the figures when announced, milliseconds.
	AgeMillis  uint32 `json:"age_ms"`
	Running    uint32 `json:"running"`
	Queued     uint32 `json:"queued"`
	UsedPieces uint32 `json:"used_pieces"`
}

// CacheEvent tells that a prefix entered or left an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash is the chained hash of the prompt up to the end of a piece.
	PrefixHash uint64 `json:"prefix_hash"`
	Removed    bool   `json:"removed,omitempty"`
}
