// Package standin provides fake upstreams for tests and load runs: a model
// engine that speaks the engine protocol and a plain HTTP service. Their text
// is a pure function of the prompt, so that a load generator can check each
// answer token for token, and faults are injected by POST /fault.
package standin
