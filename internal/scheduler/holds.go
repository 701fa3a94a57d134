package scheduler

import (
	"slices"
	"strconv"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/policy"
)

// hold is one reservation of decode memory, a prefill slot and a share of the
// link between the two engines.
type hold struct {
	id        string
	requestID string
	model     string
	entry     *entryRecord
	prefill   *upstreamRecord
	decode    *upstreamRecord
	// prefixHashes of the prompt, kept until the prefill has finished.
	prefixHashes []uint64
	grantedAt    time.Duration
	expiresAt    time.Duration
	// startDeadline is when the entry must have reported a first stage.
	startDeadline time.Duration
	firstTokenAt  time.Duration
	// idleTTFT is the forecast TTFT on idle engines; 0 for a restored hold.
	idleTTFT  time.Duration
	linkBytes float64
	attempt   uint32
	// heldRetries is what the attempt has set aside in the retry budget until its requests
	// have reached the engines.
	heldRetries int
	pieces      int32
	// promptPieces are reserved on the prefill engine until the transfer is
	// done.
	promptPieces int32
	promptTokens int32
	// outputTokens is the maximum output, or with OnDemandMemory the expected
	// one.
	outputTokens int32
	// prefillTokens are the prompt tokens that are not cached, the work of the
	// prefill.
	prefillTokens int32
	stage         pb.ProgressRequest_Stage
	class         policy.Class
	// promised: the memory is not free yet; other holds are forecast to release
	// it.
	promised bool
	// prefillReserved: the prefill slot is reserved. linkReserved: the link
	// share and the memory on the prefill engine are reserved.
	prefillReserved bool
	linkReserved    bool
	// localPrefill: the decode engine prefills the prompt. regeneratedTokens: it
	// prefills those that an earlier attempt generated, if there are enough to
	// matter.
	// localPrefillActive: it does either and has not reached the first token.
	localPrefill       bool
	regeneratedTokens  int32
	localPrefillActive bool
	// cancelling: the hold is dropped once the engines in unconfirmed have
	// confirmed the cancellation.
	cancelling    bool
	unconfirmed   engineRoles
	cancelRetryAt time.Duration
}

// newHoldID returns a hold id. It contains the pool's name, by which Progress
// and Release find the pool.
func (p *Pool) newHoldID() string {
	p.holds.sequence++
	return p.holdIDPrefix() + strconv.FormatUint(p.holds.sequence, 10)
}

// holdIDPrefix returns the common prefix of the ids of holds granted under the
// current lease.
func (p *Pool) holdIDPrefix() string {
	return p.name + tokenSeparator + strconv.FormatUint(p.fencingToken, 10) + "-"
}

// tokenSeparator separates the pool's name from the fencing token in hold ids
// and lease names.
const tokenSeparator = "#"

// addHold reserves everything that h needs.
func (p *Pool) addHold(h *hold, now time.Duration) {
	p.holds.byID[h.id] = h
	h.entry.holds[h.id] = h
	p.holds.byDecode[h.decode] = append(p.holds.byDecode[h.decode], h)
	dec := &h.decode.view
	if h.promised {
		dec.PromisedPieces += int(h.pieces)
		dec.PromisedBatch++
	} else {
		p.holds.heldPieces += int(h.pieces)
		dec.HeldPieces += int(h.pieces)
		dec.Batch++
		h.decode.held.add(now, dec.HeldPieces, dec.Batch)
	}
	switch {
	case h.localPrefill && policy.IsShortPrompt(int(h.promptTokens)):
		h.localPrefillActive = true
		dec.ShortPromptTokens += int(h.promptTokens)
	case h.localPrefill:
		h.localPrefillActive = true
		dec.LocalPrefills++
	case h.regeneratedTokens > 0:
		h.localPrefillActive = true
		dec.GeneratedTokens += int(h.regeneratedTokens)
	}
	if h.prefillReserved {
		pre := &h.prefill.view
		pre.Batch++
		pre.BacklogTokens += int(h.prefillTokens)
		if h.class == policy.Urgent {
			pre.UrgentTokens += int(h.prefillTokens)
		}
	}
	if h.linkReserved {
		h.prefill.view.HeldPieces += int(h.promptPieces)
		h.prefill.view.LinkBytes += h.linkBytes
		dec.LinkBytes += h.linkBytes
	}
}

