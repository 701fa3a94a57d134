package forward

import (
	"expvar"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/policy"
)

// tenants is the server's state for tenants.
type tenants struct {
	// admission is nil if tenants are not limited and keys need no confirmation.
	admission TenantAdmission
	stats     *tenantStats
	// keysRefused counts requests without a valid key by reason.
	keysRefused *expvar.Map
}

// Reasons of responses 401.
const (
	reasonKeyMissing  = "key_missing"
	reasonKeyRepeated = "key_repeated"
	reasonKeyUnknown  = "key_unknown"
)

// confirmationRetryAfter is the Retry-After of a request that was refused because the keys
// are not confirmed, if none is known: the time between two questions for a confirmation.
const confirmationRetryAfter = 500 * time.Millisecond

// shortestOverLimitRetryAfter is the shortest Retry-After of a request over its tenant's
// cap. The value is sent in milliseconds, and 0 would ask for a retry at once.
const shortestOverLimitRetryAfter = time.Millisecond

// SetTenantAdmission makes the server ask a whether requests of tenants may run. a gets the
// tenants now and at each change of the configuration. SetTenantAdmission must be called
// before the first request.
func (s *Server) SetTenantAdmission(a TenantAdmission) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.tenants.admission = a
	if c := s.config.Load(); c != nil {
		a.SetTenants(c.Version, c.Tenants)
	}
}

// applyTenants makes the tenants of a configuration known before the first request under it.
// The caller holds configMu.
func (s *Server) applyTenants(c *Config) {
	s.tenants.stats.keep(c.Tenants)
	if a := s.tenants.admission; a != nil {
		a.SetTenants(c.Version, c.Tenants)
	}
}

// keysUsable reports whether requests on all routes can be served as far as keys decide.
func (s *Server) keysUsable(c *Config) bool {
	if !c.needsKeys || s.tenants.admission == nil {
		return true
	}
	confirmed, _ := s.tenants.admission.KeysConfirmed(c.Version)
	return confirmed
}

// authenticate finds the tenant of the request. If it returns false, the route needs a key
// and it has sent an error response. While the keys are not confirmed, a key that is not
// known may be that of a newer configuration and gets no 401.
func (x *exchange) authenticate() bool {
	if len(x.config.Tenants) == 0 {
		return true
	}
	key, reason := soleKey(x.s.opts.Protocol.CallerKeys(x.r.Header))
	x.tenant = x.config.TenantOf(key)
	priority := policy.UnstatedPriority
	if x.tenant != nil {
		priority = x.tenant.Priority
	}
	x.rank, x.ranked = policy.RequestRank(priority, x.route.Priority), true
	if x.public() {
		return true
	}
	if reason != "" {
		return x.refuseKey(reason)
	}
	if a := x.s.tenants.admission; a != nil {
		if confirmed, retryAfter := a.KeysConfirmed(x.config.Version); !confirmed {
			if retryAfter <= 0 {
				retryAfter = confirmationRetryAfter
			}
			x.s.tenants.stats.refused(x.tenant, refusalUnconfirmed, nil)
			x.refuse("keys_unconfirmed", x.capRetryAfter(retryAfter))
			return false
		}
	}
	if x.tenant == nil {
		return x.refuseKey(reasonKeyUnknown)
	}
	return true
}

// public reports whether the request needs no key. An upstream may resolve dot segments, so a
// path with some must lead to a public route also when they are resolved.
func (x *exchange) public() bool {
	if !x.route.Public {
		return false
	}
	decoded := strings.ReplaceAll(x.r.URL.Path, `\`, "/")
	if !strings.Contains(decoded, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			route := x.config.Match(x.r.Host, strings.TrimSuffix(path.Clean(decoded), "/")+"/")
			return route != nil && route.Public
		}
	}
	return true
}

// soleKey returns the only value of the header for keys, or why there is none.
func soleKey(values []string) (key, reason string) {
	switch {
	case len(values) > 1:
		return "", reasonKeyRepeated
	case len(values) == 0 || values[0] == "":
		return "", reasonKeyMissing
	}
	return values[0], ""
}

func (x *exchange) refuseKey(reason string) bool {
	x.s.tenants.keysRefused.Add(reason, 1)
	x.w.Header().Set("WWW-Authenticate", x.s.opts.Protocol.KeyChallenge())
	x.respondError(http.StatusUnauthorized, reason)
	return false
}

// admitTenant charges the request to its tenant. If it returns false, it has sent an error
// response.
func (x *exchange) admitTenant() bool {
	if x.tenant == nil {
		return true
	}
	cost := x.tenant.Cost(&x.info)
	if a := x.s.tenants.admission; a != nil {
		usage, err := a.Admit(x.ctx, x.tenant, cost)
		if err != nil {
			x.refuseUsage(err)
			return false
		}
		x.usage = usage
	}
	x.usageCost = cost
	x.s.tenants.stats.admitted(x.tenant)
	return true
}

func (x *exchange) refuseUsage(err error) {
	var over *OverLimitError
	switch {
	case x.callerGone():
		x.abortCancelled()
	case errors.As(err, &over):
		x.s.tenants.stats.refused(x.tenant, refusalOverLimit, over)
		x.w.Header().Set("Retry-After", formatSeconds(max(shortestOverLimitRetryAfter, over.RetryAfter)))
		x.respondError(http.StatusTooManyRequests, "tenant_over_limit")
	case x.stopped():
		x.refuse(reasonStopping, stoppingRetryAfter)
	default:
		x.s.tenants.stats.refused(x.tenant, refusalUndecided, err)
		x.refuse("tenant_undecided", x.retryAfter())
	}
}

// settleUsage ends the charge to the tenant. A request that no upstream can have run costs
// nothing, also if an engine has prefilled its prompt.
func (x *exchange) settleUsage() {
	if x.usageCost > 0 && x.mayHaveRun() {
		x.s.tenants.stats.ran(x.tenant, x.usageCost)
	}
	if x.usage != nil {
		x.usage.Settle(x.mayHaveRun())
		x.usage = nil
	}
}

// tenantName returns the name of the tenant; empty for none.
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// setTenant sets what a send tells the upstream about the tenant. The key is omitted also
// if only the configuration in force, and not that of the request, has tenants.
func (x *exchange) setTenant(opts *SendOptions) {
	opts.OmitKey = len(x.config.Tenants) > 0 || len(x.s.config.Load().Tenants) > 0
	if x.tenant == nil {
		return
	}
	opts.Tenant = x.tenant.Name
	if x.service.Engine != nil {
		opts.Priority = policy.EnginePriority(x.tenant.Priority)
	}
}

// freeHeader returns the headers of a request that frees a handle. Without a tenant there
// are none.
func (x *exchange) freeHeader(t *target) http.Header {
	if x.tenant == nil {
		return http.Header{}
	}
	opts := &SendOptions{Instance: t.id, RemainingTime: freeTimeout, Priority: -1}
	x.setTenant(opts)
	return x.s.opts.Protocol.RequestHeader(http.Header{}, opts)
}
