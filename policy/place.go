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
	// Cached returns the prompt tokens that a prefill engine probably has in
	// its prefix cache; nil means none.
	Cached func(*Engine) int
	// Exclude lists engines that failed an earlier attempt.
	Exclude []string
	// Reserve is the part of each capacity kept for urgent requests.
	Reserve float64
	// ReservedPrefill is the number of prefill engines, the first usable ones,
	// that take drafts only when their prefill is short.
	ReservedPrefill int
	// Random is a uniform value in [0, 1) for policies that sample.
	Random [2]float64
	// Now is the time on the caller's clock.
	Now time.Duration
}

// Placement is a pair of engines with the forecast times, in seconds.
type Placement struct {
	Prefill *Engine
	Decode  *Engine
	// CachedTokens are prompt tokens that need no prefill.
	CachedTokens int
	// Wait is the time until the prefill engine starts on the request.
	Wait     float64
	Compute  float64
	Transfer float64
	// PerToken is the forecast time per output token.
	PerToken float64
	Cost     float64
}

// TTFT returns the forecast time to the first token.
func (p *Placement) TTFT() time.Duration {
	return Seconds(p.Wait + p.Compute + p.Transfer + p.PerToken)
}

// Seconds converts a number of seconds.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Policy selects engines. Place reports false when nothing fits at present.
type Policy interface {
	Name() string
	// Reserves reports whether the policy respects reserved memory. A baseline
	// that does not may place more on an engine than it holds.
	Reserves() bool
	Place(q *Query) (Placement, bool)
}

// Limits of what one request may take, chosen so that decode memory that is
// reserved for a request does not lie idle behind a long prefill queue.
const (
	// maxPrefillBacklog bounds the work granted ahead to a prefill engine.
	// Decode memory is reserved before prefill, so each queued second of
	// prefill is a second of idle decode memory.
	maxPrefillBacklog = 0.3
	// maxUrgentBacklog is the same bound for urgent requests, which the engine
	// serves first.
	maxUrgentBacklog = 0.6
	// maxLinkBacklog bounds the transfers reserved on one link, seconds.
	maxLinkBacklog = 0.5
	// maxReservedPrefill is the longest prefill of a draft on an engine that is
	// reserved for urgent requests, seconds: a prefill is not interrupted, and
	// urgent ones should wait for a small part of their TTFT target only.
	maxReservedPrefill = 0.02
	// fallbackTokens is the output length assumed where none is given.
	fallbackTokens = 128
	// shortlist is the number of engines of each role whose pairs are compared.
	shortlist = 4
	// slowTokenPenalty is the cost, in seconds, of missing the TPOT target:
	// about a second TTFT target, so that meeting both targets comes first.
	slowTokenPenalty = 1.0
)

// Default places by the cost described in docs/design.md section 8.
type Default struct{}

// Name implements Policy.
func (Default) Name() string { return "default" }

// Reserves implements Policy.
func (Default) Reserves() bool { return true }

// scored is one engine on a shortlist.
type scored struct {
	engine  *Engine
	cached  int
	wait    float64
	compute float64
	token   float64
	cost    float64
}

// best keeps the lowest scores in order.
type best struct {
	n    int
	list [shortlist]scored
}

func (b *best) add(s scored) {
	if b.n == shortlist && s.cost >= b.list[b.n-1].cost {
		return
	}
	if b.n < shortlist {
		b.n++
	}
	i := b.n - 1
	for i > 0 && b.list[i-1].cost > s.cost {
		b.list[i] = b.list[i-1]
		i--
	}
	b.list[i] = s
}

// Place implements Policy. The pair's cost is separable except for the link,
// so only the best engines of each role are combined.
func (Default) Place(q *Query) (Placement, bool) {
	var prefills, decodes best
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
			ok = ok && s.compute <= maxReservedPrefill
		}
		if ok {
			prefills.add(s)
		}
	}
	var out Placement
	for i := range prefills.n {
		for j := range decodes.n {
			p := pair(q, &prefills.list[i], &decodes.list[j])
			if out.Prefill == nil || p.Cost < out.Cost {
				out = p
			}
		}
	}
	return out, out.Prefill != nil
}

