package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/standin"
	"godwitward.example/godwitward/internal/upstream"
)

// Kind is one kind of call in a workload.
type Kind struct {
	// Name is the name of its route.
	Name string
	// Path is the path of its route.
	Path string
	// Plain calls go to a plain service, others are completions.
	Plain bool
	// Urgent calls may not wait.
	Urgent bool
	// Share of the arrivals; the shares of a workload add up to 1.
	Share float64
	// Prompt and output lengths in tokens, log-uniform between the two.
	PromptTokens [2]int
	OutputTokens [2]int
	// Prefixes is the number of distinct shared prefixes of PrefixTokens
	// tokens; 0 means that prompts share nothing.
	Prefixes     int
	PrefixTokens int
	// TTFT and TPOT are the targets that a good answer meets. For a plain
	// call TTFT bounds the whole answer.
	TTFT time.Duration
	TPOT time.Duration
	// LeaveShare of the callers leave before the answer is complete.
	LeaveShare float64
	// ResendShare of the plain calls are sent twice under one key.
	ResendShare float64
}

// Workload is a set of routes, a mix of calls and the upstreams behind them.
type Workload struct {
	Name    string
	Region  string
	Engines string
	Service string
	Model   string
	Kinds   []Kind
	// Fleet are the stand-ins; Listen, Entries and Seed are set by the run.
	Fleet []standin.Settings
}

// plainPath is the path below a plain route; calls to it are non-repeatable.
const plainPath = "/commit"

const (
	ttftTarget = 760 * time.Millisecond
	tpotTarget = 25 * time.Millisecond
	// draftTarget replaces ttftTarget on routes whose calls may wait.
	draftTarget = 2 * time.Second
	// plainTarget bounds the answer of a plain call.
	plainTarget = 250 * time.Millisecond
)

// Workloads returns the known workloads by name.
func Workloads() map[string]*Workload {
	kiritani := &Workload{
		Name: "kiritani", Region: "dohoku", Engines: "draftwell", Service: "orderdesk", Model: "haze-7b",
		Kinds: []Kind{
			{Name: "kiritani-desk", Path: "/kiritani/desk", Urgent: true, Share: 0.35,
				PromptTokens: [2]int{20, 400}, OutputTokens: [2]int{8, 40},
				TTFT: ttftTarget, TPOT: tpotTarget, LeaveShare: 0.02},
			{Name: "kiritani-draft", Path: "/kiritani/draft", Share: 0.45,
				PromptTokens: [2]int{500, 20_000}, OutputTokens: [2]int{40, 200}, Prefixes: 6, PrefixTokens: 2_000,
				TTFT: draftTarget, TPOT: tpotTarget, LeaveShare: 0.05},
			{Name: "kiritani-orders", Path: "/kiritani/orders", Plain: true, Urgent: true, Share: 0.2,
				TTFT: plainTarget, ResendShare: 0.05},
		},
	}
	kiritani.Fleet = fleet(kiritani, []string{"sapporo-a", "otaru-b", "asahikawa-c", "obihiro-d"}, 4, 5, 4, 130)
	vodnarka := &Workload{
		Name: "vodnarka", Region: "brno", Engines: "chem-llm", Service: "orders", Model: "tank-13b",
		Kinds: []Kind{
			{Name: "vodnarka-report", Path: "/vodnarka/report", Share: 0.5,
				PromptTokens: [2]int{1_000, 30_000}, OutputTokens: [2]int{60, 400}, Prefixes: 10, PrefixTokens: 4_000,
				TTFT: draftTarget, TPOT: tpotTarget, LeaveShare: 0.05},
			{Name: "vodnarka-stock", Path: "/vodnarka/stock", Urgent: true, Share: 0.15,
				PromptTokens: [2]int{20, 300}, OutputTokens: [2]int{8, 30},
				TTFT: ttftTarget, TPOT: tpotTarget, LeaveShare: 0.02},
			{Name: "vodnarka-booking", Path: "/vodnarka/booking", Plain: true, Urgent: true, Share: 0.35,
				TTFT: plainTarget, ResendShare: 0.1},
		},
	}
	vodnarka.Fleet = fleet(vodnarka, []string{"brno-lab", "brno-depot", "brno-colo"}, 4, 4, 3, 230)
	return map[string]*Workload{kiritani.Name: kiritani, vodnarka.Name: vodnarka}
}

// fleet lists the stand-ins of a workload. Speeds differ between engines by up
// to 30% around the nominal value, as those of real ones do. Memory is sized so
// that decode slots are the scarcest resource of both workloads, with prefill
// and memory used to between 60% and 90% when the slots are full.
func fleet(w *Workload, places []string, prefills, decodes, services, pieces int) []standin.Settings {
	var list []standin.Settings
	add := func(role, service string, n int) {
		for i := range n {
			speed := 1 + 0.3*float64(i%3-1)
			list = append(list, standin.Settings{
				ID: fmt.Sprintf("%s-%s-%d", service, role, i+1), Service: service, Role: role,
				Region: w.Region, Place: places[len(list)%len(places)],
				PrefillTokensPerSecond: int(60_000 * speed),
				DecodePerToken:         time.Duration(float64(14*time.Millisecond) / speed),
				TotalPieces:            pieces,
				ChecksFencing:          i%2 == 0,
			})
			last := &list[len(list)-1]
			if role != standin.RolePlain {
				last.Models = []string{w.Model}
			}
		}
	}
	add(standin.RolePrefill, w.Engines, prefills)
	add(standin.RoleDecode, w.Engines, decodes)
	add(standin.RolePlain, w.Service, services)
	return list
}

