package forward

import (
	"net/http"
	"time"
)

// RequestInfo holds the values parsed from a caller's request headers.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits for the end of the response; 0 if
	// unknown.
	Timeout time.Duration
	// PromptTokens and MaxOutputTokens are 0 when the request is not for text
	// generation.
	PromptTokens int
	// MaxOutputTokens limits the output; ExpectedOutputTokens is an estimate that
	// is often far off.
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// Model is the requested model; empty when the request is not for text
	// generation.
	Model string
	// PromptKey identifies the prompt; empty when the request is not for text
	// generation.
	PromptKey string
	// PromptParts are the ids of the parts of the prompt, in order. Other requests
	// may share all but the last, which belongs to the request or its session.
	PromptParts []string
	// LastEventID is the id of the last event that the caller received of a stream
	// to resume; empty for a new stream.
	LastEventID string
	// StreamID is the id of the caller's request that brought the first event of the stream
	// to resume; empty for a new stream.
	StreamID string
	// EventsDelivered is the number of events up to LastEventID; 0 if unknown.
	EventsDelivered int
}

// SendOptions holds the values that the entry sets in the headers of an
// upstream request.
type SendOptions struct {
	// Instance is the id of the intended upstream process; any other process
	// rejects the request.
	Instance string
	// RemainingTime is the time left until the deadline of the response.
	RemainingTime time.Duration
	// LastEventID is the id of the event after which the stream is resumed; empty
	// to start from the beginning.
	LastEventID string
	// Weights is the version of the model's weights that the upstream must have; empty if
	// any will do. An upstream with another one rejects the request.
	Weights string
	// Identify is set if the process that gets the request is to be known by its start. It is
	// not sent.
	Identify bool
	// Prefill requests only the prefill of the prompt.
	Prefill bool
	// Source is where the prefill result is to be fetched, as returned by
	// Protocol.HandleSource; empty for none.
	Source string
	// Priority ranges from 0, the most urgent, to 9. A negative value sends none.
	Priority int
	// Tenant is the name of the tenant that owns the caller's key; empty for none.
	Tenant string
	// OmitKey is set if the caller's key is not to be sent.
	OmitKey bool
}

// ResponseInfo holds the values parsed from an upstream's response headers.
type ResponseInfo struct {
	RequestID string
	// Weights is the version of the weights that the upstream has; empty if it states none.
	Weights string
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// FromUpstream is set when the response carries the upstream's own stamp,
	// which shows that no intermediary produced it.
	FromUpstream bool
	// ContentEncoded is set when the body has a Content-Encoding. Upstreams send
	// none, so an intermediary has changed the body.
	ContentEncoded bool
	Load           *Load
	// KeepAlive is how long the upstream keeps an idle connection open; 0 if
	// unknown.
	KeepAlive       time.Duration
	ConnectionClose bool
	// RateLimit is the limit that the upstream states; nil if it states none.
	RateLimit *RateLimit
	// Pause is how long the upstream wants no request from this entry, which it says
	// when it turns one away; 0 if it does not say.
	Pause time.Duration
	// Leaving is set when the upstream says that it is about to end.
	Leaving bool
}

// RateLimit is the number of requests a second that an upstream takes from all
// entries together.
type RateLimit struct {
	PerSecond float64
	// Err is set if the stated value is not a valid limit; PerSecond is then 0.
	Err error
}

// Load is the load that an upstream reports: its running and waiting requests and
// the slots of its batch.
type Load struct {
	Running, Waiting, Slots int
	// SlownessPercent is how long work takes at the upstream at this moment, where 100 means
	// as usual; 0 if the upstream does not state it.
	SlownessPercent float64
}

// Handle identifies a prefill result that is held by an engine.
type Handle struct {
	ID     string
	Tokens int
	// Weights is the version of the weights that computed it; empty if it is not known.
	Weights string
}

// Protocol translates between headers and the types of this package.
type Protocol interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// CallerKeys returns the values of the header of a caller's request that holds the key
	// of its tenant.
	CallerKeys(h http.Header) []string
	// KeyChallenge returns the value of WWW-Authenticate in the response to a request
	// without a valid key.
	KeyChallenge() string
	// RequestHeader returns the headers of an upstream request: the caller's
	// without hop-by-hop headers and those reserved for the entry, plus the entry's
	// own.
	RequestHeader(caller http.Header, s *SendOptions) http.Header
	// ParseResponse parses the headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// EventWeights returns the version of the model's weights from which on an event was
	// generated. changed is false if the event names none, which is the rule.
	EventWeights(event []byte) (weights string, changed bool)
	// ResponseHeader returns the headers of an upstream's response without
	// hop-by-hop headers.
	ResponseHeader(h http.Header) http.Header
	// ParseHandle parses the body of a prefill response.
	ParseHandle(body []byte) (Handle, error)
	// HandleSource returns the value of SendOptions.Source for a handle held by the
	// engine at address.
	HandleSource(address string, handle Handle) string
	// HandlePath returns the path that frees a handle when called with DELETE.
	HandlePath(handle Handle) string
	// ReportPath is the path at which a process reports on itself when called with GET.
	ReportPath() string
	// ParseStart returns the start of a process in Unix milliseconds from such a report; 0 if
	// the report does not state it.
	ParseStart(body []byte) (int64, error)
}
