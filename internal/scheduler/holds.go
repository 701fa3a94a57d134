package scheduler

import (
	"slices"
	"strconv"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

// hold is one reservation of decode memory, a prefill slot and a link share.
type hold struct {
	id        string
	requestID string
	model     string
	entry     *entryRecord
	prefill   *member
	decode    *member
	// hashes of the prompt's prefix until the prefill has finished.
	hashes  []uint64
	granted time.Duration
	expires time.Duration
	// startBy is when the entry must have reported the start of the prefill.
	startBy time.Duration
	firstAt time.Duration
	// service is the forecast time to the first token on idle engines; 0 for
	// a restated hold.
	service   time.Duration
	linkBytes float64
	attempt   uint32
	pieces    int32
	// promptPieces of memory on the prefill engine until the transfer is done.
	promptPieces int32
	promptTokens int32
	maxOutput    int32
	// uncached prompt tokens, the work of the prefill.
	uncached int32
	stage    pb.ProgressRequest_Stage
	class    policy.Class
	// promised: the memory is that of holds forecast to end.
	promised bool
	// prefilling and linked: the prefill slot or the link share is reserved.
	prefilling bool
	linked     bool
	// direct: the decode engine reads the prompt. rereads: it reads what an
	// earlier answer made. reading, until its first token.
	direct  bool
	rereads bool
	reading bool
	// ending: the hold is dropped once the engines in pending have confirmed
	// the cancellation.
	ending  bool
	pending engineSide
	retryAt time.Duration
}

// newHoldID returns a hold id, which names the pool so that Progress and
// Release find it.
func (p *Pool) newHoldID() string {
	p.holds.sequence++
	return p.holdPrefix() + strconv.FormatUint(p.holds.sequence, 10)
}

// holdPrefix begins the ids of the holds granted under the present lease.
func (p *Pool) holdPrefix() string {
	return p.name + holdSeparator + strconv.FormatUint(p.token, 10) + "-"
}

// holdSeparator ends the pool's name in a hold id.
const holdSeparator = "#"

// add reserves everything that h needs.
func (p *Pool) addHold(h *hold, now time.Duration) {
	p.holds.byID[h.id] = h
	h.entry.holds[h.id] = h
	p.holds.byDecode[h.decode] = append(p.holds.byDecode[h.decode], h)
	dec := &h.decode.view
	if h.promised {
		dec.PromisedPieces += int(h.pieces)
		dec.PromisedBatch++
	} else {
		p.holds.pieces += int(h.pieces)
		dec.HeldPieces += int(h.pieces)
		dec.Batch++
		h.decode.held.add(now, dec.HeldPieces, dec.Batch)
	}
	if h.direct || h.rereads {
		h.reading = true
		dec.LocalPrefills++
	}
	if h.prefilling {
		pre := &h.prefill.view
		pre.Batch++
		pre.BacklogTokens += int(h.uncached)
		if h.class == policy.Urgent {
			pre.UrgentTokens += int(h.uncached)
		}
	}
	if h.linked {
		h.prefill.view.HeldPieces += int(h.promptPieces)
		h.prefill.view.LinkBytes += h.linkBytes
		dec.LinkBytes += h.linkBytes
	}
}

// closePrefill frees the prefill slot.
func (h *hold) closePrefill() {
	if !h.prefilling {
		return
	}
	h.prefilling = false
	pre := &h.prefill.view
	pre.Batch--
	pre.BacklogTokens -= int(h.uncached)
	if h.class == policy.Urgent {
		pre.UrgentTokens -= int(h.uncached)
	}
}

// closeRead ends a direct read. The answers on the engine go on alone for a
// while.
func (h *hold) closeRead(now time.Duration) {
	if !h.reading {
		return
	}
	h.reading = false
	h.decode.view.LocalPrefills--
	h.decode.view.NextLocalPrefill = now + policy.LocalPrefillCooldown
}

// closeLink frees the link share and the memory on the prefill engine.
func (h *hold) closeLink() {
	if !h.linked {
		return
	}
	h.linked = false
	h.prefill.view.HeldPieces -= int(h.promptPieces)
	h.prefill.view.LinkBytes -= h.linkBytes
	h.decode.view.LinkBytes -= h.linkBytes
}

// dropHold frees everything that h reserves.
func (p *Pool) dropHold(h *hold, now time.Duration) {
	if p.holds.byID[h.id] != h {
		return
	}
	h.closePrefill()
	h.closeRead(now)
	h.closeLink()
	delete(p.holds.byID, h.id)
	delete(h.entry.holds, h.id)
	p.forgetEntry(h.entry)
	list := p.holds.byDecode[h.decode]
	if i := slices.Index(list, h); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(p.holds.byDecode, h.decode)
	} else {
		p.holds.byDecode[h.decode] = list
	}
	dec := &h.decode.view
	if h.promised {
		dec.PromisedPieces -= int(h.pieces)
		dec.PromisedBatch--
	} else {
		p.holds.pieces -= int(h.pieces)
		dec.HeldPieces -= int(h.pieces)
		dec.Batch--
		h.decode.held.add(now, dec.HeldPieces, dec.Batch)
		p.holds.freed.Add(now, float64(h.pieces))
	}
	p.activatePromises(h.decode, now)
	p.unblock()
}

