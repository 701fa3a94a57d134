package scheduler

import (
	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Action is what the core asks its shell to do.
type Action interface{ action() }

// Answer answers one Submit.
type Answer struct {
	Ticket   uint64
	Response *pb.SubmitResponse
}

// CancelWork cancels a hold's request at one engine. The shell reports success
// with Pool.CancelDone; otherwise the core asks again.
type CancelWork struct {
	HoldID string
	Side   engineSide
	Engine *pb.UpstreamState
	Work   upstream.CancelRequest
}

// CancelOrphan cancels work that no hold accounts for.
type CancelOrphan struct {
	Engine *pb.UpstreamState
	Work   upstream.CancelRequest
}

// ListRunning asks for an engine's list of running requests, to be reported
// with Pool.Listed.
type ListRunning struct {
	Engine *pb.UpstreamState
}

// SendOrder sends an order to an engine. The shell reports the outcome with
// Pool.OrderDone.
type SendOrder struct {
	ID     uint64
	Engine *pb.UpstreamState
	Order  upstream.Order
	// Limit of the call, milliseconds.
	LimitMillis uint32
}

// OrderResult ends one order.
type OrderResult struct {
	ID     uint64
	Result string
	// Failure is empty when the order was carried out.
	Failure string
}

// Note is an event for the time line.
type Note struct {
	Kind      string
	RequestID string
	Attempt   uint32
	Upstream  string
	Detail    string
}

func (Answer) action()       {}
func (CancelWork) action()   {}
func (CancelOrphan) action() {}
func (ListRunning) action()  {}
func (SendOrder) action()    {}
func (OrderResult) action()  {}
func (Note) action()         {}
