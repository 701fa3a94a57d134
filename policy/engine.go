package policy

import (
	"math"
	"time"
)

// Class orders requests: urgent ones never wait behind drafts.
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
	// Usable is false for an engine that must receive no new work.
	Usable bool
	// Share is the part of the engine's capacity that may be used, below 1
	// while an ejected engine returns.
	Share float64

	TotalPieces int
	// HeldPieces are reserved by holds; PromisedPieces are reserved against
	// holds that are forecast to end; ForeignPieces are reported as used but
	// belong to no hold.
	HeldPieces     int
	PromisedPieces int
	ForeignPieces  int
	// EarmarkedPieces are kept free for the draft that has waited longest.
	EarmarkedPieces int

	// ReserveFactor scales the reserve for urgent requests on this engine; 0
	// means 1 and a negative value no reserve.
	ReserveFactor float64

	// Batch counts the holds on the engine. On a prefill engine these are the
	// prefills that have not finished. PromisedBatch and ForeignBatch
	// correspond to PromisedPieces and ForeignPieces.
	Batch         int
	PromisedBatch int
	ForeignBatch  int
	MaxBatch      int
	// FitsMemory reports whether the engine's memory has room for a request until its
	// end; nil means that the pieces tell.
	FitsMemory func(r *Request) bool
	// LocalPrefills counts the prompts that this decode engine reads itself at
	// present. It takes another one from NextLocalPrefill on, on the clock of Query.Now.
	LocalPrefills    int
	NextLocalPrefill time.Duration
	// BacklogTokens are prompt tokens granted to this prefill engine whose
	// prefill has not finished. UrgentTokens is the urgent part.
	BacklogTokens int
	UrgentTokens  int

	// PrefillRate is the learned prefill speed, tokens a second.
	PrefillRate float64
	// DecodeSeconds is the learned time per token of a full batch, seconds.
	DecodeSeconds float64
	// NominalDecodeSeconds is the time per token that the engine announced; 0 is unknown.
	NominalDecodeSeconds float64

	// LinkRate is the KV cache link's rate, bytes a second. LinkBytes are
	// reserved for transfers that have not finished.
	LinkRate   float64
	LinkBytes  float64
	KVPerToken float64

	// Reported are the figures of the last announcement, uncorrected.
	Reported Report
}

// Report is the load that an engine announced.
type Report struct {
	UsedPieces int
	Running    int
	Queued     int
}

// Request is what a policy knows of one request.
type Request struct {
	Class        Class
	PromptTokens int
	MaxOutput    int
	// GeneratedTokens is the part of PromptTokens that an earlier answer made. Only
	// the decode engine can read it.
	GeneratedTokens int
	// Pieces of decode memory for the prompt and the longest output.
	Pieces int
	// PromptPieces of prefill memory.
	PromptPieces int
	// TTFTTarget and TPOTTarget are the latency targets of the route.
	TTFTTarget time.Duration
	TPOTTarget time.Duration
	Weights    Weights
}

// Weights trade goodput against wasted prefill.
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

// FreePieces returns the pieces that a request of class c may take. Urgent
// requests may use the reserve that drafts must leave free.
func (e *Engine) FreePieces(c Class, reserve float64) int {
	limit := e.TotalPieces
	if e.Share < 1 {
		limit = int(e.Share * float64(limit))
	}
	free := limit - e.HeldPieces - e.PromisedPieces - e.ForeignPieces - e.EarmarkedPieces
	if c == Draft {
		free -= e.reserved(e.TotalPieces, reserve)
	}
	return free
}

// FreeSlots returns the places in the batch that a request of class c may take.
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
		free -= e.reserved(e.MaxBatch, reserve)
	}
	return free
}

// minReservable is the smallest capacity of which a part is reserved: on a
// smaller engine one reserved slot would cost drafts too much.
const minReservable = 8

func (e *Engine) reserved(capacity int, fraction float64) int {
	if e.ReserveFactor != 0 {
		fraction *= e.ReserveFactor
	}
	if fraction <= 0 || capacity < minReservable {
		return 0
	}
	return max(1, int(math.Round(fraction*float64(capacity))))
}

// batchFloor is the part of a full batch's time per token that remains when
// the batch is empty; the rest grows with the batch.
const batchFloor = 0.6

// TokenSeconds returns the forecast time per output token at a batch size.
func (e *Engine) TokenSeconds(batch int) float64 {
	return e.DecodeSeconds * BatchFactor(batch, e.MaxBatch)
}

// BatchFactor returns the time per token at a batch size relative to a full batch.
func BatchFactor(batch, maxBatch int) float64 {
	if maxBatch <= 0 {
		return 1
	}
	return batchFloor + (1-batchFloor)*min(1, float64(batch)/float64(maxBatch))
}
