// Package client is the daemons' client of the control store. It watches the
// configuration and the pool leases, keeps the daemon's serving lease, claims
// non-repeatable calls and acquires pool leases.
//
// The client finds the leader by trying the configured addresses and following
// redirects. Every call that it retries is idempotent: the store recognises a
// retry by request id, holder or version.
package client
