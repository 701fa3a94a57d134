package standin

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"godwitward.example/godwitward/internal/upstream"
)

// tombstoneTTL is how long the engine refuses work that was cancelled before
// it arrived.
const tombstoneTTL = 10 * time.Second

// Engine is a stand-in for a model engine.
type Engine struct {
	*host
	counters *engineCounters
}

// engineCounters outlive a crash.
type engineCounters struct {
	prefillRun       atomic.Int64
	prefillDiscarded atomic.Int64
	prefills         atomic.Int64
	imports          atomic.Int64
	decodes          atomic.Int64
	outputTokens     atomic.Int64
}

// EngineStats is the answer of GET /stats of an engine.
type EngineStats struct {
	// PrefillTokensRun counts the prompt tokens computed; cached ones are not.
	PrefillTokensRun int64 `json:"prefill_tokens_run"`
	// PrefillTokensDiscarded counts those whose result expired, was cancelled
	// or was lost before it produced an output token.
	PrefillTokensDiscarded int64 `json:"prefill_tokens_discarded"`
	HeldPieces             int   `json:"held_pieces"`
	Running                int   `json:"running"`
	// Started prefills, imports and decodes.
	Prefills int64 `json:"prefills"`
	Imports  int64 `json:"imports"`
	Decodes  int64 `json:"decodes"`
	// OutputTokens counts the decoded tokens.
	OutputTokens int64 `json:"output_tokens"`
}

// StartEngine starts a stand-in engine.
func StartEngine(ctx context.Context, s Settings) (*Engine, error) {
	counters := &engineCounters{}
	h, err := newHost(ctx, s, func(h *host) incarnation { return newEngineState(h, counters) })
	if err != nil {
		return nil, err
	}
	return &Engine{host: h, counters: counters}, nil
}

// jobKey names one attempt of a request.
type jobKey struct {
	id      string
	attempt uint32
}

// Stages of a job, as listed by GET /engine/running.
const (
	stagePrefill   = "prefill"
	stagePrefilled = "prefilled"
	stageImport    = "import"
	stageImported  = "imported"
	stageDecode    = "decode"
	// stageFinished output is kept for a resume and occupies no memory.
	stageFinished = "finished"
)

// job is one attempt of a request at this engine. The engine's lock guards the
// fields below the blank line.
type job struct {
	key      jobKey
	priority int32
	// ctx ends on cancel and on a crash.
	ctx    context.Context
	cancel context.CancelFunc
	// ready is closed when the prefill or import has ended.
	ready chan struct{}

	stage      string
	stageStart time.Time
	// failure is the answer to give when the job ended without a result.
	failure *errorResponse
	// textHash is the hash state of prompt and output so far.
	textHash     upstream.PrefixHash
	pieceHashes  []uint64
	promptTokens int
	cachedTokens int
	// computedTokens counts the prompt tokens run for this job here or, after an
	// import, at the source; 0 once another engine has them or they have
	// produced an output token.
	computedTokens int

	handle    string
	expiresAt time.Time
	exports   int

	maxOutputTokens int
	pieces          int
	output          replayBuffer
}

// errorResponse is an error answer.
type errorResponse struct {
	status  int
	notRun  bool
	message string
}

func (r *errorResponse) write(w http.ResponseWriter) {
	if r.notRun {
		w.Header().Set(upstream.HeaderRunState, upstream.RunStateNotRun)
	}
	writeError(w, r.status, r.message)
}

var (
	errCancelled = &errorResponse{status: http.StatusGone, message: "request was cancelled"}
	errUnknown   = &errorResponse{status: http.StatusNotFound, message: "request is unknown"}
	errStopping  = &errorResponse{status: http.StatusInternalServerError, message: "engine is stopping"}
)

func notRun(message string) *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, notRun: true, message: message}
}

