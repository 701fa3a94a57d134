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
	// Name and Path are those of the route for calls of this kind.
	Name string
	Path string
	// Plain calls go to a plain service, all others are completions.
	Plain bool
	// Urgent calls have the urgent request class, all others are drafts.
	Urgent bool
	// Share of the arrivals; the shares of a workload add up to 1.
	Share float64
	// Minimum and maximum of the prompt and output lengths in tokens. Lengths
	// are distributed log-uniformly.
	PromptTokens [2]int
	OutputTokens [2]int
	// Prefixes is the number of distinct prompt prefixes, each of PrefixTokens
	// tokens, that longer prompts share. 0: no shared prefixes.
	Prefixes     int
	PrefixTokens int
	// TTFT and TPOT are the targets for the time to first token and the time
	// per output token. For a plain call TTFT applies to the whole response.
	TTFT time.Duration
	TPOT time.Duration
	// CancelShare is the share of calls that the caller cancels before the
	// response is complete.
	CancelShare float64
	// SendTwiceShare is the share of plain calls of which two copies are sent
	// at the same time with the same idempotency key.
	SendTwiceShare float64
}

// Workload is a set of routes, the kinds of calls to them and the upstreams
// behind them.
type Workload struct {
	Name   string
	Region string
	// EngineService and PlainService are the upstream services of the
	// completions and of the plain calls.
	EngineService string
	PlainService  string
	Model         string
	Kinds         []Kind
	// Fleet are the settings of the stand-ins. The run sets Entries and Seed.
	Fleet []standin.Settings
}

// commitPath is the path of plain calls below their route. Calls to it are
// non-repeatable.
const commitPath = "/commit"

const (
	urgentTTFTTarget = 760 * time.Millisecond
	tpotTarget       = 25 * time.Millisecond
	// draftTTFTTarget is longer, because drafts may wait in the queue.
	draftTTFTTarget = 2 * time.Second
	// plainLatencyTarget is the target for the whole response of a plain call.
	plainLatencyTarget = 250 * time.Millisecond
)

// Workloads returns the predefined workloads by name.
func Workloads() map[string]*Workload {
	kiritani := &Workload{
		Name: "kiritani", Region: "dohoku", EngineService: "draftwell", PlainService: "orderdesk", Model: "haze-7b",
		Kinds: []Kind{
			{Name: "kiritani-desk", Path: "/kiritani/desk", Urgent: true, Share: 0.35,
				PromptTokens: [2]int{20, 400}, OutputTokens: [2]int{8, 40},
				TTFT: urgentTTFTTarget, TPOT: tpotTarget, CancelShare: 0.02},
			{Name: "kiritani-draft", Path: "/kiritani/draft", Share: 0.45,
				PromptTokens: [2]int{500, 20_000}, OutputTokens: [2]int{40, 200}, Prefixes: 6, PrefixTokens: 2_000,
				TTFT: draftTTFTTarget, TPOT: tpotTarget, CancelShare: 0.05},
			{Name: "kiritani-orders", Path: "/kiritani/orders", Plain: true, Urgent: true, Share: 0.2,
				TTFT: plainLatencyTarget, SendTwiceShare: 0.05},
		},
	}
	kiritani.Fleet = fleet(kiritani, []string{"sapporo-a", "otaru-b", "asahikawa-c", "obihiro-d"}, 4, 5, 4, 130)
	vodnarka := &Workload{
		Name: "vodnarka", Region: "brno", EngineService: "chem-llm", PlainService: "orders", Model: "tank-13b",
		Kinds: []Kind{
			{Name: "vodnarka-report", Path: "/vodnarka/report", Share: 0.5,
				PromptTokens: [2]int{1_000, 30_000}, OutputTokens: [2]int{60, 400}, Prefixes: 10, PrefixTokens: 4_000,
				TTFT: draftTTFTTarget, TPOT: tpotTarget, CancelShare: 0.05},
			{Name: "vodnarka-stock", Path: "/vodnarka/stock", Urgent: true, Share: 0.15,
				PromptTokens: [2]int{20, 300}, OutputTokens: [2]int{8, 30},
				TTFT: urgentTTFTTarget, TPOT: tpotTarget, CancelShare: 0.02},
			{Name: "vodnarka-booking", Path: "/vodnarka/booking", Plain: true, Urgent: true, Share: 0.35,
				TTFT: plainLatencyTarget, SendTwiceShare: 0.1},
		},
	}
	vodnarka.Fleet = fleet(vodnarka, []string{"brno-lab", "brno-depot", "brno-colo"}, 4, 4, 3, 230)
	return map[string]*Workload{kiritani.Name: kiritani, vodnarka.Name: vodnarka}
}

// fleet returns the settings of the stand-ins of a workload; pieces is the
// memory of each decode engine. Speeds differ between engines by up to 30%
// around the nominal value, as those of real engines do. Memory is sized so that
// decode slots are the bottleneck of both workloads, with 60% to 90% of the
// prefill capacity and of the memory in use when all slots are occupied.
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
	add(standin.RolePrefill, w.EngineService, prefills)
	add(standin.RoleDecode, w.EngineService, decodes)
	add(standin.RolePlain, w.PlainService, services)
	return list
}

