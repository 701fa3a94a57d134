// Package lease contains the two decision cores of a fenced lease service.
// Neither core does I/O, reads a clock or starts a goroutine: the current time
// is an argument of every call.
//
// Grantor is the server side. Its records (name, holder, address, fencing
// token) are changed only by Apply, so a replicated log can carry the commands;
// its deadlines are local to the process that currently leads. A new leader
// calls Elected, after which every lease counts as renewed at that moment: the
// previous leader confirmed each renewal before the election, so no holder
// believes in a longer lifetime.
//
// Holder is the client side. It counts a lifetime from before the request was
// sent and shortens it by the bound on clock drift, so it stops before the
// Grantor lets another holder start.
//
// A holder name must be unique to one attempt to hold a lease. Asking again
// under the name that already holds it returns the same fencing token, which
// makes a resend after a lost answer harmless, but would let two processes with
// one name hold the lease together. For the same reason a name is not used
// again after a release was sent: a late copy of the release would end the new
// hold.
package lease
