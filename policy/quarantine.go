package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of engines that must have crashed, one after
	// the other, under prompts with a part before the part is quarantined. Of a
	// part that is not the last, quarantinePrompts different prompts are needed: a
	// single prompt may crash engines for a reason of its own.
	quarantineCrashes = 3
	quarantinePrompts = 2
	// crashSpacing is the time within which crashes count as one. A power loss ends
	// many engines at once, and their requests have parts in common by chance.
	crashSpacing = 200 * time.Millisecond
	// untoldCrashSpan is the time within which crashes of an id whose process told no start are one:
	// entries report it within that time, and an engine takes longer to start.
	untoldCrashSpan = 5 * time.Second
	// quarantineDelay is the shortest time from the first crash to the quarantine.
	// Within it, entries that have seen an answer to a prompt with the part say so. It
	// does not apply to whole requests, of which hardly two are alike.
	quarantineDelay = 500 * time.Millisecond
	// crashEvidenceTTL is how long a crash is remembered, soundPartTTL how long
	// crashes do not count against a part whose prompts are answered.
	crashEvidenceTTL = 2 * time.Minute
	soundPartTTL     = 10 * time.Second
	// A quarantined part is tried again after firstTrialDelay, which doubles up to
	// maxTrialDelay with each trial that crashes an engine. Without a trial the
	// quarantine ends after quarantineTTL.
	firstTrialDelay = time.Minute
	maxTrialDelay   = 10 * time.Minute
	quarantineTTL   = 15 * time.Minute
	// These limits bound the memory. When one is reached, the oldest is dropped.
	maxCrashes         = 256
	maxPromptsPerCrash = 16
	maxSuspectParts    = 512
	maxQuarantined     = 256
)

// PromptQuarantine finds the parts of prompts that crash each engine which begins to
// answer them, from the prompts whose answers had not begun at crashed engines.
//
// It is made for prompts that arrive at any entry, no two alike, with one part in
// common, beside sound prompts that share all other parts, and beside engines that
// crash for other reasons. A part is cleared by an answer to any prompt that has it.
// Of several parts that explain the same crashes, only the one nearest to the end of
// the prompts is quarantined, because parts at the beginning are shared by more.
//
// Whole requests, which have no parts, are found in the same way when they come again.
// Each crash under one counts, however soon after the last: a request that is sent to
// one upstream after the other was in progress at each when it crashed. Sound requests
// that were in progress beside it were so at fewer crashes; if not, both are quarantined.
type PromptQuarantine struct {
	// crashes are in order of time.
	crashes []*engineCrash
	// sound holds, by part, until when crashes do not count against it.
	sound       map[uint64]time.Duration
	quarantined map[uint64]*QuarantinedPart
}

// EngineProcess identifies one process of an engine by its id and start time, 0 if it is not
// known.
type EngineProcess struct {
	ID     string
	BornMs int64
}

// engineCrash is the crash of one engine process.
type engineCrash struct {
	engine  EngineProcess
	at      time.Duration
	prompts []suspectPrompt
}

// matches reports whether the crash is that of an engine at a time. A process crashes once.
func (c *engineCrash) matches(engine EngineProcess, at time.Duration) bool {
	return c.engine == engine && (engine.BornMs != 0 || (at-c.at).Abs() <= untoldCrashSpan)
}

// suspectPrompt holds the parts of a prompt that crashes count against, or the key of a
// whole request.
type suspectPrompt struct {
	parts []uint64
	whole bool
}

func (p *suspectPrompt) last() uint64 { return p.parts[len(p.parts)-1] }

// QuarantinedPart is a part whose prompts are refused.
type QuarantinedPart struct {
	Part uint64
	// TrialAt is from when on a single prompt with the part may be tried.
	TrialAt time.Duration
	EndsAt  time.Duration
	// trialDelay is the delay before the latest trial.
	trialDelay time.Duration
}

// CrashedPrompt is a prompt whose answer had not begun when an engine crashed.
type CrashedPrompt struct {
	Engine EngineProcess
	At     time.Duration
	// Parts are those of the prompt in their order or, if Whole is set, the key of a
	// whole request.
	Parts []uint64
	Whole bool
}

// SoundPart is a part against which crashes do not count until EndsAt.
type SoundPart struct {
	Part   uint64
	EndsAt time.Duration
}

// NewPromptQuarantine returns a quarantine without evidence.
func NewPromptQuarantine() *PromptQuarantine {
	return &PromptQuarantine{sound: map[uint64]time.Duration{}, quarantined: map[uint64]*QuarantinedPart{}}
}

