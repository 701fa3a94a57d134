// Package lease implements the server and client logic of leases with fencing
// tokens. It does no I/O, reads no clock and starts no goroutine: the current
// time is an argument of every call that needs it.
//
// Grantor is the server side. Its records (name, holder, address, fencing
// token) are changed only by Apply, so the commands can be replicated through a
// log. Its deadlines are local to the current leader. A new leader calls
// BecomeLeader, which treats every lease as renewed at that moment: the
// previous leader confirmed each renewal before the election, so no holder
// assumes a longer lifetime.
//
// Holder is the client side. It measures the lifetime from the time at which
// the request was sent and shortens it by the maximum clock drift, so it stops
// using the lease before the Grantor can grant it to another holder.
//
// A holder name must be unique to one attempt to hold a lease. A request by the
// current holder returns the same fencing token, which makes a retry after a
// lost response safe, but would let two processes with the same name hold the
// lease at once. Nor may a name be reused after a release was sent: a delayed
// duplicate of the release would end the new lease.
package lease
