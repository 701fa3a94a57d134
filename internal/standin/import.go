package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/upstream"
)

// releaseTimeout bounds the request that releases a result at its source after
// the transfer.
const releaseTimeout = time.Second

func (e *engineState) serveImport(w http.ResponseWriter, r *http.Request) {
	var req upstream.ImportRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.RequestID == "" || req.Handle == "" || req.MaxOutputTokens <= 0 {
		writeError(w, http.StatusBadRequest, "request_id, handle and max_output_tokens are required")
		return
	}
	j, errResp := e.startImport(&req)
	if errResp == nil {
		errResp = e.wait(r.Context(), j)
	}
	if errResp != nil {
		errResp.write(w)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// startImport starts the transfer, or returns the job if it was started before.
// The transfer goes on if the caller disconnects.
func (e *engineState) startImport(req *upstream.ImportRequest) (*job, *errorResponse) {
	key := jobKey{id: req.RequestID, attempt: req.Attempt}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.decodes[key]; ok {
		return j, nil
	}
	if errResp := e.admit(RoleDecode, req.Model, key); errResp != nil {
		return nil, errResp
	}
	j := e.newJob(key, req.Priority, stageImport)
	j.maxOutputTokens = req.MaxOutputTokens
	j.output = newReplayBuffer(e.settings.ReplayTokens)
	e.decodes[key] = j
	e.counters.imports.Add(1)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		errResp := e.transfer(j, req)
		e.endImport(j, errResp)
	}()
	return j, nil
}

// endImport makes the imported job ready to decode, or drops it if the transfer
// failed.
func (e *engineState) endImport(j *job, errResp *errorResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.decodes[j.key] != j || e.ctx.Err() != nil {
		return
	}
	if errResp != nil {
		e.dropDecode(j, errResp)
		return
	}
	j.setStage(stageImported)
	close(j.ready)
}

// transfer fetches the KV cache at the rate of this engine's link.
func (e *engineState) transfer(j *job, req *upstream.ImportRequest) *errorResponse {
	exportURL := req.SourceURL + upstream.PathExport + url.PathEscape(req.Handle)
	get, err := http.NewRequestWithContext(j.ctx, http.MethodGet,
		exportURL+"?priority="+strconv.Itoa(int(req.Priority)), nil)
	if err != nil {
		return &errorResponse{status: http.StatusBadRequest, message: err.Error()}
	}
	resp, err := e.client.Do(get)
	if err != nil {
		return &errorResponse{status: http.StatusInternalServerError, message: "fetching KV cache: " + err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &errorResponse{status: http.StatusGone, message: "source engine no longer holds the KV cache"}
	}
	computed, err := e.readKVHeader(j, resp.Header)
	if err != nil {
		return &errorResponse{status: http.StatusInternalServerError, message: err.Error()}
	}
	if errResp := e.reserve(j); errResp != nil {
		return errResp
	}
	if e.faults.consume(FaultStallTransfer) {
		<-j.ctx.Done()
		return errCancelled
	}
	if errResp := e.receive(j, resp, req.Priority); errResp != nil {
		return errResp
	}
	e.mu.Lock()
	j.computedTokens = computed
	if j.ctx.Err() != nil {
		e.countDiscarded(j)
	}
	e.mu.Unlock()
	e.releaseSource(exportURL)
	return nil
}

// receive reads the body in slices. It waits for a turn on this engine's link
// before each read, so that a busy link slows the source down.
func (e *engineState) receive(j *job, resp *http.Response, priority int32) *errorResponse {
	buffer := make([]byte, e.link.sliceBytes())
	for remaining := resp.ContentLength; remaining > 0; {
		n := min(remaining, int64(len(buffer)))
		if e.link.move(j.ctx, priority, int(n)) != nil {
			return errCancelled
		}
		if _, err := io.ReadFull(resp.Body, buffer[:n]); err != nil {
			return &errorResponse{status: http.StatusInternalServerError, message: "reading KV cache: " + err.Error()}
		}
		remaining -= n
	}
	return nil
}

func (e *engineState) readKVHeader(j *job, header http.Header) (int, error) {
	prompt, err := strconv.Atoi(header.Get(headerPromptTokens))
	if err != nil {
		return 0, errors.Wrap(err, headerPromptTokens)
	}
	computed, err := strconv.Atoi(header.Get(headerComputedTokens))
	if err != nil {
		return 0, errors.Wrap(err, headerComputedTokens)
	}
	text, err := strconv.ParseUint(header.Get(headerTextState), 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, headerTextState)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	j.promptTokens, j.textHash = prompt, upstream.PrefixHash(text)
	return computed, nil
}

// reserve allocates the pieces for the prompt and the maximum output.
func (e *engineState) reserve(j *job) *errorResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ctx.Err() != nil {
		return errCancelled
	}
	pieceTokens := e.settings.PieceTokens
	pieces := (j.promptTokens + j.maxOutputTokens + pieceTokens - 1) / pieceTokens
	if e.usedPieces+pieces > e.settings.TotalPieces {
		return notRun("decode memory is full")
	}
	e.usedPieces += pieces
	j.pieces = pieces
	return nil
}

// releaseSource tells the source engine that the transfer is complete. Errors
// are ignored: the result then expires at the source and is counted as
// discarded there.
func (e *engineState) releaseSource(exportURL string) {
	ctx, cancel := context.WithTimeout(e.ctx, releaseTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, exportURL, nil)
	if err != nil {
		return
	}
	if resp, err := e.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
