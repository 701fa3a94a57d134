// Package policy decides where requests run: placement cost, learned engine
// speeds, fair queueing, retry budgets and client-side selection of upstreams
// and plain services. It does no I/O and reads no clock, so the same code runs
// in the scheduler, in property tests and in full-scale benchmarks.
package policy
