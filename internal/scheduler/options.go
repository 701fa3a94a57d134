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

// Engine is the part of an engine's API that the scheduler uses.
type Engine interface {
	Cancel(ctx context.Context, req *upstream.CancelRequest) error
	Running(ctx context.Context) ([]upstream.Running, error)
	Order(ctx context.Context, req *upstream.Order) error
}

// roleReporter is implemented by engines that tell about role changes in progress.
type roleReporter interface {
	ReportRole(ctx context.Context) (*upstream.RoleReport, error)
}

// Options configures a Scheduler. The zero value of each field selects the
// default.
type Options struct {
	// Policy names the placement policy; see policy.ByName.
	Policy string
	// NewEngine returns the client of an engine. It is called once for each
	// start of an engine. Nil disables calls to engines.
	NewEngine func(state *pb.UpstreamState) Engine
	// HoldsLease reports whether this process holds the pool's lease with the
	// token at this moment. It is called before each grant and each call to an
	// engine, because a process that was suspended runs on before it learns
	// that its lease has expired. Nil means always.
	HoldsLease func(pool string, fencingToken uint64) bool
	// Recorder may be nil.
	Recorder *timeline.Recorder
	// Logger may be nil.
	Logger *log.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Workers is the number of goroutines that run controllers.
	Workers int
	// EngineCalls bounds concurrent calls to engines.
	EngineCalls int
	// Params configures the pools.
	Params Params
	// PoolParams changes Params for one pool when it is activated; nil changes
	// nothing.
	PoolParams func(pool string, params *Params)
}

// Params configures the decisions of a pool. The zero value of each field
// selects the default.
type Params struct {
	// SilentAfter is the time without an announcement after which an upstream
	// receives no new work.
	SilentAfter time.Duration
	// ForgetAfter is the time without an announcement after which an upstream is
	// forgotten. Its holds remain until they are released or expire.
	ForgetAfter time.Duration
	// HoldGrace is how long an entry may be disconnected before its holds are
	// cancelled, and how long running work may stay unclaimed after a takeover.
	HoldGrace time.Duration
	// DeadlineMargin is added to a request's deadline before its hold expires.
	DeadlineMargin time.Duration
	// RestateWindow is the time after activation in which nothing is granted,
	// so that entries can restate their holds.
	RestateWindow time.Duration
	// UrgentReserve is the fraction of decode slots, decode memory and prefill
	// capacity that drafts leave free for urgent requests while any have
	// arrived in the last minute; 0 means 0.05 and a negative value none.
	UrgentReserve float64
	// ReservePrefillEngine also applies UrgentReserve to the number of prefill
	// engines: of three or more, at least one is kept for urgent requests and
	// short drafts. It is for engines that do not interrupt a running prefill
	// for a more urgent one; with others it reduces goodput.
	ReservePrefillEngine bool
	// DraftEarmarkDelay is the time in the queue over which a draft's priority at
	// the engines rises, and after which memory is kept free on one engine for a
	// draft that fits nowhere.
	DraftEarmarkDelay time.Duration
	// LeaseTTL is the TTL of pool leases, which bounds how long a previous
	// holder may still act.
	LeaseTTL time.Duration
	// OrdersAfterLease makes a new lease holder wait for the end of the previous
	// lease before its first order even to engines that check fencing tokens.
	OrdersAfterLease bool
	// RoleChangeDelay is how long an imbalance must last before an engine
	// changes its role. A negative value disables role changes.
	RoleChangeDelay time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of a pool, as in
	// policy.RetryBudget. A zero window sets no bound.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// OnDemandMemory means that engines allocate memory for a request as its
	// output grows. Requests then carry their expected output length instead of
	// the maximum, and an engine gets a request when it fits the forecast of
	// its memory.
	OnDemandMemory bool
	// LocalPrefill allows decode engines to prefill prompts themselves when no
	// prefill engine is available or the wait for one is long.
	LocalPrefill bool
	// BalanceRoles divides the engines between prefill and decode by the
	// measured work of the requests instead of waiting until one role is
	// overloaded. RoleChangeDelay then has no effect.
	BalanceRoles bool
	// AssumedRates are the rates of engines that announce none, until one engine
	// of the pool has been measured.
	AssumedRates policy.Rates
	// RoleSwitchTime is how long an engine is unavailable while it changes its
	// role.
	RoleSwitchTime time.Duration
	// LoadInterval is the minimum time between model loads, given by the weight
	// store's rate and the size of a model.
	LoadInterval time.Duration
	// MaxQueued bounds the queued requests of a pool.
	MaxQueued int
	// DisableForecast turns off just-in-time grants against memory that is forecast
	// to become free.
	DisableForecast bool
}

const (
	defaultWorkers     = 4
	defaultEngineCalls = 32
	// maxClockDrift is the bound on clock drift that leases assume.
	maxClockDrift = 0.01
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
	setDefault(&p.DraftEarmarkDelay, 10*time.Second)
	setDefault(&p.LeaseTTL, 3*time.Second)
	setDefault(&p.RoleChangeDelay, 30*time.Second)
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