// releasePrefill releases the prefill slot.
func (h *hold) releasePrefill() {
	if !h.prefillReserved {
		return
	}
	h.prefillReserved = false
	pre := &h.prefill.view
	pre.Batch--
	pre.BacklogTokens -= int(h.prefillTokens)
	if h.class == policy.Urgent {
		pre.UrgentTokens -= int(h.prefillTokens)
	}
}

// endLocalPrefill ends a local prefill. The engine gets no other one for a cooldown, in
// which it only decodes, unless the prompt was short.
func (h *hold) endLocalPrefill(now time.Duration) {
	if !h.localPrefillActive {
		return
	}
	h.localPrefillActive = false
	switch {
	case h.localPrefill && policy.IsShortPrompt(int(h.promptTokens)):
		h.decode.view.ShortPromptTokens -= int(h.promptTokens)
		return
	case h.localPrefill:
		h.decode.view.LocalPrefills--
	default:
		h.decode.view.GeneratedTokens -= int(h.regeneratedTokens)
	}
	h.decode.view.NextLocalPrefill = now + policy.LocalPrefillCooldown
}

// releaseLink releases the link share and the memory on the prefill engine.
func (h *hold) releaseLink() {
	if !h.linkReserved {
		return
	}
	h.linkReserved = false
	h.prefill.view.HeldPieces -= int(h.promptPieces)
	h.prefill.view.LinkBytes -= h.linkBytes
	h.decode.view.LinkBytes -= h.linkBytes
}

// dropHold releases everything that h reserves.
func (p *Pool) dropHold(h *hold, now time.Duration) {
	if p.holds.byID[h.id] != h {
		return
	}
	h.releasePrefill()
	h.endLocalPrefill(now)
	h.releaseLink()
	p.spendRetries(h, now)
	delete(p.holds.byID, h.id)
	delete(h.entry.holds, h.id)
	p.pruneEntry(h.entry)
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
		p.holds.heldPieces -= int(h.pieces)
		dec.HeldPieces -= int(h.pieces)
		dec.Batch--
		h.decode.held.add(now, dec.HeldPieces, dec.Batch)
		p.holds.freedPieces.Add(now, float64(h.pieces))
	}
	p.activatePromised(h.decode, now)
	p.unblockQueue()
}

// activatePromised turns promised holds on an engine into active ones, in the
// order of their grants, as far as memory and slots have become free.
func (p *Pool) activatePromised(m *upstreamRecord, now time.Duration) {
	v := &m.view
	if v.PromisedBatch == 0 || p.inRestateWindow(now) {
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
		p.holds.heldPieces += int(h.pieces)
		v.HeldPieces += int(h.pieces)
		v.Batch++
		m.held.add(now, v.HeldPieces, v.Batch)
	}
}

// engineRoles is a set of the engines of a hold, by their role.
type engineRoles uint8

const (
	prefillRole engineRoles = 1 << iota
	decodeRole
)

// cancelRetryInterval is the time between attempts to cancel a request at an
// engine.
const cancelRetryInterval = time.Second

// cancelHold cancels the hold's request at its engines. Its memory stays
// reserved until both have confirmed, because until then it may be in use.
func (p *Pool) cancelHold(h *hold, reason string, now time.Duration) []Action {
	if h.cancelling {
		return nil
	}
	h.cancelling = true
	h.unconfirmed = prefillRole | decodeRole
	event := TimelineEvent{Kind: "hold.cancelled", RequestID: h.requestID, Attempt: h.attempt, Upstream: h.decode.view.ID, Detail: reason}
	return append(p.cancelPending(h, now), event)
}

