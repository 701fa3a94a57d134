package forward

import (
	"slices"
	"strings"
	"time"

	"godwitward.example/godwitward/internal/finding"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonRepeatable requests run at most once.
	NonRepeatable
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name.
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

// Config is one version of the routes and services. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// byHost lists each host's routes, longest prefix first.
	byHost map[string][]*Route
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another upstream after an event.
	Resumable bool
	// Timeout is the longest time in which a request gets its final answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value; for a
	// stream the time to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of an answer on time.
	EventGapTarget time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Split lists services with their share of the requests.
	Split []Share
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service with its weight in a split.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of upstreams with one name.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the room of one engine for prompts and answers.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of an answer.
	TokensPerEvent int
	// HandleTTL is how long a prefill result is kept for its decode engine.
	HandleTTL time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until the head of a connection's first request
	// has arrived, IdleTimeout the time between two requests. 0 sets no bound.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Compile checks a configuration and prepares it for Match. It returns all
// findings at once.
func (c *Config) Compile() error {
	findings := &finding.List{}
	seen := map[string]string{}
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		field := "routes." + r.Name
		c.checkRoute(findings, field, r)
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if other, taken := seen[place]; taken {
			findings.Addf(field, "has the host and prefix of route %s", other)
		}
		seen[place] = r.Name
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
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

// Match returns the route of a host and path, nil when there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose returns a service of a route's split; at is uniform in [0, 1).
func (r *Route) Choose(at float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
