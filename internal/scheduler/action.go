package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Action is a step that Pool leaves to the Scheduler.
type Action interface{ action() }

// SubmitResult is the response to the Submit with the same ticket.
type SubmitResult struct {
	Ticket   uint64
	Response *pb.SubmitResponse
}

// CancelWork cancels a hold's request at one engine. Success is reported with
// Pool.CancelDone; otherwise Pool repeats the action.
type CancelWork struct {
	HoldID string
	Role   engineRoles
	Engine *pb.UpstreamState
	Work   upstream.CancelRequest
}

// CancelOrphan cancels work that no hold accounts for.
type CancelOrphan struct {
	Engine *pb.UpstreamState
	Work   upstream.CancelRequest
}

// ListRunning asks for an engine's list of running requests, which is passed to
// Pool.Listed.
type ListRunning struct {
	Engine *pb.UpstreamState
}

// AskRole asks an engine for its role and whether it is changing it. The outcome is reported
// with Pool.RoleReported.
type AskRole struct {
	Engine  *pb.UpstreamState
	AskedAt time.Duration
}

// SendOrder sends an order to an engine. The outcome is reported with
// Pool.OrderDone.
type SendOrder struct {
	ID     uint64
	Engine *pb.UpstreamState
	Order  upstream.Order
	// TimeoutMillis is the timeout of the call in milliseconds.
	TimeoutMillis uint32
}

// OrderResult is the outcome of one order.
type OrderResult struct {
	ID     uint64
	Result string
	// Failure is empty when the order was carried out.
	Failure string
}

// TimelineEvent is an event for the log and the timeline.
type TimelineEvent struct {
	Kind      string
	RequestID string
	Attempt   uint32
	Upstream  string
	Detail    string
}

func (SubmitResult) action()  {}
func (CancelWork) action()    {}
func (CancelOrphan) action()  {}
func (ListRunning) action()   {}
func (AskRole) action()       {}
func (SendOrder) action()     {}
func (OrderResult) action()   {}
func (TimelineEvent) action() {}
