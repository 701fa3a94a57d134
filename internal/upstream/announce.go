package upstream

// Announcement is the body of POST /upstreams/announce, sent by an upstream to
// any entry each second. The entry answers 204, or 400 with the findings.
type Announcement struct {
	ID string `json:"id"`
	// Generation increases with each start of the upstream.
	Generation uint64 `json:"generation"`
	// URL is the upstream's base URL; its host is an IP address.
	URL     string `json:"url"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	Service string `json:"service"`
	// Role is "prefill", "decode" or "plain".
	Role   string   `json:"role"`
	Models []string `json:"models,omitempty"`
	// Leaving is set when the upstream is draining: it accepts no new requests and
	// finishes the running ones.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing is set if the engine rejects orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// TotalPieces is the size of the KV cache in pieces (KV cache blocks) of
	// PieceTokens tokens each.
	TotalPieces uint32 `json:"total_pieces,omitempty"`
	PieceTokens uint32 `json:"piece_tokens,omitempty"`
	// MaxBatch is the largest number of requests that are decoded together.
	MaxBatch uint32 `json:"max_batch,omitempty"`
	// LinkBytesPerSecond is the bandwidth of the link for KV cache transfers.
	LinkBytesPerSecond uint64 `json:"link_bytes_per_s,omitempty"`
	KVBytesPerToken    uint64 `json:"kv_bytes_per_token,omitempty"`
	// PrefillTokensPerSecond and DecodeMicrosPerToken are nominal; 0 if unknown.
	PrefillTokensPerSecond uint32 `json:"prefill_tokens_per_s,omitempty"`
	DecodeMicrosPerToken   uint32 `json:"decode_us_per_token,omitempty"`
	Load                   Load   `json:"load"`
	// CacheEvents arrive late and may have gaps, which show in their Sequence.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// Load is the load that an upstream reports.
type Load struct {
	// AgeMillis is the age of the values at the time of the announcement.
	AgeMillis uint32 `json:"age_ms"`
	// Running and Queued are numbers of requests.
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	// UsedPieces is the number of KV cache blocks in use.
	UsedPieces uint32 `json:"used_pieces"`
}

// CacheEvent reports that a prefix was added to or removed from an engine's prefix
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash is the chained hash of the prompt up to the end of a KV cache
	// block, see PrefixHashes.
	PrefixHash uint64 `json:"prefix_hash"`
	Removed    bool   `json:"removed,omitempty"`
}
