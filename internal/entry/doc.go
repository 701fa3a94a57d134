// Package entry is the HTTP server for callers. It serves completions routes
// through prefill and decode engines, forwards calls of plain routes, accepts
// announcements of upstreams, and keeps every promise that depends on what a
// caller sees. The decisions about one request are made by package request;
// this package owns its sockets, timers and buffers.
package entry