// activatePromises turns promised holds into held ones, in the order of their
// grants, as far as memory has become free.
func (p *Pool) activatePromises(m *member, now time.Duration) {
	v := &m.view
	if v.PromisedBatch == 0 || p.restating(now) {
		return
	}
	for _, h := range p.holds.byDecode[m] {
		if !h.promised {
			continue
		}
		if v.TotalPieces-v.HeldPieces-v.ForeignPieces < int(h.pieces) || v.Batch+v.ForeignBatch >= v.MaxBatch {
			return
		}
		h.promised = false
		v.PromisedPieces -= int(h.pieces)
		v.PromisedBatch--
		p.holds.pieces += int(h.pieces)
		v.HeldPieces += int(h.pieces)
		v.Batch++
		m.held.add(now, v.HeldPieces, v.Batch)
	}
}

// engineSide names the engines of a hold.
type engineSide uint8

const (
	prefillSide engineSide = 1 << iota
	decodeSide
)

// cancelRetry is the time between attempts to cancel at an engine.
const cancelRetry = time.Second

// endHold cancels the hold's work at the engines. The hold keeps its memory
// reserved until both engines confirmed, so that nobody is granted memory that
// is still in use.
func (p *Pool) endHold(h *hold, reason string, now time.Duration) []Action {
	if h.ending {
		return nil
	}
	h.ending = true
	h.pending = prefillSide | decodeSide
	note := Note{Kind: "hold.cancelled", RequestID: h.requestID, Attempt: h.attempt, Upstream: h.decode.view.ID, Detail: reason}
	return append(p.cancelPending(h, now), note)
}

// cancelPending asks the engines that have not confirmed to cancel. An engine
// that restarted or was forgotten has nothing to cancel.
func (p *Pool) cancelPending(h *hold, now time.Duration) []Action {
	var out []Action
	h.retryAt = now + cancelRetry
	work := upstream.CancelRequest{RequestID: h.requestID, Attempt: h.attempt}
	for _, side := range []engineSide{prefillSide, decodeSide} {
		m := h.prefill
		if side == decodeSide {
			m = h.decode
		}
		if h.pending&side == 0 {
			continue
		}
		if p.upstreams.byID[m.view.ID] != m {
			h.pending &^= side
			continue
		}
		out = append(out, CancelWork{HoldID: h.id, Side: side, Engine: m.state, Work: work})
	}
	if h.pending == 0 {
		p.dropHold(h, now)
	}
	return out
}

// CancelDone reports that an engine confirmed a CancelWork action.
func (p *Pool) CancelDone(holdID string, side engineSide, now time.Duration) {
	defer p.lock(placementTables)()
	h := p.holds.byID[holdID]
	if h == nil || !h.ending {
		return
	}
	h.pending &^= side
	if h.pending == 0 {
		p.dropHold(h, now)
	}
}

func (p *Pool) entry(id string) *entryRecord {
	e := p.holds.entries[id]
	if e == nil {
		e = &entryRecord{id: id, holds: map[string]*hold{}}
		p.holds.entries[id] = e
	}
	return e
}

func (p *Pool) forgetEntry(e *entryRecord) {
	if len(e.holds) == 0 && p.holds.entries[e.id] == e {
		delete(p.holds.entries, e.id)
	}
}

// EntryGone records that an entry's session ended.
func (p *Pool) EntryGone(id string, now time.Duration) {
	defer p.lock(holdsTable)()
	if e := p.holds.entries[id]; e != nil && !e.gone {
		e.gone = true
		e.goneAt = now
	}
}

// EntrySeen records that an entry is connected.
func (p *Pool) EntrySeen(id string) {
	defer p.lock(holdsTable)()
	if e := p.holds.entries[id]; e != nil {
		e.gone = false
	}
}

