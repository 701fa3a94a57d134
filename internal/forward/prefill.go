package forward

import (
	"context"
	"net/http"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

const (
	// nominalPrefillRate, in tokens per second, is assumed for an engine until its
	// relative latency has been learned.
	nominalPrefillRate = 55000
	// An engine that takes prefillTimeoutFactor times the expected time, and at
	// least minPrefillTimeout, is considered failed.
	prefillTimeoutFactor = 5
	minPrefillTimeout    = 500 * time.Millisecond
	// handleExpiryMargin is how long before its expiry a handle is no longer
	// offered to a decode engine.
	handleExpiryMargin = 100 * time.Millisecond
	// freeTimeout limits the call that frees an unused handle.
	freeTimeout = 300 * time.Millisecond
	// maxPrefillAttempts limits the engines that are tried for one prompt.
	maxPrefillAttempts = 2
)

// prefilledPrompt is a prefill result that is held by a prefill engine.
type prefilledPrompt struct {
	engine  *target
	handle  Handle
	source  string
	expires time.Time
}

// runPrefill runs the prefill on a prefill engine, so that it does not slow the
// streams of the decode engine. It returns nil if no prefill engine succeeded; the
// decode engine then prefills the prompt itself, and its streams pause meanwhile.
// lastEventID is set for a stream that is resumed after this event.
func (x *exchange) runPrefill(p *placement, lastEventID string) *prefilledPrompt {
	if x.service.Engine == nil || p.work.PromptTokens == 0 {
		return nil
	}
	tried := map[*target]bool{}
	t := p.prefill
	if t != nil && (t.inBackoff(x.s.now()) || t.refusesWork(x.s.now())) {
		t = nil
	}
	filter := upstreamFilter{model: x.info.Model, weights: x.decodeWeights(p.decode)}
	if t == nil && p.prefill != nil || t != nil && !filter.likely(t, x.s.now()) {
		t = x.pickPrefill(p.decode, x.lostHandleEngines, p.reservation == nil)
	}
	for len(tried) < maxPrefillAttempts {
		if t == nil || tried[t] || x.callerGone() || x.wentOn() {
			return nil
		}
		// Each call is charged before it is made. Without a charge the decode engine
		// prefills the prompt.
		ch, ok := x.chargePrefill(p)
		if !ok {
			return nil
		}
		tried[t] = true
		if prompt := x.promptFor(p.decode, x.prefillAt(t, p, lastEventID, &ch)); prompt != nil {
			return prompt
		}
		if !x.canPayRun(p) {
			return nil
		}
		t = x.pickPrefill(p.decode, tried, p.reservation == nil)
	}
	return nil
}

// prefillAt runs the prefill on one engine, paid for by ch. It returns nil if that fails.
func (x *exchange) prefillAt(t *target, p *placement, lastEventID string, ch *charge) *prefilledPrompt {
	work := p.work
	t.mu.Lock()
	queued := t.load.Requests(x.s.now())
	relativeLatency := t.load.RelativeLatency()
	t.load.Begin(work)
	t.mu.Unlock()
	defer t.endRequest(work)
	nominal := time.Duration(float64(work.PromptTokens) / nominalPrefillRate * float64(time.Second))
	expected := time.Duration(float64(nominal) * relativeLatency * (1 + queued))
	start := time.Now()
	sends := x.sends
	x.s.vars.prefills.Add(1)
	opts := x.prefillOptions(lastEventID)
	res, err := x.send(t, opts, ch, min(x.remaining(), max(minPrefillTimeout, prefillTimeoutFactor*expected)), giveUpSilent)
	x.sends = sends
	if err != nil {
		if x.handleSendError(t, err) == sendOutcomeUnknown {
			x.wastePrefill(policy.PrefillFacts{EngineLost: !x.wentOn()})
		}
		x.sends = sends
		return nil
	}
	if x.checkStatement(t, res) != 0 {
		ch.spend()
		if x.reason == reasonOtherWeights {
			return nil
		}
		x.s.recordPrefillRejection(x.service.Name)
		x.prefillRejected = true
		if l := res.info.Load; l != nil && l.Running+l.Waiting < l.Slots && t.currentRecord().Stage == pb.EngineStage_ENGINE_STAGE_PREFILL {
			t.recordFailure(x.s.now(), policy.FaultUnavailable)
			if t == p.prefill {
				p.reportProgress(StagePrefillRejected, 0, nil)
			}
		}
		return nil
	}
	_ = res.conn.SetDeadline(time.Now().Add(minPrefillTimeout))
	body, err := readBody(res.resp, maxBufferedBytes)
	res.close(err == nil)
	switch {
	case err != nil:
		ch.spend()
		x.wastePrefill(policy.PrefillFacts{EngineLost: true})
		if x.cancelled() {
			return nil
		}
		if err = res.conn.pathError(t, err); pathFailed(err) {
			x.reason = pathReason(err)
			return nil
		}
		x.recordBroken(t)
		x.reason = "prefill_failed"
		return nil
	case res.resp.StatusCode != http.StatusOK:
		ch.spend()
		t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "prefill_failed"
		return nil
	}
	handle, err := x.s.opts.Protocol.ParseHandle(body)
	if err != nil {
		ch.spend()
		t.recordFailure(x.s.now(), policy.FaultError)
		x.reason = "prefill_undecodable"
		return nil
	}
	t.recordSuccess(x.s.now())
	t.noteStatedWeights(x.info.Model, handle.Weights, x.s.now())
	ch.accept()
	took := time.Since(start)
	t.mu.Lock()
	t.load.RecordLatency(float64(took) / (float64(nominal+prefillOverhead) * (1 + queued)))
	t.mu.Unlock()
	return &prefilledPrompt{
		engine: t, handle: handle, source: x.s.opts.Protocol.HandleSource(t.address, handle),
		expires: time.Now().Add(x.service.Engine.HandleTTL - handleExpiryMargin),
	}
}

// prefillOverhead is the part of a prefill call's duration that does not depend on
// the length of the prompt.
const prefillOverhead = 10 * time.Millisecond

// freeHandle frees, in the background, the engine memory of a handle that no engine
// has fetched. prompt may be nil. An engine that states a limit, leaves or pauses gets no
// such request; the handle expires by itself.
func (x *exchange) freeHandle(prompt *prefilledPrompt) {
	if prompt == nil || prompt.engine.limited() || prompt.engine.refusesWork(x.s.now()) {
		return
	}
	t := prompt.engine
	path, header := x.s.opts.Protocol.HandlePath(prompt.handle), x.freeHeader(t)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		c, err := t.connect(ctx, freeCharge(), "")
		if err != nil {
			// The handle expires anyway.
			return
		}
		defer c.Close()
		t.countSend(x.s.now())
		_ = c.SetDeadline(time.Now().Add(freeTimeout))
		if err := c.writeRequest(&outboundRequest{method: http.MethodDelete, uri: path, host: t.address, header: header}); err != nil {
			return
		}
		// Wait for the response before closing the connection; its content does
		// not matter.
		_, _ = c.rd.Peek(1)
	}()
}
