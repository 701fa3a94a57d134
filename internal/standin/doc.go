// Package standin provides fake upstreams for tests and load runs: a model
// engine that implements the engine protocol and a plain HTTP service. The
// output of an engine is a pure function of the prompt, so that a load generator
// can check each response token for token. Faults are injected by POST /fault.
package standin