// engineState is what a crash loses. The lock guards all jobs.
type engineState struct {
	settings *Settings
	faults   *faults
	counters *engineCounters
	link     *link
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu           sync.Mutex
	role         string
	models       map[string]bool
	fencingToken uint64
	prefills     map[jobKey]*job
	decodes      map[jobKey]*job
	handles      map[string]*job
	tombstones   map[string]tombstone
	prefillQueue priorityQueue[*job]
	decodeQueue  priorityQueue[*job]
	batch        []*job
	usedPieces   int
	cache        *prefixCache

	prefillWork chan struct{}
	decodeWork  chan struct{}
}

type tombstone struct {
	attempt uint32
	at      time.Time
}

func newEngineState(h *host, counters *engineCounters) *engineState {
	s := &h.settings
	e := &engineState{
		settings:    s,
		faults:      h.faults,
		counters:    counters,
		link:        newLink(s.LinkBytesPerSecond, h.faults),
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.MaxBatch}},
		role:        s.Role,
		models:      map[string]bool{},
		prefills:    map[jobKey]*job{},
		decodes:     map[jobKey]*job{},
		handles:     map[string]*job{},
		tombstones:  map[string]tombstone{},
		cache:       newPrefixCache(s),
		prefillWork: make(chan struct{}, 1),
		decodeWork:  make(chan struct{}, 1),
	}
	for _, m := range s.Models {
		e.models[m] = true
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	return e
}

func (e *engineState) register(r chi.Router) {
	r.Post(upstream.PathPrefill, e.servePrefill)
	r.Post(upstream.PathImport, e.serveImport)
	r.Post(upstream.PathDecode, e.serveDecode)
	r.Post(upstream.PathCancel, e.serveCancel)
	r.Post(upstream.PathOrder, e.serveOrder)
	r.Get(upstream.PathRunning, e.serveRunning)
	r.Get(upstream.PathExport+"{handle}", e.serveExport)
	r.Delete(upstream.PathExport+"{handle}", e.serveRelease)
	r.Get("/stats", e.serveStats)
}

// run owns the prefill and decode loops.
func (e *engineState) run(ctx context.Context) {
	e.wg.Add(2)
	go func() { defer e.wg.Done(); e.prefillLoop() }()
	go func() { defer e.wg.Done(); e.decodeLoop() }()
	ticker := time.NewTicker(tombstoneTTL)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.expireTombstones()
		}
	}
	// Under the lock, so that no import starts after the wait began.
	e.mu.Lock()
	e.stop()
	e.mu.Unlock()
	e.wg.Wait()
	e.discardAll()
	e.client.CloseIdleConnections()
}

// discardAll accounts for the work that ends with this incarnation.
func (e *engineState) discardAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.prefills {
		e.countDiscarded(j)
	}
	for _, j := range e.decodes {
		e.countDiscarded(j)
	}
}

// countDiscarded counts the prompt tokens of a job that produced no output. The
// caller holds the lock.
func (e *engineState) countDiscarded(j *job) {
	e.counters.prefillDiscarded.Add(int64(j.computedTokens))
	j.computedTokens = 0
}

func (e *engineState) expireTombstones() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, t := range e.tombstones {
		if time.Since(t.at) > tombstoneTTL {
			delete(e.tombstones, id)
		}
	}
}

// admit returns why new work of the given kind is not accepted. The caller
// holds the lock.
func (e *engineState) admit(role, model string, key jobKey) *errorResponse {
	if e.ctx.Err() != nil {
		return notRun("engine is stopping")
	}
	if t, ok := e.tombstones[key.id]; ok && key.attempt <= t.attempt {
		return errCancelled
	}
	if e.role != role {
		return notRun("engine has another role")
	}
	if len(e.models) > 0 && !e.models[model] {
		return notRun("model is not loaded")
	}
	if e.faults.take(FaultRefuse) {
		return notRun("refused by fault injection")
	}
	return nil
}

