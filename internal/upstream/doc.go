// Package upstream defines the communication with model engines and services: the
// Engine interface, the JSON bodies of the engine protocol, the error kinds that
// determine whether a request may be retried, and an HTTP implementation. Another
// engine protocol can be supported by another implementation of Engine.
package upstream
