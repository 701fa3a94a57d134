package entry

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/request"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/upstream"
)

// Control is the part of the control store's API that an entry uses.
type Control interface {
	// Config returns the configuration in force, or nil before the first one is
	// known. A returned value is never modified.
	Config() *pb.Config
	// Serving reports whether this entry holds a serving lease.
	Serving() bool
	// Claim claims an idempotency key.
	Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, error)
	// RecordOutcome stores the outcome of a call whose key was claimed.
	RecordOutcome(ctx context.Context, req *pb.RecordRequest) error
}

// Schedulers is the client of the schedulers of all pools.
type Schedulers interface {
	// SetPools starts a watch on the scheduler of each named pool.
	SetPools(pools []string)
	// Submit requests a hold, which reserves engines for one attempt, and returns
	// the scheduler's grant or refusal. It submits again when the pool's scheduler
	// changes, until ctx ends. A grant that arrives after that is released.
	Submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error)
	// Progress reports the stage that a hold has reached. It does not block and
	// may drop the report when the scheduler is slow or unreachable.
	Progress(pool string, req *pb.ProgressRequest)
	// Release ends a hold. It does not block; the release is retried until the
	// scheduler acknowledges it or loses the pool's lease.
	Release(pool string, req *pb.ReleaseRequest)
	// Announce forwards announcements of upstreams.
	Announce(ctx context.Context, pool string, req *pb.AnnounceRequest) error
	// Upstreams returns the last list that the scheduler sent, also while no
	// scheduler is reachable. The list is never modified.
	Upstreams(pool string) []*pb.UpstreamStatus
	// Pending returns the number of releases that are not acknowledged yet.
	Pending() int
}

// Limits bound the memory use of one entry process. Requests above them are
// rejected and reported to the caller as not run.
type Limits struct {
	// Requests is the maximum number of requests in flight.
	Requests int64
	// BodyBytes is the maximum total size of the request bodies in memory.
	BodyBytes int64
	// ResponseBytes is the maximum total size of the buffered responses. Each
	// counts with the size that it may reach.
	ResponseBytes int64
}

const (
	// requestsPerCore limits memory and file descriptors, not the request rate: a
	// waiting request uses about 35 KB and one descriptor.
	requestsPerCore       = 2000
	defaultMemoryBytes    = 1 << 30
	bodyMemoryDivisor     = 8
	responseMemoryDivisor = 8
)

// DefaultLimits returns limits for a VM with the given number of cores and bytes
// of memory. 0 cores means GOMAXPROCS, 0 bytes means 1 GiB.
func DefaultLimits(cores int, memoryBytes int64) Limits {
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return Limits{
		Requests:      int64(cores) * requestsPerCore,
		BodyBytes:     memoryBytes / bodyMemoryDivisor,
		ResponseBytes: memoryBytes / responseMemoryDivisor,
	}
}

// Timeouts bound single waits, in addition to the route's deadline and StageLimits.
type Timeouts struct {
	// CallerRead is the maximum time to read a request body from the caller.
	CallerRead time.Duration
	// CallerStall is the maximum time that a write to the caller may block.
	CallerStall time.Duration
	// Claim is the maximum time to claim an idempotency key in the ledger.
	Claim time.Duration
	// Record is the maximum time to store an outcome in the ledger, with retries.
	Record time.Duration
	// Cancel is the maximum time to cancel a request at an engine, with retries.
	Cancel time.Duration
	// Dial is the maximum time to connect to a plain upstream, and separately for
	// the TLS handshake.
	Dial time.Duration
	// UpstreamStall is the maximum pause while streaming a plain upstream's response
	// body, and the maximum time to buffer the body of a response to be recorded.
	UpstreamStall time.Duration
}

// DefaultTimeouts returns the timeouts of a production entry.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		CallerRead: 30 * time.Second, CallerStall: time.Minute,
		Claim: 5 * time.Second, Record: 5 * time.Second, Cancel: 5 * time.Second,
		Dial: time.Second, UpstreamStall: 30 * time.Second,
	}
}

// Options configure a Server.
type Options struct {
	// ID identifies this entry to the schedulers. It is unique among all daemons.
	ID         string
	Control    Control
	Schedulers Schedulers
	// Engine returns the client of the engine at a base URL. It is called before
	// each engine call, so it should return a shared client.
	Engine func(url string) upstream.Engine
	// Recorder may be nil.
	Recorder *timeline.Recorder
	// Logger may be nil.
	Logger *log.Logger
	// Transport sends calls to plain upstreams. If nil, the server creates its own.
	Transport http.RoundTripper
	// Zero fields of Limits and Timeouts, and a zero StageLimits, take defaults.
	Limits      Limits
	Timeouts    Timeouts
	StageLimits request.Limits
	// SeparateAnnouncements makes AnnounceHandler the only handler that accepts
	// announcements of upstreams, so that callers cannot announce.
	SeparateAnnouncements bool
	// DrainDelay is how long a draining entry still accepts requests, so that load
	// balancers notice that it is not ready.
	DrainDelay time.Duration
	// RetryRatio is the share of recent requests that may be retried, in addition to
	// request.DefaultRetryFloor. 0 means request.DefaultRetryRatio.
	RetryRatio float64
}

func (o *Options) checkAndSetDefaults() error {
	if o.Control == nil || o.Schedulers == nil || o.Engine == nil {
		return errors.New("entry: Control, Schedulers and Engine must be set")
	}
	if o.ID == "" {
		return errors.New("entry: ID must be set")
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.PanicLevel}
	}
	defaults := DefaultLimits(0, 0)
	setDefault(&o.Limits.Requests, defaults.Requests)
	setDefault(&o.Limits.BodyBytes, defaults.BodyBytes)
	setDefault(&o.Limits.ResponseBytes, defaults.ResponseBytes)
	t := DefaultTimeouts()
	setDefault(&o.Timeouts.CallerRead, t.CallerRead)
	setDefault(&o.Timeouts.CallerStall, t.CallerStall)
	setDefault(&o.Timeouts.Claim, t.Claim)
	setDefault(&o.Timeouts.Record, t.Record)
	setDefault(&o.Timeouts.Cancel, t.Cancel)
	setDefault(&o.Timeouts.Dial, t.Dial)
	setDefault(&o.Timeouts.UpstreamStall, t.UpstreamStall)
	setDefault(&o.StageLimits, request.DefaultLimits())
	setDefault(&o.RetryRatio, request.DefaultRetryRatio)
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
