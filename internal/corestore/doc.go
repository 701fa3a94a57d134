// Package corestore replicates one document, the newest configuration, over
// the core daemons. It founds the group from a list of seeds, lets further
// daemons join, and replaces members that lost their disk or are gone.
//
// Membership rules:
//
//   - Only a daemon whose settings say that the whole system starts for the
//     first time, and that is itself a seed, founds the group. Every other
//     daemon with an empty disk joins under a new member id.
//   - A joiner at the address of a member proves that this member's disk is
//     lost: the old id is removed first, then the new one is added, so that no
//     step needs the vote of a lost disk.
//   - A member that does not answer is removed when a joiner can stand in its
//     place, or when more members remain than the stated fault tolerance needs.
//   - A member that finds itself removed clears its disk and joins again.
//
// A write is acknowledged after a majority has synced it. A read is answered
// after the leader has confirmed that it still leads.
package corestore