// cancelPending sends the cancellation to the engines that have not confirmed
// it. An engine that restarted or was forgotten has nothing to cancel.
func (p *Pool) cancelPending(h *hold, now time.Duration) []Action {
	var out []Action
	h.cancelRetryAt = now + cancelRetryInterval
	work := upstream.CancelRequest{RequestID: h.requestID, Attempt: h.attempt}
	for _, role := range []engineRoles{prefillRole, decodeRole} {
		m := h.prefill
		if role == decodeRole {
			m = h.decode
		}
		if h.unconfirmed&role == 0 {
			continue
		}
		if p.upstreams.byID[m.view.ID] != m {
			h.unconfirmed &^= role
			continue
		}
		out = append(out, CancelWork{HoldID: h.id, Role: role, Engine: m.state, Work: work})
	}
	if h.unconfirmed == 0 {
		p.dropHold(h, now)
	}
	return out
}

// CancelDone reports that an engine confirmed a CancelWork action.
func (p *Pool) CancelDone(holdID string, role engineRoles, now time.Duration) {
	defer p.lock(placementBits)()
	h := p.holds.byID[holdID]
	if h == nil || !h.cancelling {
		return
	}
	h.unconfirmed &^= role
	if h.unconfirmed == 0 {
		p.dropHold(h, now)
	}
}

func (p *Pool) getOrCreateEntry(id string) *entryRecord {
	e := p.holds.entries[id]
	if e == nil {
		e = &entryRecord{id: id, holds: map[string]*hold{}}
		p.holds.entries[id] = e
	}
	return e
}

func (p *Pool) pruneEntry(e *entryRecord) {
	if len(e.holds) == 0 && p.holds.entries[e.id] == e {
		delete(p.holds.entries, e.id)
	}
}

// EntryDisconnected records that an entry's session ended.
func (p *Pool) EntryDisconnected(id string, now time.Duration) {
	defer p.lock(holdsBit)()
	if e := p.holds.entries[id]; e != nil && !e.disconnected {
		e.disconnected = true
		e.disconnectedAt = now
	}
}

// EntryConnected records that an entry is connected.
func (p *Pool) EntryConnected(id string) {
	defer p.lock(holdsBit)()
	if e := p.holds.entries[id]; e != nil {
		e.disconnected = false
	}
}

// Progress records that a hold reached a stage and learns from the reported
// duration. It reports whether the hold is known.
func (p *Pool) Progress(r *pb.ProgressRequest, now time.Duration) bool {
	defer p.lock(placementBits)()
	h := p.holds.byID[r.HoldId]
	if h == nil {
		return false
	}
	h.entry.disconnected = false
	if r.PrefillRejected && !h.localPrefill && h.prefill.prefills() {
		h.prefill.rejections.Rejected(now)
		p.upstreams.refresh(h.prefill, &p.params, now)
	}
	if r.Stage <= h.stage {
		return true
	}
	prefilled := h.stage == pb.ProgressRequest_PREFILL_DONE || h.stage == pb.ProgressRequest_TRANSFER_DONE
	h.stage = r.Stage
	if r.Stage == pb.ProgressRequest_PREFILL_DONE {
		p.learnPrefill(h, r, now)
		if h.prefill.rejections.Accepted(now) {
			p.upstreams.refresh(h.prefill, &p.params, now)
		}
	}
	if r.Stage >= pb.ProgressRequest_PREFILL_DONE && h.prefillReserved {
		h.releasePrefill()
		p.prefix.insertAll(h.prefill, h.prefixHashes)
		h.prefixHashes = nil
		p.unblockQueue()
	}
	if r.Stage >= pb.ProgressRequest_TRANSFER_DONE && h.linkReserved {
		h.releaseLink()
		p.unblockQueue()
	}
	if r.Stage >= pb.ProgressRequest_FIRST_TOKEN && h.localPrefillActive {
		h.endLocalPrefill(now)
		p.unblockQueue()
	}
	if r.Stage >= pb.ProgressRequest_FIRST_TOKEN {
		p.spendRetries(h, now)
	}
	if r.Stage >= pb.ProgressRequest_FIRST_TOKEN && h.firstTokenAt == 0 {
		// Without a prefill here, the request has used the result of another engine.
		if prefilled && !h.localPrefill && h.prefill.lostHandles.Fetched(now) {
			p.upstreams.refresh(h.prefill, &p.params, now)
			p.unblockQueue()
		}
		p.applyReportedLoad(h.decode, r.Load, now)
		h.firstTokenAt = now
		if h.class == policy.Draft && h.idleTTFT > 0 {
			p.holds.ttftExcess.Add(now - h.grantedAt - h.idleTTFT)
		}
	}
	return true
}

