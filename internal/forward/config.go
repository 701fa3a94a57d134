package forward

import (
	"slices"
	"strings"
	"time"

	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/policy"
)

// Kind is the kind of a route. It determines which requests may be retried.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonRepeatable requests run at most once.
	NonRepeatable
	// Stream requests get a stream of events as their response.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonRepeatable:
		return "non_repeatable"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Config is one version of the routes and services. It is immutable after
// Compile.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Tenants lists the tenants; without any, callers need no keys.
	Tenants []Tenant
	// byHost lists each host's routes, longest prefix first.
	byHost map[string][]*Route
	// byKey holds the tenant of each key.
	byKey map[string]*Tenant
	// needsKeys is set if a route serves only callers with keys.
	needsKeys bool
	// queueOrder maps the ranks of requests.
	queueOrder policy.QueueOrder
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another upstream after any event.
	Resumable bool
	// Timeout is the time limit from the arrival of a request to the end of its
	// response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response has its full value; for a
	// stream, the target for the time to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest pause between two events of a
	// stream.
	EventGapTarget time.Duration
	// Priority is the urgency of requests; 0 is the most urgent.
	Priority int
	// Public routes serve callers without a key.
	Public bool
	// Split distributes the requests over services by weight.
	Split []Share
	// MaxAttempts is the number of attempts of one request that may run on an
	// upstream. Attempts that were not sent or were rejected do not count.
	MaxAttempts int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service with its weight in a traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Service is a named set of upstreams.
type Service struct {
	Name string
	// StatusPath is the path of a status check at the service's upstreams; empty if they
	// have none.
	StatusPath string
	// Engine is nil for a service without model engines.
	Engine *EngineConfig
}

// EngineConfig holds the parameters of the model engines of a service.
type EngineConfig struct {
	// Slots is the number of requests in a full batch of one engine.
	Slots int
	// MemoryTokens is the KV cache capacity of one engine in tokens, for prompts and
	// output.
	MemoryTokens int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
	// HandleTTL is how long a prefill engine keeps a result for the decode engine.
	HandleTTL time.Duration
	// RoleSwitchTime is how long an engine is unavailable while it changes its
	// role.
	RoleSwitchTime time.Duration
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time from accepting a connection until the header
	// of its first request has arrived; IdleTimeout limits the time between two
	// requests. 0 means no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Compile validates the configuration and prepares it for Match. The error
// lists everything that is invalid.
func (c *Config) Compile() error {
	findings := &finding.List{}
	seen := map[string]string{}
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		field := "routes." + r.Name
		c.checkRoute(findings, field, r)
		key := strings.ToLower(r.Host) + " " + r.Prefix
		if other, taken := seen[key]; taken {
			findings.Addf(field, "has the host and prefix of route %s", other)
		}
		seen[key] = r.Name
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.compileTenants(findings)
	return findings.Err()
}

func (c *Config) checkRoute(findings *finding.List, field string, r *Route) {
	if r.Kind == 0 {
		findings.Addf(field, "has no known kind")
	}
	if r.Timeout <= 0 {
		findings.Addf(field, "timeout must be above 0")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		findings.Addf(field, "prefix %q must begin and end with a slash", r.Prefix)
	}
	total := 0.0
	for _, s := range r.Split {
		if c.Services[s.Service] == nil {
			findings.Addf(field, "names the unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			findings.Addf(field, "weight of service %q is negative", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		findings.Addf(field, "weights add up to 0")
	}
}

// Match returns the route for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService picks a service from Split by weight; u is a random number,
// uniform in [0, 1).
func (r *Route) ChooseService(u float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Split {
		if u -= s.Weight; u < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
