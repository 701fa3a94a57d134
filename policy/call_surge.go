package policy

import (
	"math"
	"time"
)

const (
	// surgeWindow and usualWindow are the time constants of the present and of the usual rate
	// of a tenant's calls. A surge lasts 5 to 11 s, in which the usual rate changes little.
	surgeWindow = 2 * time.Second
	usualWindow = time.Minute
	// usualEvidence is how long a tenant must have been known before its usual rate is used.
	usualEvidence = 20 * time.Second
	// surgeFactor is the multiple of its usual rate from which on a tenant surges. In a burst of
	// all tenants, 2, few do. With 2.5, 0.74 of the others' calls of the replay were in time
	// beside a surge, with 2 0.98, without refusing it first 0.58.
	surgeFactor = 2
	// surgeExcess is the number of calls above that within surgeWindow, so that a few calls
	// of a tenant with hardly any are none.
	surgeExcess = 4
	// surgeRetryAfter is the Retry-After of a refused call of a tenant that surges.
	surgeRetryAfter = 500 * time.Millisecond
	// maxSurgeTenants limits the tenants whose calls are counted; those of others never surge.
	maxSurgeTenants = 256
)

// CallSurges decides which tenants send far more plain calls than usual through one entry.
// The calls of such a tenant are refused first under a shortage. The zero value is ready. It
// is not safe for concurrent use.
//
// It answers one tenant at 6 times its usual load during a burst of twice the usual load. Each
// caller stays with one entry, which sees only few tenants, often one. So a tenant is compared
// with itself: an entry can't tell how much the others send elsewhere.
type CallSurges struct {
	tenants map[string]*callRate
}

// callRate counts calls with weights that decay with surgeWindow and usualWindow.
type callRate struct {
	recent, usual float64
	since, at     time.Duration
}

func (r *callRate) decay(now time.Duration) {
	r.recent *= decay(now-r.at, surgeWindow)
	r.usual *= decay(now-r.at, usualWindow)
	r.at = now
}

// Admitted counts a call that is sent to an upstream.
func (c *CallSurges) Admitted(tenant string, now time.Duration) {
	r := c.tenants[tenant]
	if r == nil {
		if len(c.tenants) >= maxSurgeTenants && !c.forget(now) {
			return
		}
		if c.tenants == nil {
			c.tenants = map[string]*callRate{}
		}
		r = &callRate{since: now, at: now}
		c.tenants[tenant] = r
	}
	if now-r.at > usualEvidence {
		// What was usual before a pause is no longer known.
		*r = callRate{since: now, at: now}
	}
	r.decay(now)
	r.recent++
	r.usual++
}

// Surging reports whether the admitted calls of a tenant are far above their usual number.
func (c *CallSurges) Surging(tenant string, now time.Duration) bool {
	r := c.tenants[tenant]
	if r == nil || now-r.since < usualEvidence {
		return false
	}
	usual, recent := r.usual*decay(now-r.at, usualWindow), r.recent*decay(now-r.at, surgeWindow)
	// The weights of the calls of an even rate add up to the rate times this.
	window := usualWindow.Seconds() * (1 - math.Exp(-(now-r.since).Seconds()/usualWindow.Seconds()))
	return recent > surgeFactor*usual/window*surgeWindow.Seconds()+surgeExcess
}

// forget removes the tenants without a call of the last minutes and reports whether there was
// one.
func (c *CallSurges) forget(now time.Duration) bool {
	found := false
	for name, r := range c.tenants {
		if now-r.at > 3*usualWindow {
			delete(c.tenants, name)
			found = true
		}
	}
	return found
}
