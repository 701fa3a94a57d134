package lease

import "time"

// DefaultTTL is the default lifetime of a lease that is not renewed.
const DefaultTTL = 3 * time.Second

// driftDivisor is the inverse of the maximum difference in clock rate between any
// two machines: two measurements of the same time differ by at most 1/100.
const driftDivisor = 100

// renewalsPerTTL is the number of renewal intervals in one lifetime. The first
// two renewals are due before the lease expires, so that one of them may be lost.
const renewalsPerTTL = 3

// Shorten returns the part of ttl for which a holder may use the lease, allowing
// for clock drift.
func Shorten(ttl time.Duration) time.Duration {
	return ttl - Drift(ttl)
}

// Lengthen returns the time after which a lease of ttl has expired on every
// machine, allowing for clock drift.
func Lengthen(ttl time.Duration) time.Duration {
	return ttl + Drift(ttl)
}

// Drift returns the maximum clock drift over the duration d, rounded up.
func Drift(d time.Duration) time.Duration {
	return (d + driftDivisor - 1) / driftDivisor
}

// Holder is the client side of one lease. The zero value doesn't hold the lease.
// It is not safe for concurrent use.
type Holder struct {
	token uint64
	// lostToken is the highest token that was released or refused a renewal.
	lostToken uint64
	ttl       time.Duration
	// expiry is the end of the shortened lifetime.
	expiry time.Time
}

// Extend handles the response to an acquisition or renewal that was requested
// at sentAt. A response to an older request never shortens the lifetime. A
// response is ignored if its token is lower than the current one, or not higher
// than one that was lost.
func (h *Holder) Extend(token uint64, sentAt time.Time, ttl time.Duration) {
	if token < h.token || token <= h.lostToken {
		return
	}
	expiry := sentAt.Add(Shorten(ttl))
	if token == h.token && !expiry.After(h.expiry) {
		return
	}
	h.token = token
	h.ttl = ttl
	h.expiry = expiry
}

// MarkLost ends the lease at once, because it was released or the grantor
// refused to renew it. A delayed response to an earlier request can't revive
// it.
func (h *Holder) MarkLost() {
	h.expiry = time.Time{}
	h.lostToken = h.token
}

// Held returns the fencing token and whether the lease is held at now.
func (h *Holder) Held(now time.Time) (token uint64, ok bool) {
	if !now.Before(h.expiry) {
		return 0, false
	}
	return h.token, true
}

// Expiry returns the time at which the lease expires for the holder, or the
// zero time if it was never granted or is lost.
func (h *Holder) Expiry() time.Time {
	return h.expiry
}

// RenewalInterval returns the time that the holder should wait between renewals.
func (h *Holder) RenewalInterval() time.Duration {
	return h.ttl / renewalsPerTTL
}
