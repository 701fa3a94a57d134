package request

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Event is an input of a state machine.
type Event interface{ event() }

// Action is an output of a state machine. Actions must be executed in order.
type Action interface{ action() }

// Events of both machines.
type (
	// Start begins the request.
	Start struct{}
	// Tick reports that the time returned by Deadline has come.
	Tick struct{}
	// CallerGone reports that the caller disconnected.
	CallerGone struct{}
	// Stopped reports that the process stops and can't wait for the request.
	Stopped struct{}
)

// Events of a Completion.
type (
	// Granted carries the scheduler's reservation for an attempt.
	Granted struct {
		Attempt uint32
		Grant   *pb.Grant
	}
	// Refused reports that the scheduler refused the submission or could not be
	// reached (FailureNoScheduler).
	Refused struct {
		Attempt    uint32
		Failure    Failure
		Message    string
		RetryAfter time.Duration
	}
	// Prefilled reports that the prefill engine has computed the KV cache.
	Prefilled struct {
		Attempt uint32
		Result  *upstream.PrefillResult
	}
	// PrefillFailed ends the prefill of an attempt.
	PrefillFailed struct {
		Attempt uint32
		Kind    upstream.ErrorKind
		Message string
	}
	// Imported reports that the decode engine has fetched the KV cache.
	Imported struct{ Attempt uint32 }
	// ImportFailed ends the transfer of an attempt.
	ImportFailed struct {
		Attempt uint32
		Kind    upstream.ErrorKind
		Message string
	}
	// TokenReceived carries one token from a connection to the decode engine.
	TokenReceived struct {
		Connection uint32
		Token      upstream.Token
	}
	// StreamLost reports that a connection ended before the last token.
	StreamLost struct {
		Attempt    uint32
		Connection uint32
		Kind       upstream.ErrorKind
		Message    string
	}
)

// Actions of a Completion.
type (
	// Submit asks the scheduler for a reservation.
	Submit struct {
		Attempt         uint32
		PromptTokens    int
		MaxOutputTokens int
		Exclude         []string
	}
	// Withdraw cancels a submission to which the scheduler has not responded. A
	// grant that arrives later is released.
	Withdraw struct{ Attempt uint32 }
	// StartPrefill starts the prefill of the prompt and the output so far.
	StartPrefill struct {
		Attempt uint32
		Grant   *pb.Grant
		// Answer is the output of earlier attempts, appended to the prompt.
		Answer string
	}
	// StartImport makes the decode engine fetch the KV cache.
	StartImport struct {
		Attempt         uint32
		Grant           *pb.Grant
		Handle          string
		MaxOutputTokens int
	}
	// OpenStream opens a connection to the decode engine that starts at the token
	// Offset of the attempt's own output. It replaces the attempt's earlier
	// connection.
	OpenStream struct {
		Attempt         uint32
		Connection      uint32
		Grant           *pb.Grant
		Offset          int
		MaxOutputTokens int
	}
	// Emit sends output to the caller.
	Emit struct {
		// Offset counts the output tokens over all attempts, from 0.
		Offset int
		Text   string
	}
	// ReportProgress tells the scheduler which stage a hold has reached.
	ReportProgress struct {
		Attempt  uint32
		HoldID   string
		Stage    pb.ProgressRequest_Stage
		Duration time.Duration
		Tokens   int
		KVBytes  int64
	}
	// Release ends an attempt: it aborts the attempt's calls, cancels the attempt
	// at the engines in CancelAt, then releases the hold.
	Release struct {
		Attempt       uint32
		HoldID        string
		CancelAt      []*pb.UpstreamAddress
		Outcome       pb.ReleaseRequest_Outcome
		OutputTokens  int
		TimePerToken  time.Duration
		PrefillWasted bool
	}
	// Finish ends the request. Only releases of late grants may follow it.
	Finish struct{ Outcome Outcome }
)

func (*Start) event()           {}
func (*Tick) event()            {}
func (*CallerGone) event()      {}
func (*Stopped) event()         {}
func (*Granted) event()         {}
func (*Refused) event()         {}
func (*Prefilled) event()       {}
func (*PrefillFailed) event()   {}
func (*Imported) event()        {}
func (*ImportFailed) event()    {}
func (*TokenReceived) event()   {}
func (*StreamLost) event()      {}
func (*Submit) action()         {}
func (*Withdraw) action()       {}
func (*StartPrefill) action()   {}
func (*StartImport) action()    {}
func (*OpenStream) action()     {}
func (*Emit) action()           {}
func (*ReportProgress) action() {}
func (*Release) action()        {}
func (*Finish) action()         {}
