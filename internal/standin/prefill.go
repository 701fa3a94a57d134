package standin

import (
	"container/heap"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"godwitward.example/godwitward/internal/upstream"
)

// Headers of GET /engine/export/{handle}.
const (
	headerPromptTokens   = "Kv-Prompt-Tokens"
	headerComputedTokens = "Kv-Computed-Tokens"
	headerTextState      = "Kv-Text-State"
)

// releaseGracePeriod is how long an expired result is kept after an export until
// the receiver releases it, so that a used result is not counted as discarded.
const releaseGracePeriod = 200 * time.Millisecond

func (e *engineState) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req upstream.PrefillRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.RequestID == "" || req.Prompt == "" {
		writeError(w, http.StatusBadRequest, "request_id and prompt are required")
		return
	}
	j, errResp := e.startPrefill(&req)
	if errResp == nil {
		errResp = e.wait(r.Context(), j)
	}
	if errResp != nil {
		errResp.write(w)
		return
	}
	writeJSON(w, http.StatusOK, upstream.PrefillResult{
		Handle:       j.handle,
		PromptTokens: j.promptTokens,
		CachedTokens: j.cachedTokens,
		KVBytes:      int64(j.promptTokens) * e.settings.KVBytesPerToken,
		TTLMillis:    int(e.settings.ResultTTL.Milliseconds()),
	})
}

// startPrefill queues the prefill, or returns the job if it was queued before.
func (e *engineState) startPrefill(req *upstream.PrefillRequest) (*job, *errorResponse) {
	key := jobKey{id: req.RequestID, attempt: req.Attempt}
	hashes := upstream.PrefixHashes(req.Prompt, e.settings.PieceTokens)
	text := upstream.NewPrefixHash().Add(req.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.prefills[key]; ok {
		return j, nil
	}
	if errResp := e.admit(RolePrefill, req.Model, key); errResp != nil {
		return nil, errResp
	}
	j := e.newJob(key, req.Priority, stagePrefill)
	j.pieceHashes, j.textHash = hashes, text
	j.promptTokens = upstream.EstimateTokens(len(req.Prompt))
	e.prefills[key] = j
	e.counters.prefills.Add(1)
	if !e.faults.consume(FaultStallPrefill) {
		heap.Push(&e.prefillQueue, e.prefillQueue.newItem(j.priority, j))
		wake(e.prefillWork)
	}
	return j, nil
}

// wake signals a loop that there may be work. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// prefillLoop runs one chunk of one prefill at a time.
func (e *engineState) prefillLoop() {
	chunkEnd := time.Now()
	for {
		item, chunk := e.nextChunk()
		if item == nil {
			select {
			case <-e.prefillWork:
				chunkEnd = time.Now()
				continue
			case <-e.ctx.Done():
				return
			}
		}
		j := item.value
		nominal := time.Duration(float64(chunk) / float64(e.settings.PrefillTokensPerSecond) * float64(time.Second))
		// The end of a chunk is computed from the nominal end of the previous
		// one, so that late timers do not lower the prefill rate. A delay of
		// more than 20 ms is not made up for.
		chunkEnd = chunkEnd.Add(e.faults.scale(nominal))
		stopped := sleep(j.ctx, time.Until(chunkEnd)) != nil
		if stopped || time.Since(chunkEnd) > 20*time.Millisecond {
			chunkEnd = time.Now()
		}
		e.endChunk(item)
	}
}

// nextChunk removes the first prefill from the queue and returns it with the
// number of tokens of its next chunk, which it counts as computed.
func (e *engineState) nextChunk() (*queueItem[*job], int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.prefillQueue.items) > 0 {
		item := heap.Pop(&e.prefillQueue).(*queueItem[*job])
		j := item.value
		if j.ctx.Err() != nil {
			continue
		}
		if j.computedTokens == 0 {
			j.cachedTokens = e.cache.match(j.pieceHashes) * e.settings.PieceTokens
			// The last token is always computed, as it yields the first output
			// token.
			j.cachedTokens = min(j.cachedTokens, j.promptTokens-1)
		}
		chunk := j.promptTokens - j.cachedTokens - j.computedTokens
		if e.settings.PrefillChunkTokens > 0 {
			chunk = min(chunk, e.settings.PrefillChunkTokens)
		}
		j.computedTokens += chunk
		e.counters.prefillTokensRun.Add(int64(chunk))
		return item, chunk
	}
	return nil, 0
}

