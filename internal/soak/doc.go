// Package soak runs the real programs as processes on loopback addresses,
// injects faults from outside, and checks the promises from what callers,
// upstreams and operators see.
//
// The schedule of faults depends on the seed alone, so that a run can be
// repeated. A finding names the broken promise and the request.
package soak
