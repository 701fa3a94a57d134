// Package forward carries opaque requests from callers to upstreams: it
// matches a route by host and longest path prefix, chooses an upstream, sends
// the request unchanged, and returns the upstream's whole answer or a refusal.
//
// The package knows no header names. A Protocol translates between headers and
// the facts that decisions need.
//
// Rules that hold for every request:
//
//   - A request that is not repeatable is sent again only when the send before
//     provably did not run.
//   - 503 is answered only when no upstream has run the request or may run it.
//   - An answer counts only when it is whole and names the request. Otherwise
//     the connection is closed and nothing of it looks complete to the caller.
//   - When the caller leaves, every send for it is cancelled.
package forward
