package policy

// DecodeSlot describes the decode engine for which a prompt is to be prefilled, or to which
// a prefill result is to be sent, as an entry knows it.
type DecodeSlot struct {
	// Gone: the process has ended. Refuses: it leaves, or wants no request for some time.
	// LinkLost: no connection can be made.
	Gone, Refuses, LinkLost bool
	// Suspect: calls to it have failed of late, or nobody hears from it.
	Suspect bool
	// Others is set if another engine that may serve the request is none of these.
	Others bool
}

// Available reports whether the engine may be expected to take the request. A suspect one
// is used while there is no other.
//
// It answers engines that crash or go dark between the grant and the end of the prefill,
// about 100 ms for 5,200 tokens and longer with a queue. A request sent to a dark engine
// waits 1.8 times the latency target, in which its prefill result expires.
func (d DecodeSlot) Available() bool {
	return !d.Gone && !d.Refuses && !d.LinkLost && !(d.Suspect && d.Others)
}