// RecordCrash adds a prompt whose answer had not begun when its engine crashed. It
// reports whether that was new.
func (q *PromptQuarantine) RecordCrash(p CrashedPrompt, now time.Duration) bool {
	q.expire(now)
	parts := slices.DeleteFunc(slices.Clone(p.Parts), func(part uint64) bool { return q.sound[part] > now })
	if len(parts) == 0 || now-p.At > crashEvidenceTTL {
		return false
	}
	i := slices.IndexFunc(q.crashes, func(c *engineCrash) bool { return c.matches(p.Engine, p.At) })
	if i < 0 {
		i, _ = slices.BinarySearchFunc(q.crashes, p.At, func(c *engineCrash, at time.Duration) int { return cmp.Compare(c.at, at) })
		q.crashes = slices.Insert(q.crashes, i, &engineCrash{engine: p.Engine, at: p.At})
	}
	c := q.crashes[i]
	for _, known := range c.prompts {
		if known.last() == parts[len(parts)-1] {
			return false
		}
	}
	if len(c.prompts) == maxPromptsPerCrash {
		return false
	}
	c.prompts = append(c.prompts, suspectPrompt{parts, p.Whole})
	if len(q.crashes) > maxCrashes {
		q.crashes = q.crashes[1:]
	}
	for _, part := range parts {
		q.extend(part, now)
	}
	return true
}

// extend keeps a quarantined part that has crashed another engine. If it was on trial,
// the next trial comes later.
func (q *PromptQuarantine) extend(part uint64, now time.Duration) {
	v := q.quarantined[part]
	if v == nil {
		return
	}
	v.EndsAt = now + quarantineTTL
	if now >= v.TrialAt {
		v.trialDelay = min(2*v.trialDelay, maxTrialDelay)
		v.TrialAt = now + v.trialDelay
	}
}

// RecordSound records that a prompt with a part is being answered. The quarantine of
// the part ends, and earlier crashes do not count against it. It reports whether that
// changed anything but the end of the time for which the part counts as sound.
func (q *PromptQuarantine) RecordSound(part uint64, now time.Duration) bool {
	return q.MergeSound(SoundPart{part, now + soundPartTTL}, now)
}

// MergeSound is RecordSound with a part that another daemon has recorded.
func (q *PromptQuarantine) MergeSound(p SoundPart, now time.Duration) bool {
	changed := q.sound[p.Part] <= now
	q.sound[p.Part] = max(q.sound[p.Part], p.EndsAt)
	if q.quarantined[p.Part] != nil {
		delete(q.quarantined, p.Part)
		changed = true
	}
	for _, c := range q.crashes {
		for i := range c.prompts {
			s := &c.prompts[i]
			s.parts = slices.DeleteFunc(s.parts, func(part uint64) bool { return part == p.Part })
		}
		c.prompts = slices.DeleteFunc(c.prompts, func(s suspectPrompt) bool { return len(s.parts) == 0 })
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c *engineCrash) bool { return len(c.prompts) == 0 })
	return changed
}

// Merge adds a quarantined part that another daemon knows, unless it is sound. It
// reports whether it was new.
func (q *PromptQuarantine) Merge(p QuarantinedPart, now time.Duration) bool {
	if q.sound[p.Part] > now || p.EndsAt <= now {
		return false
	}
	if v := q.quarantined[p.Part]; v != nil {
		v.TrialAt, v.EndsAt = max(v.TrialAt, p.TrialAt), max(v.EndsAt, p.EndsAt)
		return false
	}
	q.add(&QuarantinedPart{Part: p.Part, TrialAt: p.TrialAt, EndsAt: p.EndsAt, trialDelay: firstTrialDelay})
	return true
}

func (q *PromptQuarantine) add(v *QuarantinedPart) {
	if len(q.quarantined) >= maxQuarantined {
		oldest := slices.MinFunc(q.Quarantined(), func(a, b QuarantinedPart) int { return cmp.Compare(a.EndsAt, b.EndsAt) })
		delete(q.quarantined, oldest.Part)
	}
	q.quarantined[v.Part] = v
}

// Decide quarantines the parts for which there is enough evidence and returns them.
func (q *PromptQuarantine) Decide(now time.Duration) []uint64 {
	q.expire(now)
	var added []uint64
	for {
		parts := q.culprits(now)
		if len(parts) == 0 {
			return added
		}
		for _, part := range parts {
			q.add(&QuarantinedPart{Part: part, TrialAt: now + firstTrialDelay, EndsAt: now + quarantineTTL, trialDelay: firstTrialDelay})
		}
		added = append(added, parts...)
	}
}

