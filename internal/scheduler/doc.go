// Package scheduler decides where the requests of a pool run. One process can
// serve several pools; it is active for a pool while it holds the pool's lease.
//
// The core is Pool: tables (upstreams, holds, queue, links, prefix index,
// orders) and controllers that read and write them and return actions. It does
// no I/O and takes the time as an argument. The shell, Scheduler, owns the
// goroutines, the timers, the calls to engines and the handlers of calls from
// entries.
package scheduler