// endChunk returns an unfinished prefill to its place in the queue, or makes
// the result of a finished one available for ResultTTL.
func (e *engineState) endChunk(item *queueItem[*job]) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := item.value
	if j.ctx.Err() != nil {
		// Cancelled while the chunk ran; the cancel has counted its tokens as
		// discarded.
		return
	}
	if j.cachedTokens+j.computedTokens < j.promptTokens {
		heap.Push(&e.prefillQueue, item)
		return
	}
	e.cache.insert(j.pieceHashes, time.Now())
	j.setStage(stagePrefilled)
	j.handle = fmt.Sprintf("%x-%d-%d", uint64(j.textHash), j.key.attempt, e.counters.prefills.Load())
	j.expiresAt = j.stageStart.Add(e.settings.ResultTTL)
	e.handles[j.handle] = j
	time.AfterFunc(e.settings.ResultTTL, func() { e.expire(j) })
	close(j.ready)
}

// expire drops a result that has expired and is not being exported.
func (e *engineState) expire(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.exports == 0 && e.prefills[j.key] == j && !time.Now().Before(j.expiresAt) {
		e.dropPrefill(j, &errorResponse{status: http.StatusGone, message: "result expired"})
	}
}

// dropPrefill ends a prefill and deletes its result. The caller holds the lock.
func (e *engineState) dropPrefill(j *job, cause *errorResponse) {
	delete(e.prefills, j.key)
	delete(e.handles, j.handle)
	e.countDiscarded(j)
	j.fail(cause)
}

// serveExport sends the KV cache of a result at the rate of this engine's link.
func (e *engineState) serveExport(w http.ResponseWriter, r *http.Request) {
	priority, _ := strconv.ParseInt(r.URL.Query().Get("priority"), 10, 32)
	e.mu.Lock()
	j, ok := e.handles[chi.URLParam(r, "handle")]
	if !ok {
		e.mu.Unlock()
		errUnknown.write(w)
		return
	}
	j.exports++
	computed := j.computedTokens
	e.mu.Unlock()
	defer e.endExport(j)
	size := int(int64(j.promptTokens) * e.settings.KVBytesPerToken)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(headerPromptTokens, strconv.Itoa(j.promptTokens))
	w.Header().Set(headerComputedTokens, strconv.Itoa(computed))
	w.Header().Set(headerTextState, strconv.FormatUint(uint64(j.textHash), 16))
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	if e.faults.consume(FaultStallTransfer) {
		select {
		case <-j.ctx.Done():
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	buffer := make([]byte, e.link.sliceBytes())
	for size > 0 {
		n := min(size, len(buffer))
		if r.Context().Err() != nil || e.link.move(j.ctx, int32(priority), n) != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = flusher.Flush()
		size -= n
	}
}

func (e *engineState) endExport(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.exports--
	if j.exports == 0 {
		j.expiresAt = maxTime(j.expiresAt, time.Now().Add(releaseGracePeriod))
		time.AfterFunc(time.Until(j.expiresAt), func() { e.expire(j) })
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serveRelease is called by the receiver after a complete transfer. From then on
// the receiver counts the computed tokens if they are discarded.
func (e *engineState) serveRelease(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.handles[chi.URLParam(r, "handle")]; ok {
		j.computedTokens = 0
	}
	w.WriteHeader(http.StatusNoContent)
}
