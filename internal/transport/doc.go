// Package transport carries calls between the system's daemons over TCP, with
// TLS when configured. Each pair of daemons shares one yamux session, and each
// call uses one stream of it. A stream carries frames, each with a protobuf
// header and, unless it ends the call, a protobuf message.
//
// TCP may take minutes to notice that packets are lost, so each session sends a
// ping every second and is closed when the reply takes more than two seconds. A
// Client then redials with exponential backoff and jitter.
//
// Failed calls return an *Error. Error.Sent is false when the request provably
// never left this process.
package transport
