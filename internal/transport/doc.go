// Package transport carries calls between the system's daemons: TCP (TLS when
// configured), one yamux session for each pair of daemons, and one stream for
// each call. A stream carries frames of a protobuf header and a protobuf
// message.
//
// TCP may stay silent for minutes after packets vanish, so each session sends
// a ping every second and is closed when the reply takes over two seconds. A
// Client then dials again with a jittered exponential delay.
//
// Errors are of type *Error. Error.Sent is false when the request provably
// never left this process.
package transport