// holdTimeGain is the weight of a new sample in the mean hold time, which
// adapts to a change within some tens of completions.
const holdTimeGain = 0.05

func (t *holdTable) learnHoldTime(d time.Duration) {
	if t.meanHoldTime == 0 {
		t.meanHoldTime = d
		return
	}
	t.meanHoldTime += time.Duration(holdTimeGain * float64(d-t.meanHoldTime))
}

// releaseRate returns how many pieces become free a second. It is the larger of
// two estimates: the pieces released recently, and the pieces held divided by
// the mean hold time (Little's law). The first is too low after a period
// without load.
func (t *holdTable) releaseRate(now time.Duration) float64 {
	rate := t.freedPieces.PerSecond(now)
	if t.meanHoldTime > 0 {
		rate = max(rate, float64(t.heldPieces)/t.meanHoldTime.Seconds())
	}
	return rate
}

// learnPrefill updates the learned speed of a prefill engine. The reported
// duration includes the wait behind earlier prefills, so it is bounded by the
// time since the previous prefill finished.
func (p *Pool) learnPrefill(h *hold, r *pb.ProgressRequest, now time.Duration) {
	m := h.prefill
	duration := time.Duration(r.DurationUs) * time.Microsecond
	if m.lastPrefillAt > 0 {
		duration = min(duration, now-m.lastPrefillAt)
	}
	m.lastPrefillAt = now
	m.eject.RecordSuccess()
	m.speed.Prefilled(int(h.prefillTokens), duration)
	p.holds.workload.addPrefill(float64(h.prefillTokens) / m.speed.PrefillRate)
	p.applyLearnedSpeed(m, now)
}

// Release drops a hold. It reports whether the hold was known.
func (p *Pool) Release(r *pb.ReleaseRequest, now time.Duration) bool {
	defer p.lock(placementBits)()
	h := p.holds.byID[r.HoldId]
	if h == nil {
		return false
	}
	p.learnRelease(h, r, now)
	p.dropHold(h, now)
	return true
}

// unreachableBackoff is how long an engine that an entry could not connect to
// gets no requests, because each would lose a connection timeout. The first
// request after it finds out whether the engine is back.
const unreachableBackoff = 1500 * time.Millisecond

// rejectedBackoff is how long an engine that rejected a granted request gets no
// other one: about the time in which one of its running requests ends.
const rejectedBackoff = 200 * time.Millisecond

func (p *Pool) learnRelease(h *hold, r *pb.ReleaseRequest, now time.Duration) {
	switch r.Outcome {
	case pb.ReleaseRequest_COMPLETED:
		p.holds.learnHoldTime(now - h.grantedAt)
		p.holds.workload.addCompleted((now - h.grantedAt).Seconds(), h)
		p.holds.outputs.Completed(int(h.outputTokens), int(r.OutputTokens))
		h.decode.eject.RecordSuccess()
		perToken := time.Duration(r.TpotUs) * time.Microsecond
		h.decode.speed.Decoded(int(r.OutputTokens), perToken, h.decode.view.Batch, h.decode.view.MaxBatch)
		p.applyLearnedSpeed(h.decode, now)
	case pb.ReleaseRequest_PREFILL_FAILED:
		if h.prefill.eject.RecordFailure() {
			p.eject(h.prefill, now)
		}
	case pb.ReleaseRequest_REJECTED:
		h.decode.backoffUntil = now + rejectedBackoff
		p.applyReportedLoad(h.decode, r.Load, now)
		p.upstreams.refresh(h.decode, &p.params, now)
	case pb.ReleaseRequest_UNREACHABLE:
		h.decode.backoffUntil = now + unreachableBackoff
		p.upstreams.refresh(h.decode, &p.params, now)
	case pb.ReleaseRequest_TRANSFER_FAILED:
		if h.prefill.prefills() && h.prefill.lostHandles.Lost(now) {
			p.upstreams.refresh(h.prefill, &p.params, now)
		}
	case pb.ReleaseRequest_DECODE_FAILED:
		if h.decode.eject.RecordFailure() {
			p.eject(h.decode, now)
		}
	}
}