// Routes returns the routes that the router under test needs.
func (w *Workload) Routes() []*pb.Route {
	var routes []*pb.Route
	for _, k := range w.Kinds {
		r := &pb.Route{
			Name: k.Name, Path: k.Path, Region: w.Region, Service: w.EngineService,
			Kind: pb.RouteKind_ROUTE_KIND_ENGINE, RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT,
			Models: []string{w.Model}, MaxWaitMs: 10_000, DeadlineMs: 30_000,
			TtftTargetMs: uint32(k.TTFT.Milliseconds()), TpotTargetMs: uint32(k.TPOT.Milliseconds()),
		}
		if k.Urgent {
			r.RequestClass, r.MaxWaitMs = pb.RequestClass_REQUEST_CLASS_URGENT, 1_000
		}
		if k.Plain {
			r.Kind, r.Service, r.Models = pb.RouteKind_ROUTE_KIND_PLAIN, w.PlainService, nil
			r.TtftTargetMs, r.TpotTargetMs = 0, 0
			r.NonRepeatable = []*pb.CallRule{{Method: "POST", PathPrefix: commitPath}}
		}
		routes = append(routes, r)
	}
	return routes
}

// Call is one call of a run.
type Call struct {
	Kind *Kind
	// At is the time of arrival, measured from the start of the run.
	At           time.Duration
	Organisation string
	Prompt       string
	// OutputTokens is the max_tokens of a completion.
	OutputTokens int
	// PrefixTokens is the length of the prefix that the prompt shares with
	// others.
	PrefixTokens int
	// Key is the idempotency key of a plain call.
	Key       string
	SendTwice bool
	// CancelAfter is the time after sending, and CancelAfterTokens the number
	// of received tokens, after which the caller cancels. 0: never.
	CancelAfter       time.Duration
	CancelAfterTokens int
}

// cancels reports whether the caller cancels the call.
func (c *Call) cancels() bool {
	return c.CancelAfter > 0 || c.CancelAfterTokens > 0
}

const (
	organisationCount = 5
	// maxBurst is the largest number of calls in a burst.
	maxBurst = 4
	// burstSpread is the time over which a burst arrives.
	burstSpread = 100 * time.Millisecond
	// earlyCancelShare is the share of the cancelled calls that are cancelled
	// within earlyCancelWindow, often before the first token; the others are
	// cancelled while tokens arrive. No router can avoid the prefill that an
	// early cancellation wastes. One prompt of 20,000 tokens would be 1% of a
	// run of 10 s, twice the target for wasted prefill, so these calls have
	// the shortest prompts.
	earlyCancelShare  = 0.1
	earlyCancelWindow = 400 * time.Millisecond
)

// generate returns the calls of one kind for a run of duration d, in bursts of
// 1 to maxBurst calls with exponentially distributed intervals. It draws calls
// until their work adds up to targetWork and then scales the times of arrival
// to d, so that the offered load of a short run is exact although the lengths
// of calls differ by a factor of up to 1,000.
func generate(r *rand.Rand, k *Kind, targetWork float64, workOf func(*Call) float64, d time.Duration, runID string) []*Call {
	var calls []*Call
	at, totalWork := 0.0, 0.0
	for totalWork < targetWork {
		at += r.ExpFloat64()
		for range 1 + r.IntN(maxBurst) {
			c := newCall(r, k, fmt.Sprintf("%s-%s-%d", runID, k.Name, len(calls)))
			c.At = time.Duration(at * float64(time.Second))
			calls = append(calls, c)
			totalWork += workOf(c)
		}
	}
	// The run also includes the interval after the last burst.
	at += r.ExpFloat64()
	for _, c := range calls {
		c.At = time.Duration(float64(c.At)/at*d.Seconds()) + time.Duration(r.Float64()*float64(burstSpread))
	}
	return calls
}

// newCall draws a random call. id makes its key or prompt unique.
func newCall(r *rand.Rand, k *Kind, id string) *Call {
	c := &Call{Kind: k, Organisation: fmt.Sprintf("org-%d", r.IntN(organisationCount))}
	if k.Plain {
		c.Key, c.SendTwice = id, r.Float64() < k.SendTwiceShare
		return c
	}
	c.OutputTokens = logUniform(r, k.OutputTokens)
	tokens := logUniform(r, k.PromptTokens)
	if r.Float64() < k.CancelShare {
		if r.Float64() < earlyCancelShare {
			c.CancelAfter = time.Duration(1 + r.Int64N(int64(earlyCancelWindow)))
			tokens = k.PromptTokens[0]
		} else {
			c.CancelAfterTokens = 1 + r.IntN(c.OutputTokens)
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

// fill appends copies of the text, separated by spaces, until b is the given
// number of tokens long.
func fill(b *strings.Builder, text string, tokens int) {
	for b.Len() < tokens*upstream.TokenBytes {
		missing := tokens*upstream.TokenBytes - b.Len()
		b.WriteString(text[:min(len(text), missing)])
		if b.Len() < tokens*upstream.TokenBytes {
			b.WriteByte(' ')
		}
	}
}

// logUniform draws a number between the two bounds whose logarithm is
// distributed uniformly.
func logUniform(r *rand.Rand, bounds [2]int) int {
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Round(math.Exp(low + r.Float64()*(high-low))))
}
