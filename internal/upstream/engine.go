package upstream

import (
	"context"
)

// TokenBytes is the assumed mean size of a token in UTF-8 text. It is used to
// estimate the tokens of a prompt that no engine has counted yet.
const TokenBytes = 4

// EstimateTokens estimates the number of tokens in a text of n bytes.
func EstimateTokens(n int) int {
	return (n + TokenBytes - 1) / TokenBytes
}

// Engine is one model engine. Every method returns when ctx ends. Errors are of
// type *Error.
type Engine interface {
	// Prefill computes the KV cache of a prompt and returns when it is complete.
	// The engine keeps the result for less than a second.
	Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error)
	// Import transfers a KV cache from another engine to this one and returns when
	// the transfer is complete. The KV cache occupies memory for decoding.
	Import(ctx context.Context, req *ImportRequest) error
	// Decode starts decoding from an imported KV cache, or attaches to a running
	// decode, and streams tokens from req.Offset on.
	Decode(ctx context.Context, req *DecodeRequest) (TokenStream, error)
	// Cancel frees all resources of the request's attempts up to and including
	// req.Attempt. Cancelling an unknown request is not an error.
	Cancel(ctx context.Context, req *CancelRequest) error
	// Running lists the requests that use resources of the engine.
	Running(ctx context.Context) ([]Running, error)
	// Order makes the engine carry out an order of an operator or the scheduler.
	Order(ctx context.Context, req *Order) error
}

// TokenStream delivers the tokens of one decode. Next returns io.EOF after the
// last token. Close does not cancel the request at the engine.
type TokenStream interface {
	Next() (Token, error)
	Close() error
}

// PrefillRequest is the body of POST /engine/prefill.
type PrefillRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	// Priority orders the engine's queue: lower runs first.
	Priority int32 `json:"priority"`
}

// PrefillResult is the body of the response to POST /engine/prefill.
type PrefillResult struct {
	// Handle identifies the KV cache on the prefill engine.
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	// TTLMillis is how long the engine keeps the result.
	TTLMillis int `json:"ttl_ms"`
}

// ImportRequest is the body of POST /engine/import on the decode engine.
type ImportRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	Model     string `json:"model"`
	// SourceURL is the base URL of the prefill engine.
	SourceURL string `json:"source_url"`
	Handle    string `json:"handle"`
	Priority  int32  `json:"priority"`
	// MaxOutputTokens determines how much memory the engine reserves.
	MaxOutputTokens int `json:"max_output_tokens"`
}

// DecodeRequest is the body of POST /engine/decode. The response is an SSE stream
// of Token values.
type DecodeRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Offset is the index of the first token to send.
	Offset          int   `json:"offset"`
	MaxOutputTokens int   `json:"max_output_tokens"`
	Priority        int32 `json:"priority"`
}

// Token is one output token.
type Token struct {
	Attempt uint32 `json:"attempt"`
	// Offset is the index of the token in this attempt's output, from 0.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Finish is the finish reason, "stop" or "length", on the last token, else
	// empty.
	Finish string `json:"finish,omitempty"`
}

// CancelRequest is the body of POST /engine/cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// Running is a request that uses resources of an engine, an element of the
// response to GET /engine/running.
type Running struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Stage is "prefill", "prefilled", "import", "imported" or "decode".
	Stage string `json:"stage"`
	// Pieces is the number of KV cache blocks that the request occupies.
	Pieces int `json:"pieces"`
	// AgeMillis is the time since the stage began.
	AgeMillis int64 `json:"age_ms"`
}

// RoleReport is what an engine tells about its role.
type RoleReport struct {
	// Role is "prefill" or "decode".
	Role string
	// Busy is set while the engine carries out an order.
	Busy bool
}

// Order is the body of POST /engine/order.
type Order struct {
	// FencingToken is the token of the pool lease under which the order is given.
	// Engines that check it answer 409 if they have seen a higher one.
	FencingToken uint64 `json:"fencing_token"`
	// Kind is "set_role", "load_model", "unload_model" or "load_adapter".
	Kind  string `json:"kind"`
	Value string `json:"value"`
}
