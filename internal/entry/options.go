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

// Control is the control store as an entry sees it.
type Control interface {
	// Config returns the configuration in force, nil before the first one. A
	// returned value is never modified.
	Config() *pb.Config
	// Serving reports whether this entry holds a serving lease.
	Serving() bool
	// Claim claims an idempotency key.
	Claim(ctx context.Context, req *pb.ClaimRequest) (*pb.ClaimResponse, error)
	// Record stores the outcome of a claimed call.
	Record(ctx context.Context, req *pb.RecordRequest) error
}

// Schedulers reaches the scheduler of each pool.
type Schedulers interface {
	// SetPools names the pools whose schedulers are watched.
	SetPools(pools []string)
	// Submit returns the scheduler's answer. It submits again when the pool's
	// scheduler changes, until ctx ends. A grant that arrives after ctx ended
	// is released.
	Submit(ctx context.Context, req *pb.SubmitRequest) (*pb.SubmitResponse, error)
	// Progress reports a stage of a hold. It does not block and may drop the
	// report when the scheduler is slow or away.
	Progress(pool string, req *pb.ProgressRequest)
	// Release ends a hold. It does not block and is repeated until the
	// scheduler acknowledged it or lost the pool.
	Release(pool string, req *pb.ReleaseRequest)
	// Announce forwards announcements of upstreams.
	Announce(ctx context.Context, pool string, req *pb.AnnounceRequest) error
	// Upstreams returns the last list that the scheduler pushed, also while no
	// scheduler is reachable. The list is never modified.
	Upstreams(pool string) []*pb.UpstreamStatus
	// Pending returns the number of releases that are not acknowledged.
	Pending() int
}

// Limits bound what one entry process keeps in memory. Requests above them are
// refused as "not run".
type Limits struct {
	// Requests is the number of requests in flight.
	Requests int64
	// BodyBytes is the size of all request bodies in memory.
	BodyBytes int64
	// AnswerBytes is the size that buffered answers may reach.
	AnswerBytes int64
}

const (
	// requestsPerCore is a bound on memory and file descriptors, not a rate: a
	// waiting request uses about 35 KB and one descriptor.
	requestsPerCore       = 2000
	defaultMemoryBytes    = 1 << 30
	bodyMemoryDivisor     = 8
	responseMemoryDivisor = 8
)

// DefaultLimits returns limits for a VM with this many cores and bytes of
// memory; 0 stands for the cores of this machine and for 1 GiB.
func DefaultLimits(cores int, memoryBytes int64) Limits {
	if cores <= 0 {
		cores = runtime.GOMAXPROCS(0)
	}
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return Limits{
		Requests:    int64(cores) * requestsPerCore,
		BodyBytes:   memoryBytes / bodyMemoryDivisor,
		AnswerBytes: memoryBytes / responseMemoryDivisor,
	}
}

// Timeouts bound every wait that no other message bounds.
type Timeouts struct {
	// CallerRead is the longest time that a caller may take to send a body.
	CallerRead time.Duration
	// CallerStall is the longest time that a caller may leave an answer unread.
	CallerStall time.Duration
	// Claim bounds the wait for the ledger's answer.
	Claim time.Duration
	// Record bounds the wait for the ledger to store an outcome.
	Record time.Duration
	// Cancel bounds the attempts to cancel a request at an engine.
	Cancel time.Duration
	// Dial bounds the connection to a plain upstream.
	Dial time.Duration
	// UpstreamStall is the longest pause inside a plain upstream's answer.
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
	// ID names this entry to schedulers; unique among all daemons.
	ID         string
	Control    Control
	Schedulers Schedulers
	// Engine returns the client of the engine at a base URL. It is called for
	// each use, so it should return a shared value.
	Engine func(url string) upstream.Engine
	// Recorder may be nil.
	Recorder *timeline.Recorder
	// Logger may be nil.
	Logger *log.Logger
	// Transport carries calls to plain upstreams; nil means one of its own.
	Transport http.RoundTripper
	// Zero fields of the following take their defaults.
	Limits      Limits
	Timeouts    Timeouts
	StageLimits request.Limits
	// SeparateAnnouncements keeps the announcements of upstreams off Handler;
	// AnnounceHandler alone accepts them, so that callers cannot announce.
	SeparateAnnouncements bool
	// DrainDelay is how long a draining entry goes on accepting requests, so
	// that load balancers notice that it is not ready.
	DrainDelay time.Duration
	// RetryRatio is the share of recent requests that may be retried.
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
	setDefault(&o.Limits.AnswerBytes, defaults.AnswerBytes)
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
