// Package policy holds the pure functions that decide where work runs:
// placement cost, learned speeds, fair queueing and the client-side selection
// for plain services. It does no I/O and reads no clock, so the same code runs
// in the scheduler, in property tests and in full-scale benchmarks.
package policy
