// Package feed spreads what entries must know: the newest configuration
// document and the list of upstreams.
//
// A Hub runs in each core daemon. It takes the reports of upstreams, passes
// them to the other hubs, and streams changes to the entries that are attached
// to it. A Follower runs in each entry and stays attached to two hubs, so that
// one silent hub delays nothing. An entry that reaches no hub keeps what it
// has.
package feed
