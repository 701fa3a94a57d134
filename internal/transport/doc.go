// Package transport carries calls between the system's daemons over TCP, with
// TLS when configured. Each Client keeps one yamux session to its peer, and each
// call uses one stream of it. A stream carries frames, each with a protobuf
// header and, unless it ends the call, a protobuf message.
//
// TCP may report no error for minutes while all packets are lost, so each session
// sends a ping every second and is closed when the reply takes more than two
// seconds. A Client then redials with exponential backoff and jitter.
//
// Failed calls return an *Error, except when the request cannot be encoded.
// Error.Sent is false when the request provably never left this process.
package transport
