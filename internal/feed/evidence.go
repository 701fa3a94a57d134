package feed

import (
	"fmt"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// promptEvidence is what a hub knows about parts of prompts, and keys of requests without
// parts, that crash upstreams. Every hub has the evidence of all entries and decides on
// its own, so that neither a change of the leader nor the loss of a hub delays a
// decision. The hub's mu guards it.
type promptEvidence struct {
	quarantine *policy.PromptQuarantine
	// revision changes with everything that entries are told.
	revision uint64
}

// reportEvidence applies what an entry reported and passes it on to the other hubs.
func (h *Hub) reportEvidence(report *pb.OutcomeReport) {
	if len(report.Crashes) == 0 && len(report.SoundParts) == 0 {
		return
	}
	h.mu.Lock()
	changed := h.mergeCrashes(report.Crashes)
	for _, part := range report.SoundParts {
		if h.evidence.quarantine.RecordSound(part, h.now()) {
			changed = true
			h.logPart("prompt_part.sound", part)
		}
	}
	h.evidenceChanged(changed, true)
	h.mu.Unlock()
}

// mergeEvidence applies the evidence of another hub.
func (h *Hub) mergeEvidence(e *pb.PromptEvidence) {
	if e == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	changed := false
	for _, s := range e.Sound {
		if h.evidence.quarantine.MergeSound(policy.SoundPart{Part: s.Part, EndsAt: now + milliseconds(s.EndMs)}, now) {
			changed = true
			h.logPart("prompt_part.sound", s.Part)
		}
	}
	changed = h.mergeCrashes(e.Crashes) || changed
	changed = h.mergeQuarantined(e.Quarantined) || changed
	h.evidenceChanged(changed, false)
}

// mergeCrashes adds evidence. The caller holds mu.
func (h *Hub) mergeCrashes(crashes []*pb.CrashedPrompt) bool {
	now := h.now()
	changed := false
	for _, c := range crashes {
		engine := policy.EngineProcess{ID: c.EngineId, BornMs: c.EngineBornMs}
		if !h.evidence.quarantine.RecordCrash(policy.CrashedPrompt{Engine: engine, At: now - milliseconds(c.AgeMs), Parts: c.Parts, Whole: c.WholeRequest}, now) {
			continue
		}
		changed = true
		h.opts.Logger.Info().Str("event", "upstream.crashed").Str("upstream", c.EngineId).Int64("born_ms", c.EngineBornMs).
			Strs("parts", formatParts(c.Parts)).Msg("")
	}
	return changed
}

// mergeQuarantined adds quarantined parts that an entry or another hub knows. The
// caller holds mu.
func (h *Hub) mergeQuarantined(parts []*pb.QuarantinedPart) bool {
	now := h.now()
	changed := false
	for _, p := range parts {
		if h.evidence.quarantine.Merge(policy.QuarantinedPart{Part: p.Part, TrialAt: now + milliseconds(p.TrialMs), EndsAt: now + milliseconds(p.EndMs)}, now) {
			changed = true
			h.logPart("prompt_part.quarantined", p.Part)
		}
	}
	return changed
}

// decideQuarantine quarantines the parts for which there is enough evidence by now.
func (h *Hub) decideQuarantine() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidenceChanged(false, false)
}

// evidenceChanged decides anew and, if anything is different, wakes the streams to the
// entries. With toHubs it also wakes those to the other hubs. The caller holds mu.
func (h *Hub) evidenceChanged(changed, toHubs bool) {
	for _, part := range h.evidence.quarantine.Decide(h.now()) {
		changed = true
		h.logPart("prompt_part.quarantined", part)
	}
	if !changed {
		return
	}
	h.evidence.revision++
	for s := range h.subscriptions {
		if s.allReports && toHubs {
			s.evidenceDue = true
		}
		if !s.allReports || toHubs {
			s.signal()
		}
	}
}

// evidenceForEntry returns the evidence for a stream to an entry, or nil if the entry
// has the given revision.
func (h *Hub) evidenceForEntry(revision uint64) (*pb.PromptEvidence, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.evidence.revision {
		return nil, revision
	}
	e := h.encodeVerdicts()
	e.Suspects = h.evidence.quarantine.Suspects()
	return e, h.evidence.revision
}

// evidenceForHub returns the evidence that is due on a stream to another hub, or nil.
// The caller holds mu.
func (h *Hub) evidenceForHub(s *subscription) *pb.PromptEvidence {
	if !s.evidenceDue {
		return nil
	}
	s.evidenceDue = false
	e := h.encodeVerdicts()
	for _, c := range h.evidence.quarantine.Crashes() {
		e.Crashes = append(e.Crashes, &pb.CrashedPrompt{EngineId: c.Engine.ID, EngineBornMs: c.Engine.BornMs, Parts: c.Parts, AgeMs: remainingMs(h.now(), c.At), WholeRequest: c.Whole})
	}
	return e
}

func (h *Hub) encodeVerdicts() *pb.PromptEvidence {
	now := h.now()
	e := &pb.PromptEvidence{}
	for _, p := range h.evidence.quarantine.Quarantined() {
		e.Quarantined = append(e.Quarantined, &pb.QuarantinedPart{Part: p.Part, TrialMs: remainingMs(p.TrialAt, now), EndMs: remainingMs(p.EndsAt, now)})
	}
	for _, p := range h.evidence.quarantine.Sound() {
		e.Sound = append(e.Sound, &pb.SoundPart{Part: p.Part, EndMs: remainingMs(p.EndsAt, now)})
	}
	return e
}

// remainingMs returns the milliseconds from one time to a later one, 0 if it is past.
func remainingMs(until, now time.Duration) uint32 {
	return uint32(max(0, until-now).Milliseconds())
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (h *Hub) logPart(event string, part uint64) {
	h.opts.Logger.Warn().Str("event", event).Str("part", formatPart(part)).Msg("")
}

func formatPart(part uint64) string { return fmt.Sprintf("%016x", part) }

func formatParts(parts []uint64) []string {
	list := make([]string, len(parts))
	for i, part := range parts {
		list[i] = formatPart(part)
	}
	return list
}
