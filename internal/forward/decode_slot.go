package forward

import (
	"time"

	"godwitward.example/godwitward/policy"
)

// reasonDecodeLost is the reason of an attempt that ended before its decode engine was asked,
// because it was lost after the reservation.
const reasonDecodeLost = "decode_lost"

// decodeAvailable reports whether the decode engine of a placement may still be expected to
// take the request.
func (x *exchange) decodeAvailable(decode *target) bool {
	now := x.s.now()
	slot := policy.DecodeSlot{
		Gone: decode.replaced.Load(), Refuses: decode.refusesWork(now) || decode.reportsLeaving(), LinkLost: decode.lost(now) != nil, Suspect: decode.suspect(now),
	}
	decode.mu.Lock()
	slot.Gone = slot.Gone || decode.removed
	// An idle connection may work although no new one can be made.
	slot.LinkLost = slot.LinkLost && len(decode.idleConns) == 0
	decode.mu.Unlock()
	if slot.Suspect {
		slot.Others = x.hasOtherDecode(decode)
	}
	return slot.Available()
}

// suspect reports whether calls to the target have failed of late, or it is reported silent.
func (t *target) suspect(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.InBackoff(now) || t.record.Silent
}

// hasOtherDecode reports whether another engine that may decode the request is not suspect.
func (x *exchange) hasOtherDecode(decode *target) bool {
	filter := upstreamFilter{service: x.service.Name, stage: engineStage(x.service), run: x.run, excluded: map[*target]bool{decode: true}}
	now := x.s.now()
	for _, t := range x.s.upstreams.usable(filter, now) {
		if !x.tried[t] && !t.suspect(now) && t.lost(now) == nil {
			return true
		}
	}
	return false
}

// leaveDecode ends an attempt before its decode engine is asked. A prefill result is kept for
// the next one.
func (x *exchange) leaveDecode(p *placement, st *streamState) sendResult {
	x.reason = reasonDecodeLost
	p.release(OutcomeNotStarted, st)
	return sendNotSent
}
