// Package forward proxies HTTP requests from callers to upstreams. It matches a
// route by host and longest path prefix, picks an upstream, sends the request
// with its method, URI and body unchanged, and returns the upstream's complete
// response or an error response. An entry is a process that runs a Server.
//
// Apart from standard HTTP headers, the package knows no header names. A Protocol
// translates between headers and the values that routing decisions need.
//
// Rules that hold for every request:
//
//   - A non-repeatable request is retried only when the previous attempt
//     provably did not run.
//   - 503 is returned only when no upstream has run the request or may run it.
//   - A response is accepted only when it is complete and known to belong to the
//     request. If relaying has begun and the response cannot be completed, the
//     caller's connection is closed, so that the caller cannot take a partial
//     response for a complete one.
//   - When the caller disconnects, all its upstream requests are cancelled. One that
//     has closed only its sending side cannot be told from it, and gets an error
//     response.
package forward
