package policy

import (
	"math"
	"time"
)

// Class is the priority class of a request: urgent requests never wait behind
// drafts.
type Class uint8

// Request classes.
const (
	Urgent Class = iota
	Draft
)

// Classes is the number of request classes.
const Classes = 2

// Engine is the scheduler's view of one engine. The scheduler keeps it up to
// date; policies only read it.
type Engine struct {
	ID string
	// Usable is false for an engine that must not receive new work.
	Usable bool
	// Share is the part of the engine's capacity that may be used. It is below 1
	// while an ejected engine is being reinstated.
	Share float64

	TotalPieces int
	// HeldPieces are reserved by holds; PromisedPieces are reserved for requests
	// that take over the memory of holds forecast to end; ForeignPieces are
	// reported as used but belong to no hold. A piece is a KV cache block.
	HeldPieces     int
	PromisedPieces int
	ForeignPieces  int
	// EarmarkedPieces are kept free for the draft that has waited longest.
	EarmarkedPieces int

	// ReserveFactor scales the capacity reserved for urgent requests on this
	// engine; 0 means 1 and a negative value means no reserve.
	ReserveFactor float64

	// Batch counts the holds on the engine; on a prefill engine, the prefills
	// that have not finished. PromisedBatch and ForeignBatch are the slots that
	// correspond to PromisedPieces and ForeignPieces.
	Batch         int
	PromisedBatch int
	ForeignBatch  int
	MaxBatch      int
	// FitsMemory reports whether a request fits the engine's memory until it
	// ends; when nil, only the free pieces decide.
	FitsMemory func(r *Request) bool
	// LocalPrefills counts the local prefills in progress on this decode engine.
	// NextLocalPrefill is the earliest time of the next one, on the clock of
	// Query.Now.
	LocalPrefills    int
	NextLocalPrefill time.Duration
	// GeneratedTokens are the tokens of earlier attempts that this decode engine reads
	// again, for the streams that it resumes and that have no event yet.
	GeneratedTokens int
	// ShortPromptTokens are the prompt tokens of the short local prefills in progress on
	// this decode engine, which LocalPrefills does not count.
	ShortPromptTokens int
	// BacklogTokens are the prompt tokens granted to this prefill engine whose
	// prefill has not finished. UrgentTokens are those of urgent requests.
	BacklogTokens int
	UrgentTokens  int

	// PrefillRate is the learned prefill rate in tokens per second.
	PrefillRate float64
	// DecodeSeconds is the learned time per token at full batch.
	DecodeSeconds float64
	// NominalDecodeSeconds is the time per token that the engine announced, or
	// that is typical in its pool; 0 means unknown.
	NominalDecodeSeconds float64

	// LinkRate is the rate of the KV cache link in bytes per second. LinkBytes are
	// reserved for transfers that have not finished. KVBytesPerToken is the size of
	// the KV cache in bytes per token.
	LinkRate        float64
	LinkBytes       float64
	KVBytesPerToken float64

	// Reported is the load in the engine's last announcement, uncorrected.
	Reported Report
}

// Report is the load that an engine announced.
type Report struct {
	UsedPieces int
	Running    int
	Queued     int
}

// Request is what a policy knows about one request.
type Request struct {
	Class        Class
	PromptTokens int
	MaxOutput    int
	// GeneratedTokens is the part of PromptTokens that an earlier attempt
	// generated. Only the decode engine can prefill it.
	GeneratedTokens int
	// Pieces is the decode memory for the prompt and the maximum output.
	Pieces int
	// PromptPieces is the prefill memory for the prompt.
	PromptPieces int
	// TTFTTarget and TPOTTarget are the latency targets of the route.
	TTFTTarget time.Duration
	TPOTTarget time.Duration
	Weights    Weights
}

// Weights sets the relative cost of lost goodput and wasted prefill.
type Weights struct {
	Goodput       float64
	WastedPrefill float64
}

// Ratio returns the weight of wasted prefill relative to goodput; 1 by default.
func (w Weights) Ratio() float64 {
	goodput, wasted := w.Goodput, w.WastedPrefill
	if goodput <= 0 {
		goodput = 1
	}
	if wasted <= 0 {
		wasted = 1
	}
	return wasted / goodput
}

// FreePieces returns the pieces available to a request of class c. reserve is
// the part of the capacity that drafts must leave free for urgent requests.
func (e *Engine) FreePieces(c Class, reserve float64) int {
	limit := e.TotalPieces
	if e.Share < 1 {
		limit = int(e.Share * float64(limit))
	}
	free := limit - e.HeldPieces - e.PromisedPieces - e.ForeignPieces - e.EarmarkedPieces
	if c == Draft {
		free -= e.reservedCapacity(e.TotalPieces, reserve)
	}
	return free
}

// FreeSlots returns the batch slots available to a request of class c, with
// reserve as in FreePieces.
func (e *Engine) FreeSlots(c Class, reserve float64) int {
	limit := e.MaxBatch
	if e.Share < 1 {
		limit = max(1, int(e.Share*float64(limit)))
	}
	free := limit - e.Batch - e.PromisedBatch - e.ForeignBatch
	if e.EarmarkedPieces > 0 {
		free--
	}
	if c == Draft {
		free -= e.reservedCapacity(e.MaxBatch, reserve)
	}
	return free
}

// minReservableCapacity is the smallest capacity, in pieces or slots, of which a
// part is reserved. On a smaller engine one reserved slot costs drafts too much.
const minReservableCapacity = 8

func (e *Engine) reservedCapacity(capacity int, fraction float64) int {
	if e.ReserveFactor != 0 {
		fraction *= e.ReserveFactor
	}
	if fraction <= 0 || capacity < minReservableCapacity {
		return 0
	}
	return max(1, int(math.Round(fraction*float64(capacity))))
}

// emptyBatchFactor is the time per token of an empty batch relative to a full
// one; the time grows linearly between them.
const emptyBatchFactor = 0.6

// TokenSeconds returns the forecast time per output token at a batch size.
func (e *Engine) TokenSeconds(batch int) float64 {
	return e.DecodeSeconds * BatchFactor(batch, e.MaxBatch)
}

// BatchFactor returns the time per token at a batch size relative to that at
// full batch.
func BatchFactor(batch, maxBatch int) float64 {
	if maxBatch <= 0 {
		return 1
	}
	return emptyBatchFactor + (1-emptyBatchFactor)*min(1, float64(batch)/float64(maxBatch))
}
