package policy

import "time"

const (
	// ShortestRestart is the time within which a process that has ended is not followed by
	// another one that accepts connections at its address.
	ShortestRestart = 100 * time.Millisecond
	// provingConnections is the number of older connections that prove without a new one
	// that the process is alive. The end of a single one may be lost on the way.
	provingConnections = 2
	// maxConnectAttempts limits the new connections for one response.
	maxConnectAttempts = 2
)

// ConnectResult tells what became of a new connection to a process.
type ConnectResult uint8

const (
	// ConnectOpen: it was accepted and stayed open.
	ConnectOpen ConnectResult = iota + 1
	// ConnectRefused: nobody listens.
	ConnectRefused
	// ConnectReset: it was accepted and reset, as by a process that has all the connections
	// it takes, or that has just ended.
	ConnectReset
	// ConnectFailed: it was accepted and closed, or there was no answer.
	ConnectFailed
)

// String returns the result as it is logged.
func (c ConnectResult) String() string {
	switch c {
	case ConnectOpen:
		return "open"
	case ConnectRefused:
		return "refused"
	case ConnectReset:
		return "reset"
	}
	return "failed"
}

// EndStep is what to do next at the end of a response.
type EndStep uint8

const (
	// EndComplete: the process outlived its response, which therefore is complete.
	EndComplete EndStep = iota + 1
	// EndUnproved: the process has ended, or it can't be told.
	EndUnproved
	// EndSettle: wait until the connections of a process that has ended are closed, then
	// look at the older ones again.
	EndSettle
	// EndConnect: open a new connection and see whether it stays open.
	EndConnect
)

// ResponseEnd is what is known at the end of a response that only the end of its
// connection ends. A process that is killed leaves the same end.
type ResponseEnd struct {
	// Age is the time for which the connection may have been at its end.
	Age time.Duration
	// Replaced is set if another process reports under the id, and Leaving if the process
	// has said that it is about to end. One that leaves may listen no longer.
	Replaced, Leaving bool
	// Older is the number of other connections to the process from before the end, and
	// OlderOpen the number of those that are open.
	Older, OlderOpen int
	// Settled is set if OlderOpen was counted after the settle time.
	Settled bool
	// Connects are the results of new connections. There is time to settle after each one.
	Connects []ConnectResult
}

// Next returns what to do next. A connection from before the end belongs to the process
// that sent the response. A new one may belong to its successor, unless the end is recent.
func (e *ResponseEnd) Next() EndStep {
	switch {
	case e.Replaced:
		return EndUnproved
	case e.OlderOpen >= provingConnections && !e.Settled:
		return EndSettle
	case e.OlderOpen >= provingConnections:
		return EndComplete
	case e.Age > ShortestRestart && !e.Settled:
		return EndSettle
	case e.Age > ShortestRestart:
		return proved(e.OlderOpen > 0)
	case len(e.Connects) == 0:
		return EndConnect
	}
	switch last := e.Connects[len(e.Connects)-1]; {
	case last == ConnectOpen:
		return EndComplete
	case last == ConnectRefused:
		return proved(e.Leaving && e.OlderOpen > 0)
	case len(e.Connects) < maxConnectAttempts:
		return EndConnect
	case e.OlderOpen > 0:
		return EndComplete
	}
	for _, c := range e.Connects {
		if c != ConnectReset {
			return EndUnproved
		}
	}
	return proved(e.Older == 0)
}

func proved(ok bool) EndStep {
	if ok {
		return EndComplete
	}
	return EndUnproved
}
