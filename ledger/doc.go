// Package ledger is a table of calls that run at most once. It is a pure core:
// deterministic, without I/O, and with time as an argument, so that it can be
// the state machine of a replicated log. Every replica that executes the same
// commands holds the same table.
//
// A call is named by organisation and idempotency key. Its first Claim is
// answered Claimed, and only the receiver of that answer may run the call. The
// same claim (equal request id) is answered Claimed again until its deadline,
// because the first answer may have been lost; a request id must therefore
// never be shared by two runs. Every other claim of the key learns what became
// of the first one and never leads to a second run.
//
// Time. Commands carry the wall clock of the leader that proposed them. The
// ledger uses the largest value seen so far, so a leader with a slow clock
// stops time but cannot turn it back. A leader whose clock is far ahead expires
// outcomes early, which refuses calls; only one that is more than Tombstone
// ahead would let an opaque key run again, so the members' clocks must be right
// to within days.
//
// Bounds. An outcome is kept for Retention (24 h). Afterwards the key is
// refused as Expired:
//
//   - A key in the form of a UUID version 7 contains its creation time. A claim
//     of such a key that is older than Retention is refused by that time alone,
//     for ever, and costs no memory.
//   - Of any other key a fingerprint of 8 bytes is kept for Tombstone (30 days)
//     after Retention. A call that is repeated under an opaque key even later
//     counts as new; callers that may repeat so late use version 7 keys. Two
//     keys with one fingerprint cause a refusal, not a second run.
//
// Nothing is dropped early to make room: when the table has reached MaxBytes,
// new keys are refused as Full and the call does not run.
package ledger
