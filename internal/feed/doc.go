// Package feed distributes the newest configuration document and the list of
// upstreams to the entries.
//
// A Hub runs in each core daemon. It receives the reports of upstreams, sends
// them to the other hubs, and streams changes to the entries that are attached
// to it. A Subscriber runs in each entry and stays attached to two hubs, so
// that a hub that fails does not delay updates. An entry that can reach no hub
// keeps using the last state that it received.
package feed
