package standin

import (
	"container/heap"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

// dropDecode ends an import or decode and frees its memory at once. The caller
// holds the lock.
func (e *engineState) dropDecode(j *job, cause *errorResponse) {
	delete(e.decodes, j.key)
	e.freePieces(j)
	e.countDiscarded(j)
	j.fail(cause)
	j.output.close()
	wake(e.decodeWork)
}

func (e *engineState) freePieces(j *job) {
	e.usedPieces -= j.pieces
	j.pieces = 0
}

// startDecode finds the imported job and starts decoding, unless it is already
// decoding or finished.
func (e *engineState) startDecode(req *upstream.DecodeRequest) (*job, *errorResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := jobKey{id: req.RequestID, attempt: req.Attempt}
	j, ok := e.decodes[key]
	if !ok {
		return nil, errUnknown
	}
	switch {
	case e.faults.consume(FaultRefuse):
		return nil, notRun("refused by fault injection")
	case j.stage == stageImport:
		return nil, notRun("import is not complete")
	case req.MaxOutputTokens <= 0 || req.MaxOutputTokens > j.maxOutputTokens:
		return nil, &errorResponse{status: http.StatusBadRequest, message: "max_output_tokens exceeds the reservation"}
	case req.Offset < 0 || req.Offset >= req.MaxOutputTokens:
		return nil, &errorResponse{status: http.StatusBadRequest, message: "offset is beyond the output"}
	case req.Offset < j.output.firstOffset:
		return nil, &errorResponse{status: http.StatusGone, message: "offset is no longer in the replay buffer"}
	}
	if j.stage == stageImported {
		j.setStage(stageDecode)
		j.maxOutputTokens = req.MaxOutputTokens
		e.counters.decodes.Add(1)
		heap.Push(&e.decodeQueue, e.decodeQueue.newItem(req.Priority, j))
		wake(e.decodeWork)
	}
	return j, nil
}

// decodeLoop runs decode steps, each of which generates one token for every
// request in the batch.
func (e *engineState) decodeLoop() {
	stepEnd := time.Now()
	for {
		n := e.formBatch()
		if n == 0 {
			select {
			case <-e.decodeWork:
				stepEnd = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		// The end of a step is computed from the nominal end of the previous
		// one, so that late timers do not lower the decode rate. A delay of
		// more than a step is not made up for.
		step := e.faults.scale(e.settings.StepTime(n))
		stepEnd = stepEnd.Add(step)
		if sleep(e.ctx, time.Until(stepEnd)) != nil {
			return
		}
		if time.Since(stepEnd) > step {
			stepEnd = time.Now()
		}
		e.decodeStep()
	}
}

// formBatch removes finished and cancelled requests from the batch, fills it
// from the queue by priority and returns its size.
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
	for len(e.batch) < e.settings.MaxBatch && len(e.decodeQueue.items) > 0 {
		j := heap.Pop(&e.decodeQueue).(*queueItem[*job]).value
		if j.ctx.Err() == nil {
			e.batch = append(e.batch, j)
		}
	}
	return len(e.batch)
}

func (e *engineState) decodeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.batch {
		if j.ctx.Err() != nil {
			continue
		}
		token := nextToken(j.textHash)
		j.textHash = j.textHash.Add(token)
		j.computedTokens = 0
		e.counters.outputTokens.Add(1)
		if j.output.add(token) == j.maxOutputTokens {
			j.setStage(stageFinished)
			e.freePieces(j)
			j.output.close()
			time.AfterFunc(e.settings.ReplayTTL, func() { e.dropFinished(j) })
		}
	}
}

// dropFinished deletes a finished job and its output at the end of ReplayTTL.
func (e *engineState) dropFinished(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.decodes[j.key] == j {
		delete(e.decodes, j.key)
		j.cancel()
	}
}
