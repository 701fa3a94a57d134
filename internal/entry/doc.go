// Package entry implements the HTTP server that callers connect to. It serves
// completions routes through prefill and decode engines, forwards calls of plain
// routes, accepts announcements of upstreams, and enforces the guarantees that
// depend on what a caller has received. The state machines of package request
// decide what happens to a request; this package executes their actions and owns
// the sockets, timers and buffers.
package entry
