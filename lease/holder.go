package lease

import "time"

// DefaultTTL is the lifetime of a lease without renewal.
const DefaultTTL = 3 * time.Second

// driftDivisor expresses the bound on the difference in clock rate between any
// two machines: 1/100 of the measured time.
const driftDivisor = 100

// renewalsPerTTL is the number of renewals that a holder attempts within one
// lifetime, so that two of them may be lost.
const renewalsPerTTL = 3

// Shorten returns the part of ttl that a holder may use.
func Shorten(ttl time.Duration) time.Duration {
	return ttl - Drift(ttl)
}

// Lengthen returns the time after which a lease of ttl has ended on every
// clock.
func Lengthen(ttl time.Duration) time.Duration {
	return ttl + Drift(ttl)
}

// Drift returns the largest error of a measurement of d.
func Drift(d time.Duration) time.Duration {
	return (d + driftDivisor - 1) / driftDivisor
}

// Holder is the client's view of one lease. The zero value holds nothing. It is
// not safe for concurrent use.
type Holder struct {
	token uint64
	// lost is the highest token that was given up.
	lost  uint64
	ttl   time.Duration
	until time.Time
}

// Granted takes an acquisition or renewal that was requested at sent. An answer
// to an older request never shortens the lifetime, and an answer with a token
// below the current one, or up to one that was lost, is ignored.
func (h *Holder) Granted(token uint64, sent time.Time, ttl time.Duration) {
	if token < h.token || token <= h.lost {
		return
	}
	until := sent.Add(Shorten(ttl))
	if token == h.token && !until.After(h.until) {
		return
	}
	h.token = token
	h.ttl = ttl
	h.until = until
}

// Lost ends the lease at once: it was released, or the grantor refused a
// renewal. A late answer to an earlier request cannot bring it back.
func (h *Holder) Lost() {
	h.until = time.Time{}
	h.lost = h.token
}

// Held reports whether the lease is held at now, with its fencing token.
func (h *Holder) Held(now time.Time) (token uint64, ok bool) {
	if !now.Before(h.until) {
		return 0, false
	}
	return h.token, true
}

// Until returns the moment at which the lease ends, the zero time when it is
// not held.
func (h *Holder) Until() time.Time {
	return h.until
}

// RenewalInterval returns the time between two renewals.
func (h *Holder) RenewalInterval() time.Duration {
	return h.ttl / renewalsPerTTL
}
