// Package client is what every daemon uses of the control store: the current
// configuration and pool leases, its own serving lease, claims of
// non-repeatable calls, and holding a pool lease.
//
// The client finds the leader by trying the configured addresses and following
// redirects. Every call that it retries is safe to repeat: the store recognises
// a repetition by request id, holder or version.
package client