// Progress records a stage of a hold and learns from its duration. It reports
// whether the hold is known.
func (p *Pool) Progress(r *pb.ProgressRequest, now time.Duration) bool {
	defer p.lock(placementTables)()
	h := p.holds.byID[r.HoldId]
	if h == nil {
		return false
	}
	h.entry.gone = false
	if r.Stage <= h.stage {
		return true
	}
	h.stage = r.Stage
	if r.Stage == pb.ProgressRequest_PREFILL_DONE {
		p.learnPrefill(h, r, now)
	}
	if r.Stage >= pb.ProgressRequest_PREFILL_DONE && h.prefilling {
		h.closePrefill()
		p.prefix.remember(h.prefill, h.hashes)
		h.hashes = nil
		p.unblock()
	}
	if r.Stage >= pb.ProgressRequest_TRANSFER_DONE && h.linked {
		h.closeLink()
		p.unblock()
	}
	if r.Stage >= pb.ProgressRequest_FIRST_TOKEN && h.reading {
		h.closeRead(now)
		p.unblock()
	}
	if r.Stage >= pb.ProgressRequest_FIRST_TOKEN && h.firstAt == 0 {
		if !h.direct {
			h.prefill.lostHandles = 0
		}
		p.stateLoad(h.decode, r.Load, now)
		h.firstAt = now
		if h.class == policy.Draft && h.service > 0 {
			p.holds.excess.Add(now - h.granted - h.service)
		}
	}
	return true
}

// holdTimeGain follows a change of the mean hold time within some tens of
// completions.
const holdTimeGain = 0.05

func (t *holdTable) learnTime(d time.Duration) {
	if t.holdTime == 0 {
		t.holdTime = d
		return
	}
	t.holdTime += time.Duration(holdTimeGain * float64(d-t.holdTime))
}

// freeRate returns the memory that becomes free a second, in pieces: what was
// freed lately, or by Little's law what is held over the mean time that it is
// held, whichever is more. The first is low after a quiet time.
func (t *holdTable) freeRate(now time.Duration) float64 {
	rate := t.freed.PerSecond(now)
	if t.holdTime > 0 {
		rate = max(rate, float64(t.pieces)/t.holdTime.Seconds())
	}
	return rate
}

// learnPrefill learns a prefill engine's speed. The reported duration includes
// the wait behind earlier prefills; the time since the last one finished
// bounds the time spent on this one.
func (p *Pool) learnPrefill(h *hold, r *pb.ProgressRequest, now time.Duration) {
	m := h.prefill
	took := time.Duration(r.DurationUs) * time.Microsecond
	if m.prefilledAt > 0 {
		took = min(took, now-m.prefilledAt)
	}
	m.prefilledAt = now
	m.eject.Succeeded()
	m.speed.Prefilled(int(h.uncached), took)
	p.holds.mix.read(float64(h.uncached) / m.speed.PrefillRate)
	p.speedLearned(m, now)
}

// Release frees a hold. It reports whether the hold was known.
func (p *Pool) Release(r *pb.ReleaseRequest, now time.Duration) bool {
	defer p.lock(placementTables)()
	h := p.holds.byID[r.HoldId]
	if h == nil {
		return false
	}
	p.learnRelease(h, r, now)
	p.dropHold(h, now)
	return true
}

// unreachablePause is how long an engine that an entry could not connect to gets
// no requests. One attempt after it finds an engine that is back; until then
// each request that is sent there loses a connection timeout.
const unreachablePause = 1500 * time.Millisecond

// fullPause is how long an engine that rejected a granted request gets no other:
// about the time in which one of its answers ends.
const fullPause = 200 * time.Millisecond

const (
	// lostHandleLimit is the number of lost handles in a row after which a
	// prefill engine rests, and lostHandlePause for how long.
	lostHandleLimit = 2
	lostHandlePause = 2 * time.Second
)

// handleLost counts a prompt that was read in vain.
func (p *Pool) handleLost(m *member, now time.Duration) {
	m.lostHandles++
	if m.lostHandles < lostHandleLimit {
		return
	}
	m.fullUntil = now + lostHandlePause
	p.upstreams.refresh(m, &p.params, now)
}

func (p *Pool) learnRelease(h *hold, r *pb.ReleaseRequest, now time.Duration) {
	switch r.Outcome {
	case pb.ReleaseRequest_COMPLETED:
		p.holds.learnTime(now - h.granted)
		p.holds.mix.completed((now - h.granted).Seconds(), h)
		h.decode.eject.Succeeded()
		perToken := time.Duration(r.TpotUs) * time.Microsecond
		h.decode.speed.Decoded(int(r.OutputTokens), perToken, h.decode.view.Batch, h.decode.view.MaxBatch)
		p.speedLearned(h.decode, now)
	case pb.ReleaseRequest_PREFILL_FAILED:
		if h.prefill.eject.Failed() {
			p.eject(h.prefill, now)
		}
	case pb.ReleaseRequest_REJECTED:
		h.decode.fullUntil = now + fullPause
		p.stateLoad(h.decode, r.Load, now)
		p.upstreams.refresh(h.decode, &p.params, now)
	case pb.ReleaseRequest_UNREACHABLE:
		h.decode.fullUntil = now + unreachablePause
		p.upstreams.refresh(h.decode, &p.params, now)
	case pb.ReleaseRequest_TRANSFER_FAILED:
		p.handleLost(h.prefill, now)
	case pb.ReleaseRequest_DECODE_FAILED:
		if h.decode.eject.Failed() {
			p.eject(h.decode, now)
		}
	}
}