func (e *engineState) newJob(key jobKey, priority int32, stage string) *job {
	j := &job{key: key, priority: priority, stage: stage, stageStart: time.Now(), ready: make(chan struct{})}
	j.ctx, j.cancel = context.WithCancel(e.ctx)
	return j
}

func (j *job) setStage(stage string) {
	j.stage, j.stageStart = stage, time.Now()
}

// fail ends a prefill or import without a result. The caller holds the lock.
func (j *job) fail(f *errorResponse) {
	if j.failure != nil {
		return
	}
	j.failure = f
	j.cancel()
	select {
	case <-j.ready:
	default:
		close(j.ready)
	}
}

// wait returns when the prefill or import ended or the caller left, which
// does not stop the work. In a crash the caller gets no answer.
func (e *engineState) wait(ctx context.Context, j *job) *errorResponse {
	select {
	case <-j.ready:
	case <-ctx.Done():
		return errStopping
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.failure
}

func (e *engineState) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req upstream.CancelRequest
	if !readJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	if t := e.tombstones[req.RequestID]; t.attempt <= req.Attempt {
		e.tombstones[req.RequestID] = tombstone{attempt: req.Attempt, at: time.Now()}
	}
	for key, j := range e.prefills {
		if key.id == req.RequestID && key.attempt <= req.Attempt {
			e.dropPrefill(j, errCancelled)
		}
	}
	for key, j := range e.decodes {
		if key.id == req.RequestID && key.attempt <= req.Attempt {
			e.dropDecode(j, errCancelled)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *engineState) serveRunning(w http.ResponseWriter, r *http.Request) {
	list := []upstream.Running{}
	e.mu.Lock()
	for _, jobs := range []map[jobKey]*job{e.prefills, e.decodes} {
		for key, j := range jobs {
			if j.stage == stageFinished {
				continue
			}
			list = append(list, upstream.Running{
				RequestID: key.id, Attempt: key.attempt, Stage: j.stage,
				Pieces: j.pieces, AgeMillis: time.Since(j.stageStart).Milliseconds(),
			})
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// running counts the jobs that occupy the engine. The caller holds the lock.
func (e *engineState) running() int {
	n := len(e.prefills)
	for _, j := range e.decodes {
		if j.stage != stageFinished {
			n++
		}
	}
	return n
}

func (e *engineState) serveStats(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	stats := EngineStats{HeldPieces: e.usedPieces, Running: e.running()}
	e.mu.Unlock()
	c := e.counters
	stats.PrefillTokensRun = c.prefillRun.Load()
	stats.PrefillTokensDiscarded = c.prefillDiscarded.Load()
	stats.Prefills, stats.Imports, stats.Decodes = c.prefills.Load(), c.imports.Load(), c.decodes.Load()
	stats.OutputTokens = c.outputTokens.Load()
	writeJSON(w, http.StatusOK, stats)
}

func (e *engineState) announcement(a *upstream.Announcement) {
	s := e.settings
	a.ChecksFencing = s.ChecksFencing
	a.LinkBytesPerSecond = uint64(s.LinkBytesPerSecond)
	a.KVBytesPerToken = uint64(s.KVBytesPerToken)
	a.PieceTokens = uint32(s.PieceTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Role = e.role
	for m := range e.models {
		a.Models = append(a.Models, m)
	}
	if e.role == RolePrefill {
		a.PrefillTokensPerSecond = uint32(s.PrefillTokensPerSecond)
	} else {
		a.TotalPieces = uint32(s.TotalPieces)
		a.MaxBatch = uint32(s.MaxBatch)
		a.DecodeMicrosPerToken = uint32(s.DecodePerToken.Microseconds())
	}
	a.Load = upstream.Load{
		Running:    uint32(e.running()),
		Queued:     uint32(len(e.prefillQueue.items) + len(e.decodeQueue.items)),
		UsedPieces: uint32(e.usedPieces),
	}
}

func (e *engineState) cacheEvents() []upstream.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.takeDue(time.Now())
}
