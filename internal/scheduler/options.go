package scheduler

import (
	"context"
	"time"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

// Engine is the part of an engine that the scheduler uses.
type Engine interface {
	Cancel(ctx context.Context, req *upstream.CancelRequest) error
	Running(ctx context.Context) ([]upstream.Running, error)
	Order(ctx context.Context, req *upstream.Order) error
}

// Options configure a Scheduler. The zero value of each field selects the
// default.
type Options struct {
	// Policy names the placement policy; see policy.ByName.
	Policy string
	// NewEngine returns the engine at a base URL. It is called once for each
	// start of an engine. Nil disables calls to engines.
	NewEngine func(state *pb.UpstreamState) Engine
	// HoldsLease reports whether this process holds the pool's lease with the token
	// at this moment. It is asked before each grant and each call to an engine:
	// a process that was suspended runs on before it learns that its lease has
	// expired. Nil means always.
	HoldsLease func(pool string, fencingToken uint64) bool
	// Recorder may be nil.
	Recorder *timeline.Recorder
	// Logger may be nil.
	Logger *log.Logger
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Workers bounds the goroutines that run controllers.
	Workers int
	// EngineCalls bounds concurrent calls to engines.
	EngineCalls int
	// Params tune the core.
	Params Params
}

// Params tune the decisions of a pool. The zero value of each field selects
// the default.
type Params struct {
	// SilentAfter is the time without an announcement after which an upstream
	// receives no new work.
	SilentAfter time.Duration
	// ForgetAfter is the time without an announcement after which an upstream
	// and its holds are forgotten.
	ForgetAfter time.Duration
	// HoldGrace is how long an entry may stay away before its holds are
	// cancelled, and how long running work may stay unclaimed after a takeover.
	HoldGrace time.Duration
	// DeadlineMargin is added to a request's deadline before its hold expires.
	DeadlineMargin time.Duration
	// RestateWindow is the time after activation in which nothing is granted,
	// so that entries can restate what they hold.
	RestateWindow time.Duration
	// UrgentReserve is the part of decode slots, decode memory and prefill
	// capacity that drafts leave free for urgent requests while any have come in
	// the last minute; 0 means 0.05. Negative means none.
	UrgentReserve float64
	// ReservePrefillEngine also keeps one of three or more prefill engines for
	// urgent requests and short drafts. It is for engines that do not interrupt
	// a running prefill for a more urgent one; with others it costs goodput.
	ReservePrefillEngine bool
	// DraftAge is the queueing time after which a draft that fits nowhere gets
	// memory earmarked on one engine.
	DraftAge time.Duration
	// LeaseTTL of pool leases; bounds how long an old holder may still act.
	LeaseTTL time.Duration
	// RoleHold is how long an imbalance must last before an engine changes its
	// role. Negative disables role changes.
	RoleHold time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeated attempts of a
	// pool, as in policy.RetryBudget. A zero window sets no bound.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// OnDemandMemory tells that engines take memory for an answer as it grows.
	// Requests then state the likely length of their answer, and an engine gets
	// a request when the forecast of its memory has room for it.
	OnDemandMemory bool
	// LocalPrefill allows decode engines to read prompts themselves when no
	// prefill engine is in reach or their queue is long.
	LocalPrefill bool
	// BalanceRoles splits the engines between prefill and decode by the measured
	// work of the requests instead of waiting for one side to run short.
	BalanceRoles bool
	// LoadInterval is the time between model loads, from the weight store's
	// rate and the size of a model.
	LoadInterval time.Duration
	// MaxQueued bounds the queued requests of a pool.
	MaxQueued int
	// DisableJIT turns off grants against slots that are forecast to free.
	DisableJIT bool
}

const (
	defaultWorkers     = 4
	defaultEngineCalls = 32
	// leaseDrift is the bound on clock drift that leases assume.
	leaseDrift = 0.01
)

func (o *Options) setDefaults() {
	if o.Policy == "" {
		o.Policy = policy.Default{}.Name()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	setDefault(&o.Workers, defaultWorkers)
	setDefault(&o.EngineCalls, defaultEngineCalls)
	o.Params.setDefaults()
}

func (p *Params) setDefaults() {
	setDefault(&p.SilentAfter, 3*time.Second)
	setDefault(&p.ForgetAfter, 30*time.Second)
	setDefault(&p.HoldGrace, 2*time.Second)
	setDefault(&p.DeadlineMargin, 2*time.Second)
	setDefault(&p.RestateWindow, 500*time.Millisecond)
	setDefault(&p.UrgentReserve, 0.05)
	setDefault(&p.DraftAge, 10*time.Second)
	setDefault(&p.LeaseTTL, 3*time.Second)
	setDefault(&p.RoleHold, 30*time.Second)
	setDefault(&p.LoadInterval, 10*time.Second)
	setDefault(&p.MaxQueued, 20000)
	p.UrgentReserve = max(0, p.UrgentReserve)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
