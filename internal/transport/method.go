package transport

// Method names a call between daemons.
type Method uint32

// Calls of the control store.
const (
	MethodHello Method = iota + 1
	MethodWatch
	MethodRenewServing
	MethodAcquireLease
	MethodRenewLease
	MethodReleaseLease
	MethodClaim
	MethodRecord
	MethodRaft
)

// Calls of a scheduler.
const (
	MethodSubmit Method = iota + 32
	MethodProgress
	MethodRelease
	MethodRestate
	MethodAnnounce
	MethodWatchUpstreams
	MethodSchedulerState
	MethodOrder
	MethodEvents
)

// Calls of the forwarding deployment's core daemons.
const (
	MethodFeed Method = iota + 64
	MethodGossip
	MethodPutDocument
	MethodGetDocument
	MethodJoin
)
