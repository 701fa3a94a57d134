// Package soak runs the real programs as processes on loopback addresses,
// injects faults from outside, and checks the system's guarantees against what
// callers, upstreams and operators observe.
//
// The fault schedule depends on the seed alone, so that a run can be repeated.
// A finding names the violated guarantee and the request.
package soak
