// Package relay opens connections to upstreams through other daemons, for a daemon whose
// own links to upstreams are down.
//
// A Server runs in each daemon that relays. For each call it opens a TCP connection to an
// upstream that it knows, and passes bytes on in both directions until either side ends. It
// never relays through a third daemon. A Dialer runs in each daemon that may need a relay.
// What is sent over a relayed connection, to which upstream and how often stays the
// decision of the daemon that uses it.
package relay
