package configcheck

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"godwitward.example/godwitward/internal/forward"
)

// Severity says whether a finding makes a configuration invalid.
type Severity string

const (
	// Error means that the core rejects the configuration.
	Error Severity = "error"
	// Warning means that the core accepts the configuration, but a part of it has no
	// effect or contradicts another part.
	Warning Severity = "warning"
)

// Rules of findings. They are part of the JSON output.
const (
	RuleInvalid         = "invalid"
	RuleIgnored         = "ignored"
	RuleVersion         = "version_not_newer"
	RuleRepeatedName    = "repeated_name"
	RuleUnmatchedRoute  = "unmatched_route"
	RuleZeroWeight      = "zero_weight"
	RuleUnusedService   = "unused_service"
	RuleNoKeys          = "no_keys"
	RuleRepeatedKey     = "repeated_key"
	RuleUnmatchedKey    = "unmatched_key"
	RuleTargetOverLimit = "target_over_timeout"
	RuleUnusedAttempts  = "unused_attempts"
	RulePauseOverLimit  = "event_pause_over_timeout"
	RuleUnusedBurst     = "unused_burst"
	RuleUnusedCost      = "unused_cost"
	RuleBurstUnderCost  = "burst_under_cost"
	RuleCapUnderCost    = "cap_under_cost"
)

// Finding is one statement about a configuration.
type Finding struct {
	Severity Severity
	Rule     string
	Remark
}

// Options are the parameters of Check.
type Options struct {
	// PromptTokens is the cost of a usual prompt with its output, in tokens. Caps and
	// bursts below it are reported; 0 means that it is not known.
	PromptTokens float64
}

// checker collects the findings about one document.
type checker struct {
	doc      *Document
	opts     Options
	findings []Finding
	// visits counts the routes, shares, services, tenants and keys that were looked at,
	// for a test that the work grows in proportion to the configuration.
	visits int
}

// Check returns the findings about a document, errors first.
func Check(doc *Document, opts Options) []Finding {
	c := &checker{doc: doc, opts: opts}
	c.run()
	return c.findings
}

func (c *checker) run() {
	for _, r := range c.doc.Rejections {
		if r.Position == (Position{}) {
			r.Position = c.doc.position(r.Place)
		}
		c.findings = append(c.findings, Finding{Severity: Error, Rule: RuleInvalid, Remark: r})
	}
	for _, r := range c.doc.Ignored {
		c.findings = append(c.findings, Finding{Severity: Warning, Rule: RuleIgnored, Remark: r})
	}
	if c.doc.Config == nil {
		return
	}
	c.checkRoutes(c.doc.Config)
	c.checkServices(c.doc.Config)
	c.checkTenants(c.doc.Config)
}

func (c *checker) warnf(rule, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: Warning, Rule: rule, Remark: Remark{
		Place: place, Position: c.doc.position(place), Message: fmt.Sprintf(format, args...),
	}})
}

func (c *checker) checkRoutes(config *forward.Config) {
	names := map[string]bool{}
	for i := range config.Routes {
		c.visits++
		r := &config.Routes[i]
		place := "routes." + r.Name
		if names[r.Name] {
			c.warnf(RuleRepeatedName, place, "another route has this name; logs and metrics do not distinguish them")
		}
		names[r.Name] = true
		c.checkMatch(place, r)
		for _, s := range r.Split {
			c.visits++
			if s.Weight == 0 {
				c.warnf(RuleZeroWeight, place, "service %q has weight 0 and gets no requests", s.Service)
			}
		}
		c.checkRouteLimits(place, r)
	}
}

// checkMatch reports routes that no request can match. A route with the host and prefix
// of another one is invalid and is reported as such.
func (c *checker) checkMatch(place string, r *forward.Route) {
	switch {
	case r.Host == "":
		c.warnf(RuleUnmatchedRoute, place, "has no host, so that only requests without a host match it")
	case strings.ContainsFunc(r.Host, func(ch rune) bool { return ch <= ' ' || ch >= 0x7f || strings.ContainsRune(`/\?#@"<>*`, ch) }):
		c.warnf(RuleUnmatchedRoute, place, "no request has the host %q", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return // invalid, and reported as such
	}
	// Requests are matched by the escaped form of their path.
	if u, err := url.ParseRequestURI(r.Prefix); err != nil {
		c.warnf(RuleUnmatchedRoute, place, "prefix %q is not a path", r.Prefix)
	} else if u.EscapedPath() != r.Prefix {
		c.warnf(RuleUnmatchedRoute, place, "prefix %q matches no request; paths are compared in their escaped form, without a query", r.Prefix)
	}
}

func (c *checker) checkRouteLimits(place string, r *forward.Route) {
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		c.warnf(RuleTargetOverLimit, place, "timeout %v is below the latency target %v", r.Timeout, r.LatencyTarget)
	}
	if r.Timeout > 0 && r.EventGapTarget > r.Timeout {
		c.warnf(RulePauseOverLimit, place, "the target for pauses between events, %v, is above the timeout %v", r.EventGapTarget, r.Timeout)
	}
	if r.Kind != 0 && r.MaxAttempts > 1 && !r.Repeatable() {
		kind := r.Kind.String()
		if r.Kind == forward.Stream {
			kind += " that is not resumable"
		}
		c.warnf(RuleUnusedAttempts, place, "allows %d attempts, but a request of kind %s runs once", r.MaxAttempts, kind)
	}
}

func (c *checker) checkServices(config *forward.Config) {
	// used is false for a service that is named with weight 0 only.
	used := map[string]bool{}
	for i := range config.Routes {
		for _, s := range config.Routes[i].Split {
			c.visits++
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		c.visits++
		switch hasShare, named := used[name]; {
		case !named:
			c.warnf(RuleUnusedService, "services."+name, "no route names this service")
		case !hasShare:
			c.warnf(RuleUnusedService, "services."+name, "no route gives this service a weight above 0")
		}
	}
}