// Routes returns the configuration that the system under test needs.
func (w *Workload) Routes() []*pb.Route {
	var routes []*pb.Route
	for _, k := range w.Kinds {
		r := &pb.Route{
			Name: k.Name, Path: k.Path, Region: w.Region, Service: w.Engines,
			Kind: pb.RouteKind_ROUTE_KIND_ENGINE, RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT,
			Models: []string{w.Model}, MaxWaitMs: 10_000, DeadlineMs: 30_000,
			TtftTargetMs: uint32(k.TTFT.Milliseconds()), TpotTargetMs: uint32(k.TPOT.Milliseconds()),
		}
		if k.Urgent {
			r.RequestClass, r.MaxWaitMs = pb.RequestClass_REQUEST_CLASS_URGENT, 1_000
		}
		if k.Plain {
			r.Kind, r.Service, r.Models = pb.RouteKind_ROUTE_KIND_PLAIN, w.Service, nil
			r.TtftTargetMs, r.TpotTargetMs = 0, 0
			r.NonRepeatable = []*pb.CallRule{{Method: "POST", PathPrefix: plainPath}}
		}
		routes = append(routes, r)
	}
	return routes
}

// Call is one call to make.
type Call struct {
	Kind *Kind
	// At is the arrival, from the start of the run.
	At           time.Duration
	Organisation string
	Prompt       string
	// OutputTokens is the max_tokens of a completion.
	OutputTokens int
	// PrefixTokens of the prompt are shared with other prompts.
	PrefixTokens int
	// Key is the idempotency key of a plain call.
	Key    string
	Resend bool
	// LeaveAfter and LeaveTokens are the time after sending and the number of
	// tokens after which the caller leaves; 0: never.
	LeaveAfter  time.Duration
	LeaveTokens int
}

func (c *Call) leaves() bool {
	return c.LeaveAfter > 0 || c.LeaveTokens > 0
}

const (
	organisations = 5
	// maxBurst is the largest number of calls that arrive together.
	maxBurst = 4
	// burstSpread is the time over which a burst arrives.
	burstSpread = 100 * time.Millisecond
	// earlyLeave is the share of the leaving callers who leave within
	// earlyLeaveLimit, often before the first token; the others leave while
	// they read. No router can avoid the prefill that early ones waste. One
	// prompt of 20,000 tokens would be 1% of a run of 10 s, twice the target
	// for wasted prefill, so early leavers have the shortest prompts.
	earlyLeave      = 0.1
	earlyLeaveLimit = 400 * time.Millisecond
)

// generate returns the arrivals of one kind within d: bursts of 1 to maxBurst
// calls at exponential distances. It stops when the calls add up to the given
// amount of work and then fits the times into d, so that the offered load of a
// short run is exact although the lengths of calls differ a thousandfold.
func generate(r *rand.Rand, k *Kind, amount float64, work func(*Call) float64, d time.Duration, runID string) []*Call {
	var calls []*Call
	at, done := 0.0, 0.0
	for done < amount {
		at += r.ExpFloat64()
		for range 1 + r.IntN(maxBurst) {
			c := newCall(r, k, fmt.Sprintf("%s-%s-%d", runID, k.Name, len(calls)))
			c.At = time.Duration(at * float64(time.Second))
			calls = append(calls, c)
			done += work(c)
		}
	}
	// The distance after the last burst belongs to the run.
	at += r.ExpFloat64()
	for _, c := range calls {
		c.At = time.Duration(float64(c.At)/at*d.Seconds()) + time.Duration(r.Float64()*float64(burstSpread))
	}
	return calls
}

func newCall(r *rand.Rand, k *Kind, id string) *Call {
	c := &Call{Kind: k, Organisation: fmt.Sprintf("org-%d", r.IntN(organisations))}
	if k.Plain {
		c.Key, c.Resend = id, r.Float64() < k.ResendShare
		return c
	}
	c.OutputTokens = logUniform(r, k.OutputTokens)
	tokens := logUniform(r, k.PromptTokens)
	if r.Float64() < k.LeaveShare {
		if r.Float64() < earlyLeave {
			c.LeaveAfter = time.Duration(1 + r.Int64N(int64(earlyLeaveLimit)))
			tokens = k.PromptTokens[0]
		} else {
			c.LeaveTokens = 1 + r.IntN(c.OutputTokens)
		}
	}
	var prompt strings.Builder
	if k.Prefixes > 0 && tokens > k.PrefixTokens {
		fill(&prompt, fmt.Sprintf("%s prefix %d", k.Name, r.IntN(k.Prefixes)), k.PrefixTokens)
		c.PrefixTokens = k.PrefixTokens
	}
	fill(&prompt, id, tokens)
	c.Prompt = prompt.String()
	return c
}

// fill appends the text until b holds the given number of tokens.
func fill(b *strings.Builder, text string, tokens int) {
	for b.Len() < tokens*upstream.TokenBytes {
		rest := tokens*upstream.TokenBytes - b.Len()
		b.WriteString(text[:min(len(text), rest)])
		if b.Len() < tokens*upstream.TokenBytes {
			b.WriteByte(' ')
		}
	}
}

func logUniform(r *rand.Rand, bounds [2]int) int {
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Round(math.Exp(low + r.Float64()*(high-low))))
}