func pair(q *Query, pre, dec *scored) Placement {
	p := Placement{
		Prefill: pre.engine, Decode: dec.engine, CachedTokens: pre.cached,
		Wait: pre.wait, Compute: pre.compute, PerToken: dec.token,
	}
	p.Transfer = TransferSeconds(pre.engine, dec.engine, q.Request.PromptTokens)
	p.Cost = pre.cost + dec.cost + p.Transfer
	return p
}

// Fits reports whether a decode engine has room for the request now.
func Fits(q *Query, e *Engine) bool {
	r := q.Request
	if r.GeneratedTokens >= MinLocalPrefillTokens && !CanPrefillLocally(q, e) {
		return false
	}
	return e.Usable && e.FreePieces(r.Class, q.Reserve) >= r.Pieces && e.FreeSlots(r.Class, q.Reserve) >= 1 &&
		linkOpen(e, r.Class) && !slices.Contains(q.Exclude, e.ID) && (e.FitsMemory == nil || e.FitsMemory(r))
}

func scoreDecode(q *Query, e *Engine) (scored, bool) {
	if !Fits(q, e) {
		return scored{}, false
	}
	s := scored{engine: e, token: e.TokenSeconds(e.Batch + 1)}
	s.cost = s.token * float64(expectedOutput(q.Request))
	if target := q.Request.TPOTTarget.Seconds(); target > 0 && s.token > target {
		s.cost += slowTokenPenalty * s.token / target
	}
	return s, true
}

func scorePrefill(q *Query, e *Engine) (scored, bool) {
	r := q.Request
	if !e.Usable || slices.Contains(q.Exclude, e.ID) {
		return scored{}, false
	}
	if e.TotalPieces > 0 && e.FreePieces(r.Class, 0) < r.PromptPieces {
		return scored{}, false
	}
	if !AcceptsPrefill(e, r.Class, q.Reserve) {
		return scored{}, false
	}
	s := scored{engine: e, wait: PrefillWait(e, r.Class), cached: r.GeneratedTokens}
	if q.Cached != nil {
		s.cached = min(r.GeneratedTokens+q.Cached(e), r.PromptTokens)
	}
	s.compute = float64(r.PromptTokens-s.cached) / e.PrefillRate
	s.cost = s.wait + s.compute
	return s, true
}

// AcceptsPrefill reports whether a prefill engine may be given more work of a
// class. An idle engine takes a request of any length.
func AcceptsPrefill(e *Engine, c Class, reserve float64) bool {
	if !e.Usable || !linkOpen(e, c) {
		return false
	}
	if e.Batch == 0 {
		return true
	}
	if c == Urgent {
		return float64(e.UrgentTokens)/e.PrefillRate <= maxUrgentBacklog
	}
	return float64(e.BacklogTokens)/e.PrefillRate <= maxPrefillBacklog*(1-reserve)
}

// PrefillWait returns the forecast time until a prefill engine starts on a new
// request, seconds. Urgent requests wait for urgent ones, and for half of the
// prefill in progress.
func PrefillWait(e *Engine, c Class) float64 {
	tokens := float64(e.BacklogTokens)
	if c == Urgent && e.Batch > 0 {
		tokens = float64(e.UrgentTokens) + float64(e.BacklogTokens-e.UrgentTokens)/float64(2*e.Batch)
	}
	return tokens / e.PrefillRate
}

func linkOpen(e *Engine, c Class) bool {
	if c == Urgent || e.LinkRate <= 0 {
		return true
	}
	return e.LinkBytes/e.LinkRate <= maxLinkBacklog
}

// TransferSeconds forecasts the transfer of a prompt's KV cache over the links
// of both engines, behind the transfers already reserved there.
func TransferSeconds(pre, dec *Engine, promptTokens int) float64 {
	bytes := KVBytes(pre, dec, promptTokens)
	var worst float64
	for _, e := range [...]*Engine{pre, dec} {
		if e.LinkRate > 0 {
			worst = max(worst, (e.LinkBytes+bytes)/e.LinkRate)
		}
	}
	return worst
}

// KVBytes returns the size of a prompt's KV cache.
func KVBytes(pre, dec *Engine, promptTokens int) float64 {
	return max(pre.KVPerToken, dec.KVPerToken) * float64(promptTokens)
}

func expectedOutput(r *Request) int {
	if r.MaxOutput <= 0 {
		return fallbackTokens
	}
	return r.MaxOutput
}
