// Package upstream describes the model engines and plain services behind the
// router: the Engine interface, the JSON bodies of the engine protocol, the
// error kinds that decide whether a request may be retried, and the HTTP
// adapter. Another engine protocol is one more implementation of Engine.
package upstream
