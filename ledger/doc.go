// Package ledger implements a table of idempotency keys that lets each call run
// at most once. It is deterministic, does no I/O and takes the time as an
// argument, so that it can be the state machine of a replicated log: all replicas
// that execute the same commands have the same table.
//
// A call is identified by organisation and idempotency key. Its first Claim
// returns Claimed, and only the caller that receives this result may run the
// call. A claim with the same request id returns Claimed again until the
// deadline, because the first response may have been lost; two runs must
// therefore never share a request id. Any other claim of the key returns the
// state or outcome of the first one and never causes a second run.
//
// # Time
//
// Commands carry the wall clock of the leader that proposed them. The ledger uses
// the highest value seen so far, so a leader with a slow clock makes time stand
// still but can't move it back. A leader whose clock is far ahead expires
// outcomes early, so that retries are refused. It also drops the fingerprints of
// opaque keys early: if the clock is ahead by more than TombstoneRetention, it
// drops all of them, and a retry can run such a call a second time. The members'
// clocks must therefore be correct to within days.
//
// # Retention
//
// An outcome is kept for Limits.Retention (24 h by default). After that, claims
// of the key return Expired:
//
//   - A UUID version 7 contains its creation time. A new claim of such a key that
//     is older than Retention less 5 minutes, the maximum lead of a caller's clock,
//     is refused because of that time alone. This holds forever and needs no
//     memory.
//   - For any other key (an opaque key), an 8-byte fingerprint is kept for another
//     Limits.TombstoneRetention (30 days by default). A retry after that counts as
//     a new call; callers that may retry so late must use version 7 keys. Two keys
//     with the same fingerprint cause a refusal, not a second run.
//
// No entry is evicted early: when the table has reached Limits.MaxBytes, claims of
// new keys return Full and the call does not run.
package ledger
