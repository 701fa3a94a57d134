package standin

import (
	"container/heap"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

// dropDecode frees an import or decode at once. The caller holds the lock.
func (e *engineState) dropDecode(j *job, why *refusal) {
	delete(e.decodes, j.key)
	e.freePieces(j)
	e.discard(j)
	j.fail(why)
	j.output.end()
	wake(e.decodeWork)
}

func (e *engineState) freePieces(j *job) {
	e.used -= j.pieces
	j.pieces = 0
}

// startDecode finds the job and starts decoding unless that was done before.
func (e *engineState) startDecode(req *upstream.DecodeRequest) (*job, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := jobKey{id: req.RequestID, attempt: req.Attempt}
	j, ok := e.decodes[key]
	if !ok {
		return nil, errUnknown
	}
	switch {
	case e.faults.take(FaultRefuse):
		return nil, notRun("refused by fault injection")
	case j.stage == stageImport:
		return nil, notRun("import is not complete")
	case req.MaxOutputTokens <= 0 || req.MaxOutputTokens > j.maxOutput:
		return nil, &refusal{status: http.StatusBadRequest, message: "max_output_tokens exceeds the reservation"}
	case req.Offset < 0 || req.Offset >= req.MaxOutputTokens:
		return nil, &refusal{status: http.StatusBadRequest, message: "offset is beyond the output"}
	case req.Offset < j.output.first:
		return nil, &refusal{status: http.StatusGone, message: "offset is no longer in the replay buffer"}
	}
	if j.stage == stageImported {
		j.enter(stageDecode)
		j.maxOutput = req.MaxOutputTokens
		e.counters.decodes.Add(1)
		heap.Push(&e.batchWait, e.batchWait.item(req.Priority, j))
		wake(e.decodeWork)
	}
	return j, nil
}

// decodeLoop produces one token for each request of the batch per step.
func (e *engineState) decodeLoop() {
	next := time.Now()
	for {
		n := e.formBatch()
		if n == 0 {
			select {
			case <-e.decodeWork:
				next = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		step := e.faults.scale(e.settings.StepTime(n))
		next = next.Add(step)
		if sleep(e.ctx, time.Until(next)) != nil {
			return
		}
		if time.Since(next) > step {
			next = time.Now()
		}
		e.step()
	}
}

// formBatch drops cancelled requests and fills the batch by priority.
func (e *engineState) formBatch() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.batch[:0]
	for _, j := range e.batch {
		if j.ctx.Err() == nil && j.stage == stageDecode {
			kept = append(kept, j)
		}
	}
	e.batch = kept
	for len(e.batch) < e.settings.MaxBatch && len(e.batchWait.items) > 0 {
		j := heap.Pop(&e.batchWait).(*queued[*job]).value
		if j.ctx.Err() == nil {
			e.batch = append(e.batch, j)
		}
	}
	return len(e.batch)
}

func (e *engineState) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.batch {
		if j.ctx.Err() != nil {
			continue
		}
		w := word(j.text)
		j.text = j.text.Add(w)
		j.computed = 0
		e.counters.tokens.Add(1)
		if j.output.add(w) == j.maxOutput {
			j.enter(stageFinished)
			e.freePieces(j)
			j.output.end()
			time.AfterFunc(e.settings.ReplayTTL, func() { e.forget(j) })
		}
	}
}

func (e *engineState) forget(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.decodes[j.key] == j {
		delete(e.decodes, j.key)
		j.cancel()
	}
}
