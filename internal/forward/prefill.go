package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"godwitward.example/godwitward/policy"
)

const (
	// prefillRate is the reading speed in tokens a second that is assumed of an
	// engine until its own is learned.
	prefillRate = 55000
	// prefillFactor and minPrefill bound the wait for one prompt: an engine
	// that takes that much longer than expected has failed.
	prefillFactor = 5
	minPrefill    = 500 * time.Millisecond
	// handleMargin is how long before the end of its life a handle is no longer
	// offered to a decode engine.
	handleMargin = 100 * time.Millisecond
	// freeTimeout bounds the call that frees an unused handle.
	freeTimeout = 300 * time.Millisecond
	// maxPrefills bounds the engines that are asked to read one prompt.
	maxPrefills = 2
)

// readPrompt is a prompt that a prefill engine has read and holds.
type readPrompt struct {
	engine *target
	handle Handle
	source string
	until  time.Time
}

// readPrompt has the prompt read by a prefill engine, so that reading it does
// not slow the answers of a decode engine. It returns nil when no engine read
// it; the decode engine then reads it itself, and its answers pause meanwhile.
// lastEvent is set for a stream that goes on behind that event.
func (x *exchange) readPrompt(p *placement, lastEvent string) *readPrompt {
	if x.service.Engine == nil || p.work.PromptTokens == 0 {
		return nil
	}
	tried := map[*target]bool{}
	t := p.prefill
	if t != nil && t.resting(x.s.now()) {
		t = x.pickPrefill(x.lostHandles)
	}
	for len(tried) < maxPrefills {
		if t == nil || tried[t] || x.left() {
			return nil
		}
		// The first call that an engine accepts is free of charge. Whether it
		// is accepted shows later, so one repeat is kept for it.
		if len(tried) > 0 && x.s.budget(x.service.Name).left(x.s.now()) < 2 {
			return nil
		}
		tried[t] = true
		if read := x.readAt(t, p.work, lastEvent); read != nil {
			return read
		}
		x.s.budget(x.service.Name).spend(x.s.now())
		t = x.pickPrefill(tried)
	}
	return nil
}

// readAt asks one engine to read the prompt.
func (x *exchange) readAt(t *target, work policy.Work, lastEvent string) *readPrompt {
	t.mu.Lock()
	ahead := t.load.Requests(x.s.now())
	pace := t.load.RelativeLatency()
	t.load.Begin(work)
	t.mu.Unlock()
	defer t.unuse(work)
	usual := time.Duration(float64(work.PromptTokens) / prefillRate * float64(time.Second))
	expected := time.Duration(float64(usual) * pace * (1 + ahead))
	began := time.Now()
	sends := x.sends
	x.s.vars.prefills.Add(1)
	a, err := x.send(t, &SendOptions{Priority: -1, Prefill: true, LastEvent: lastEvent}, min(x.remaining(), max(minPrefill, prefillFactor*expected)))
	x.sends = sends
	if err != nil {
		x.sendFailed(t, err)
		x.sends = sends
		return nil
	}
	if x.notRun(t, a) != 0 {
		if l := a.answer.Load; l != nil && l.Running+l.Waiting < l.Slots {
			t.failed(x.s.now(), policy.FaultUnavailable)
		}
		return nil
	}
	_ = a.c.SetDeadline(time.Now().Add(minPrefill))
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBuffered))
	a.close(err == nil)
	if err != nil || a.resp.StatusCode != http.StatusOK {
		t.failed(x.s.now(), policy.FaultError)
		x.reason = "prefill_failed"
		return nil
	}
	handle, err := x.s.opts.Protocol.ParseHandle(body)
	if err != nil {
		t.failed(x.s.now(), policy.FaultError)
		x.reason = "prefill_undecodable"
		return nil
	}
	t.succeeded(x.s.now())
	took := time.Since(began)
	t.mu.Lock()
	t.load.Learn(float64(took) / (float64(usual+fixedPrefill) * (1 + ahead)))
	t.mu.Unlock()
	return &readPrompt{
		engine: t, handle: handle, source: x.s.opts.Protocol.Source(t.address, handle),
		until: time.Now().Add(x.service.Engine.HandleTTL - handleMargin),
	}
}

// fixedPrefill is the time of a prefill call besides reading.
const fixedPrefill = 10 * time.Millisecond

// stillHeld returns the prompt if another engine may still fetch it.
func (x *exchange) stillHeld(r *readPrompt) *readPrompt {
	if r == nil || time.Now().After(r.until) {
		return nil
	}
	return r
}

// free frees a handle that no engine fetched, so that its memory serves others.
func (x *exchange) free(r *readPrompt) {
	if r == nil {
		return
	}
	t := r.engine
	path := x.s.opts.Protocol.FreePath(r.handle)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		c, err := t.connect(ctx, false)
		if err != nil {
			// The handle lapses by itself.
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(freeTimeout))
		if err := c.write(&outgoing{method: http.MethodDelete, uri: path, host: t.address, header: http.Header{}}); err != nil {
			return
		}
		// The answer tells nothing that matters now.
		_, _ = c.rd.Peek(1)
	}()
}
