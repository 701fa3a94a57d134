package policy

import (
	"slices"
	"time"
)

// Query asks where one request should run.
type Query struct {
	Request *Request
	// Prefill and Decode are the engines that serve the request's model.
	Prefill []*Engine
	Decode  []*Engine
	// Cached returns the number of prompt tokens that a prefill engine probably
	// has in its prefix cache; nil means none.
	Cached func(*Engine) int
	// Exclude lists the IDs of engines that failed an earlier attempt.
	Exclude []string
	// Reserve is the part of each capacity reserved for urgent requests.
	Reserve float64
	// ReservedPrefill is the number of prefill engines reserved for urgent
	// requests: the first usable ones. They also take drafts with a forecast
	// prefill of at most 20 ms.
	ReservedPrefill int
	// Random holds two uniform values in [0, 1) for policies that sample.
	Random [2]float64
	// Now is the time on the caller's clock.
	Now time.Duration
}

// Placement is a pair of engines with the forecast times, in seconds.
type Placement struct {
	// Prefill is nil when the decode engine prefills the prompt itself.
	Prefill *Engine
	Decode  *Engine
	// CachedTokens is the number of prompt tokens that need no prefill.
	CachedTokens int
	// WaitSeconds is the time until the prefill starts, PrefillSeconds the time of
	// the prefill and TransferSeconds the time to move the KV cache to the decode
	// engine.
	WaitSeconds     float64
	PrefillSeconds  float64
	TransferSeconds float64
	// TokenSeconds is the time per output token.
	TokenSeconds float64
	// Cost ranks placements; lower is better.
	Cost float64
}

