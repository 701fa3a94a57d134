package forward

import (
	"net/http"
	"time"
)

// RequestInfo is what a caller's headers tell about a request.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits for the end of the answer.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens are 0 when the request is no generation.
	PromptTokens int
	// MaxOutputTokens is the most that the answer may have, ExpectedOutputTokens an
	// estimate that is often far off.
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// Model is the model asked for; empty when the request is no generation.
	Model string
	// LastEvent is the last event that the caller has of this stream; empty
	// for a new one.
	LastEvent string
	// EventsDelivered is the number of events up to LastEvent; 0 when it is not known.
	EventsDelivered int
}

// SendOptions is what the router sets on one send.
type SendOptions struct {
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

// ResponseInfo is what an upstream's headers tell about an answer.
type ResponseInfo struct {
	RequestID string
	// NotRun states that the upstream did not run the request.
	NotRun bool
	// FromUpstream tells that the answer carries the upstream's own proof.
	FromUpstream bool
	// ContentEncoded tells that something other than the upstream changed the body.
	ContentEncoded bool
	Load           *Load
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
	// ParseRequest reads a caller's headers.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Outbound returns the headers of a send: the caller's, without those that
	// concern one connection or are the router's to set, and the router's own.
	Outbound(caller http.Header, s *SendOptions) http.Header
	// ParseResponse reads the headers of an upstream's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader removes the headers that concern one connection.
	ResponseHeader(h http.Header) http.Header
	// ParseHandle reads the body of a prefill answer.
	ParseHandle(body []byte) (Handle, error)
	// Source names a handle at an engine for SendOptions.Source.
	Source(address string, handle Handle) string
	// FreePath is the path that frees a handle with DELETE.
	FreePath(handle Handle) string
}
