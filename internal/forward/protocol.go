package forward

import (
	"net/http"
	"time"
)

// Facts are what a caller's headers tell about a request.
type Facts struct {
	ID string
	// Wait is how long the caller waits for the end of the answer.
	Wait time.Duration
	// PromptTokens and AnswerTokens are 0 when the request is no generation.
	PromptTokens int
	// AnswerTokens is the most that the answer may have, LikelyTokens an
	// estimate that is often far off.
	AnswerTokens int
	LikelyTokens int
	// Model is the model asked for; empty when the request is no generation.
	Model string
	// LastEvent is the last event that the caller has of this stream; empty
	// for a new one.
	LastEvent string
	// EventsMade is the number of events up to LastEvent; 0 when it is not known.
	EventsMade int
}

// Send is what the router sets on one send.
type Send struct {
	// Instance is the process that must answer; others reject the request.
	Instance string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// LastEvent continues a stream behind this event.
	LastEvent string
	// Prefill asks only for the prompt to be read.
	Prefill bool
	// Source names the prefill result to fetch, as Handle.Source returns it.
	Source string
	// Priority from 0, the most urgent, to 9; negative leaves it unset.
	Priority int
}

// Answer is what an upstream's headers tell about an answer.
type Answer struct {
	RequestID string
	// NotRun states that the upstream did not run the request.
	NotRun bool
	// Stamped tells that the answer carries the upstream's own proof.
	Stamped bool
	// Encoded tells that something other than the upstream changed the body.
	Encoded bool
	Load    *Load
	// KeepAlive is how long the upstream keeps the connection; 0 is unknown.
	KeepAlive time.Duration
	Close     bool
}

// Load is an upstream's own count of requests.
type Load struct {
	Running, Waiting, Slots int
}

// Handle is a prefill result held by an engine.
type Handle struct {
	ID     string
	Tokens int
}

// Protocol translates between headers and the router's own types.
type Protocol interface {
	// Facts reads a caller's headers.
	Facts(h http.Header) (Facts, error)
	// Outbound returns the headers of a send: the caller's, without those that
	// concern one connection or are the router's to set, and the router's own.
	Outbound(caller http.Header, s *Send) http.Header
	// Answer reads the headers of an upstream's answer.
	Answer(status int, h http.Header) Answer
	// Returned removes the headers that concern one connection.
	Returned(h http.Header) http.Header
	// Handle reads the body of a prefill answer.
	Handle(body []byte) (Handle, error)
	// Source names a handle at an engine for Send.Source.
	Source(address string, handle Handle) string
	// FreePath is the path that frees a handle with DELETE.
	FreePath(handle Handle) string
}
