package forward

import (
	"context"
	"time"
)

// Tenant is an organisation whose callers identify themselves with keys.
type Tenant struct {
	Name string
	// Keys are the API keys of the tenant's callers. They are not logged or sent on.
	Keys []string
	// Priority is the urgency of the tenant's requests; 0 is the most urgent. It goes
	// before the priority of the route.
	Priority int
	// PerSecond and Burst are the cap on the use of all entries together, in tokens if
	// CountsTokens is set, otherwise in requests. PerSecond 0 means no cap.
	PerSecond float64
	Burst     float64
	// CountsTokens is set if a request counts by its prompt and output tokens, and one
	// that states none as PlainTokens.
	CountsTokens bool
	PlainTokens  float64
}

// Cost returns what a request counts against the tenant's cap.
func (t *Tenant) Cost(info *RequestInfo) float64 {
	if !t.CountsTokens {
		return 1
	}
	// A negative count, which callers may send, does not lower the cost.
	if n := max(0, float64(info.PromptTokens)) + max(0, float64(info.MaxOutputTokens)); n > 0 {
		return n
	}
	return t.PlainTokens
}

// TenantAdmission decides for all entries together whether requests of tenants may run.
type TenantAdmission interface {
	// SetTenants sets the tenants of a configuration, at each change.
	SetTenants(version uint64, tenants []Tenant)
	// KeysConfirmed reports whether the keys of the configuration with a version are known
	// to be those in force, and how long after a refusal a caller should ask again if not.
	KeysConfirmed(version uint64) (confirmed bool, retryAfter time.Duration)
	// Admit charges a request to the tenant. It returns an *OverLimitError if the
	// tenant's cap leaves no room for it. The charge must be settled.
	Admit(ctx context.Context, tenant *Tenant, cost float64) (UsageCharge, error)
}

// UsageCharge is the charge for one request of a caller.
type UsageCharge interface {
	// Settle ends the charge. It is given back if no upstream ran the request.
	Settle(ran bool)
}

// OverLimitError means that a request exceeds its tenant's cap.
type OverLimitError struct {
	// RetryAfter is the time until the cap has room for the request.
	RetryAfter time.Duration
	// WithoutGrantor is set if the entry decided alone, because nothing granted it more.
	WithoutGrantor bool
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return "the tenant's cap has no room for " + e.RetryAfter.String()
}
