package upstream

import (
	"context"
)

// TokenBytes is the mean size of a token in UTF-8 text, used to estimate the
// number of tokens of a prompt before an engine has counted them.
const TokenBytes = 4

// EstimateTokens estimates the number of tokens in a text of n bytes.
func EstimateTokens(n int) int {
	return (n + TokenBytes - 1) / TokenBytes
}

// Engine is one model engine. Every method is bounded by ctx. Errors are of
// type *Error.
type Engine interface {
	// Prefill computes the KV cache of a prompt and returns when it is ready.
	// The engine keeps the result for less than a second.
	Prefill(ctx context.Context, req *PrefillRequest) (*PrefillResult, error)
	// Import makes this engine fetch a KV cache from another engine and
	// returns when the transfer is complete. It occupies decode memory.
	Import(ctx context.Context, req *ImportRequest) error
	// Decode starts the decoding of an imported KV cache, or resumes a running
	// one, and streams tokens from req.Offset.
	Decode(ctx context.Context, req *DecodeRequest) (TokenStream, error)
	// Cancel frees everything that the engine holds for the request up to and
	// including the attempt. Cancelling an unknown request is no error.
	Cancel(ctx context.Context, req *CancelRequest) error
	// Running lists the requests that occupy the engine.
	Running(ctx context.Context) ([]Running, error)
	// Order carries out an order of an operator or a controller.
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

// PrefillResult tells where the KV cache is and how large it is.
type PrefillResult struct {
	// Handle names the KV cache on the prefill engine.
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	// TTLMillis is how long the engine keeps the result, milliseconds.
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
	// MaxOutputTokens sizes the memory that the engine reserves.
	MaxOutputTokens int `json:"max_output_tokens"`
}

// DecodeRequest is the body of POST /engine/decode; the answer is an SSE
// stream of Token values.
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
	// Offset counts the output tokens of this attempt from 0.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Finish is "stop" or "length" on the last token, else empty.
	Finish string `json:"finish,omitempty"`
}

// CancelRequest is the body of POST /engine/cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// Running is one request that occupies an engine, from GET /engine/running.
type Running struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Stage is "prefill", "prefilled", "import", "imported" or "decode".
	Stage  string `json:"stage"`
	Pieces int    `json:"pieces"`
	// AgeMillis is the time since the stage began, milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// Order is the body of POST /engine/order.
type Order struct {
	// FencingToken of the pool lease under which the order is given. Engines
	// that check it answer 409 to a token lower than one they have seen.
	FencingToken uint64 `json:"fencing_token"`
	// Kind is "set_role", "load_model", "unload_model" or "load_adapter".
	Kind  string `json:"kind"`
	Value string `json:"value"`
}