// partEvidence is what speaks against one part.
type partEvidence struct {
	part    uint64
	first   time.Duration
	last    time.Duration
	crashes int
	// prompts holds the last parts of the prompts.
	prompts map[uint64]bool
	// isLast is set if the part was the last one of each of its prompts; depth is the
	// number of parts before it.
	isLast bool
	depth  int
	// whole is set for a whole request.
	whole bool
}

// enough reports whether the evidence suffices for a quarantine.
func (e *partEvidence) enough(now time.Duration) bool {
	if e.crashes < quarantineCrashes {
		return false
	}
	return e.whole || now-e.first >= quarantineDelay && (e.isLast || len(e.prompts) >= quarantinePrompts)
}

// culprits returns the part to quarantine next or, of whole requests, all that were in
// progress at as many crashes.
func (q *PromptQuarantine) culprits(now time.Duration) []uint64 {
	evidence := map[uint64]*partEvidence{}
	for _, c := range q.crashes {
		if q.explained(c) {
			continue
		}
		for i := range c.prompts {
			for depth := range c.prompts[i].parts {
				addEvidence(evidence, depth, &c.prompts[i], c.at)
			}
		}
	}
	var best *partEvidence
	for _, e := range evidence {
		if q.quarantined[e.part] != nil || !e.enough(now) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(e.depth, best.depth), cmp.Compare(e.crashes, best.crashes), cmp.Compare(e.part, best.part)) > 0 {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	list := []uint64{best.part}
	for _, e := range evidence {
		if best.whole && e != best && e.whole && e.crashes == best.crashes && q.quarantined[e.part] == nil {
			list = append(list, e.part)
		}
	}
	return list
}

// addEvidence adds a crash under a prompt to the evidence against its part at depth.
func addEvidence(evidence map[uint64]*partEvidence, depth int, p *suspectPrompt, at time.Duration) {
	part := p.parts[depth]
	e := evidence[part]
	switch {
	case e == nil:
		e = &partEvidence{part: part, first: at, last: at, crashes: 1, prompts: map[uint64]bool{}, isLast: true, whole: p.whole}
		evidence[part] = e
	case p.whole || at-e.last >= crashSpacing:
		e.last = at
		e.crashes++
	}
	e.prompts[p.last()] = true
	e.isLast = e.isLast && depth == len(p.parts)-1
	e.depth = max(e.depth, depth)
}

// explained reports whether a quarantined part or whole request accounts for a crash.
// The last part of a prompt accounts for none: a prompt that crashes engines again and
// again may do so because of a part that others share.
func (q *PromptQuarantine) explained(c *engineCrash) bool {
	for _, p := range c.prompts {
		for i, part := range p.parts {
			if q.quarantined[part] != nil && (p.whole || i < len(p.parts)-1) {
				return true
			}
		}
	}
	return false
}

// expire drops what is too old.
func (q *PromptQuarantine) expire(now time.Duration) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c *engineCrash) bool { return now-c.at > crashEvidenceTTL })
	for part, endsAt := range q.sound {
		if endsAt <= now {
			delete(q.sound, part)
		}
	}
	for part, v := range q.quarantined {
		if v.EndsAt <= now {
			delete(q.quarantined, part)
		}
	}
}

// Suspects returns the parts that crashes count against, those of the latest crashes
// first.
func (q *PromptQuarantine) Suspects() []uint64 {
	var list []uint64
	seen := map[uint64]bool{}
	for _, c := range slices.Backward(q.crashes) {
		for _, p := range c.prompts {
			for _, part := range p.parts {
				if !seen[part] && len(list) < maxSuspectParts {
					seen[part] = true
					list = append(list, part)
				}
			}
		}
	}
	return list
}

// Quarantined returns the quarantined parts.
func (q *PromptQuarantine) Quarantined() []QuarantinedPart {
	list := make([]QuarantinedPart, 0, len(q.quarantined))
	for _, v := range q.quarantined {
		list = append(list, *v)
	}
	return list
}

// Sound returns the parts that count as sound.
func (q *PromptQuarantine) Sound() []SoundPart {
	list := make([]SoundPart, 0, len(q.sound))
	for part, endsAt := range q.sound {
		list = append(list, SoundPart{part, endsAt})
	}
	return list
}

// Crashes returns a copy of the evidence.
func (q *PromptQuarantine) Crashes() []CrashedPrompt {
	var list []CrashedPrompt
	for _, c := range q.crashes {
		for _, p := range c.prompts {
			list = append(list, CrashedPrompt{c.engine, c.at, slices.Clone(p.parts), p.whole})
		}
	}
	return list
}
