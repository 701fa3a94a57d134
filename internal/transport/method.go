package transport

// Method identifies a call between daemons. The values are part of the wire
// protocol.
type Method uint32

// Methods served by the control store. MethodHello opens every session, and
// MethodRaft is also served by the core daemons of the forwarding deployment.
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

// Methods served by a scheduler. MethodEvents is also served by control and entry
// daemons.
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

// Methods served by the core daemons of the forwarding deployment.
const (
	MethodFeed Method = iota + 64
	MethodGossip
	MethodPutDocument
	MethodGetDocument
	MethodJoin
	MethodSendPermit
	MethodStreamVersion
	MethodLeave
	MethodRelay
	MethodTenantUsage
	MethodStoreLeaving
	MethodVersionsInUse
)