// TTFT returns the forecast time to the first token.
func (p *Placement) TTFT() time.Duration {
	return Seconds(p.WaitSeconds + p.PrefillSeconds + p.TransferSeconds + p.TokenSeconds)
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Policy selects the engines of a request.
type Policy interface {
	Name() string
	// RespectsReserve reports whether the policy respects reserved memory. A
	// baseline that does not may place more requests on an engine than fit its
	// memory.
	RespectsReserve() bool
	// Place reports false when no placement fits at present.
	Place(q *Query) (Placement, bool)
}

// Limits and weights of the default policy. The backlog limits keep decode
// memory that is reserved for a request from idling behind a long prefill queue.
const (
	// maxPrefillBacklogSeconds bounds the prefill work granted ahead to an engine.
	// Decode memory is reserved before the prefill, so each queued second of
	// prefill is a second of idle decode memory.
	maxPrefillBacklogSeconds = 0.3
	// maxUrgentBacklogSeconds is the same bound for urgent requests, which the
	// engine serves first.
	maxUrgentBacklogSeconds = 0.6
	// maxLinkBacklogSeconds bounds the transfers reserved on one link.
	maxLinkBacklogSeconds = 0.5
	// maxReservedPrefillSeconds is the longest forecast prefill of a draft on an
	// engine reserved for urgent requests: a prefill is not interrupted, and urgent
	// requests should wait only for a small part of their TTFT target.
	maxReservedPrefillSeconds = 0.02
	// defaultOutputTokens is the output length assumed where none is given.
	defaultOutputTokens = 128
	// shortlistSize is the number of engines of each role whose pairs are
	// compared.
	shortlistSize = 4
	// slowTokenPenaltySeconds is the cost of missing the TPOT target, multiplied
	// by the ratio of the time per token to the target. It is about the length of
	// another TTFT target, so that meeting both targets comes first.
	slowTokenPenaltySeconds = 1.0
)

// Default selects the pair of engines with the lowest cost, as described in
// docs/design.md section 8.
type Default struct{}

// Name implements Policy.
func (Default) Name() string { return "default" }

// RespectsReserve implements Policy.
func (Default) RespectsReserve() bool { return true }

// scoredEngine is one engine on a shortlist.
type scoredEngine struct {
	engine         *Engine
	cachedTokens   int
	waitSeconds    float64
	prefillSeconds float64
	tokenSeconds   float64
	cost           float64
}

// shortlist holds the engines with the lowest costs, in ascending order.
type shortlist struct {
	n    int
	list [shortlistSize]scoredEngine
}

func (l *shortlist) add(s scoredEngine) {
	if l.n == shortlistSize && s.cost >= l.list[l.n-1].cost {
		return
	}
	if l.n < shortlistSize {
		l.n++
	}
	i := l.n - 1
	for i > 0 && l.list[i-1].cost > s.cost {
		l.list[i] = l.list[i-1]
		i--
	}
	l.list[i] = s
}

// Place implements Policy. The cost of a pair is separable except for the
// transfer, so only the shortlisted engines of each role are combined.
func (Default) Place(q *Query) (Placement, bool) {
	var prefills, decodes shortlist
	for _, e := range q.Decode {
		if s, ok := scoreDecode(q, e); ok {
			decodes.add(s)
		}
	}
	if decodes.n == 0 {
		return Placement{}, false
	}
	reserved := q.ReservedPrefill
	if q.Request.Class == Urgent {
		reserved = 0
	}
	for _, e := range q.Prefill {
		s, ok := scorePrefill(q, e)
		if e.Usable && reserved > 0 {
			reserved--
			ok = ok && s.prefillSeconds <= maxReservedPrefillSeconds
		}
		if ok {
			prefills.add(s)
		}
	}
	var out Placement
	for i := range prefills.n {
		for j := range decodes.n {
			p := pairPlacement(q, &prefills.list[i], &decodes.list[j])
			if out.Prefill == nil || p.Cost < out.Cost {
				out = p
			}
		}
	}
	return out, out.Prefill != nil
}

func pairPlacement(q *Query, pre, dec *scoredEngine) Placement {
	p := Placement{
		Prefill: pre.engine, Decode: dec.engine, CachedTokens: pre.cachedTokens,
		WaitSeconds: pre.waitSeconds, PrefillSeconds: pre.prefillSeconds, TokenSeconds: dec.tokenSeconds,
	}
	p.TransferSeconds = TransferSeconds(pre.engine, dec.engine, q.Request.PromptTokens)
	p.Cost = pre.cost + dec.cost + p.TransferSeconds
	return p
}

// Fits reports whether a decode engine can take the request now.
func Fits(q *Query, e *Engine) bool {
	r := q.Request
	if !CanResume(r, e) {
		return false
	}
	return e.Usable && e.FreePieces(r.Class, q.Reserve) >= r.Pieces && e.FreeSlots(r.Class, q.Reserve) >= 1 &&
		linkHasCapacity(e, r.Class) && !slices.Contains(q.Exclude, e.ID) && (e.FitsMemory == nil || e.FitsMemory(r))
}

func scoreDecode(q *Query, e *Engine) (scoredEngine, bool) {
	if !Fits(q, e) {
		return scoredEngine{}, false
	}
	s := scoredEngine{engine: e, tokenSeconds: e.TokenSeconds(e.Batch + 1)}
	s.cost = s.tokenSeconds * float64(expectedOutput(q.Request))
	if target := q.Request.TPOTTarget.Seconds(); target > 0 && s.tokenSeconds > target {
		s.cost += slowTokenPenaltySeconds * s.tokenSeconds / target
	}
	return s, true
}

func scorePrefill(q *Query, e *Engine) (scoredEngine, bool) {
	r := q.Request
	if !e.Usable || slices.Contains(q.Exclude, e.ID) {
		return scoredEngine{}, false
	}
	if e.TotalPieces > 0 && e.FreePieces(r.Class, 0) < r.PromptPieces {
		return scoredEngine{}, false
	}
	if !AcceptsPrefill(e, r.Class, q.Reserve) {
		return scoredEngine{}, false
	}
	s := scoredEngine{engine: e, waitSeconds: PrefillWaitSeconds(e, r.Class), cachedTokens: r.GeneratedTokens}
	if q.Cached != nil {
		s.cachedTokens = min(r.GeneratedTokens+q.Cached(e), r.PromptTokens)
	}
	s.prefillSeconds = float64(r.PromptTokens-s.cachedTokens) / e.PrefillRate
	s.cost = s.waitSeconds + s.prefillSeconds
	return s, true
}

// AcceptsPrefill reports whether a prefill engine may be given more work of a
// class. An idle engine accepts a prompt of any length.
func AcceptsPrefill(e *Engine, c Class, reserve float64) bool {
	if !e.Usable || !linkHasCapacity(e, c) {
		return false
	}
	if e.Batch == 0 {
		return true
	}
	if c == Urgent {
		return float64(e.UrgentTokens)/e.PrefillRate <= maxUrgentBacklogSeconds
	}
	return float64(e.BacklogTokens)/e.PrefillRate <= maxPrefillBacklogSeconds*(1-reserve)
}

// PrefillWaitSeconds returns the forecast time in seconds until a prefill
// engine starts a new request. Urgent requests wait for the urgent ones before
// them and, on average, for half of the draft prefill in progress.
func PrefillWaitSeconds(e *Engine, c Class) float64 {
	tokens := float64(e.BacklogTokens)
	if c == Urgent && e.Batch > 0 {
		tokens = float64(e.UrgentTokens) + float64(e.BacklogTokens-e.UrgentTokens)/float64(2*e.Batch)
	}
	return tokens / e.PrefillRate
}

// linkHasCapacity reports whether the link backlog permits another transfer.
// Urgent requests are not limited.
func linkHasCapacity(e *Engine, c Class) bool {
	if c == Urgent || e.LinkRate <= 0 {
		return true
	}
	return e.LinkBytes/e.LinkRate <= maxLinkBacklogSeconds
}

// TransferSeconds forecasts the time to transfer a prompt's KV cache over the
// links of both engines, after the transfers already reserved there.
func TransferSeconds(pre, dec *Engine, promptTokens int) float64 {
	bytes := KVBytes(pre, dec, promptTokens)
	var longest float64
	for _, e := range [...]*Engine{pre, dec} {
		if e.LinkRate > 0 {
			longest = max(longest, (e.LinkBytes+bytes)/e.LinkRate)
		}
	}
	return longest
}

// KVBytes returns the size of a prompt's KV cache in bytes.
func KVBytes(pre, dec *Engine, promptTokens int) float64 {
	return max(pre.KVBytesPerToken, dec.KVBytesPerToken) * float64(promptTokens)
}

func expectedOutput(r *Request) int {
	if r.MaxOutput <= 0 {
		return defaultOutputTokens
	}
	return r.MaxOutput
}
