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

// tombstoneTTL is how long the engine remembers a cancel, so that it rejects
// calls for the request that arrive after it.
const tombstoneTTL = 10 * time.Second

// Engine is a stand-in for a model engine.
type Engine struct {
	*host
	counters *engineCounters
}

// engineCounters are kept across crashes.
type engineCounters struct {
	prefillTokensRun       atomic.Int64
	prefillTokensDiscarded atomic.Int64
	prefills               atomic.Int64
	imports                atomic.Int64
	decodes                atomic.Int64
	outputTokens           atomic.Int64
}

// EngineStats is the response of an engine to GET /stats.
type EngineStats struct {
	// PrefillTokensRun counts the prompt tokens computed, without cached ones.
	PrefillTokensRun int64 `json:"prefill_tokens_run"`
	// PrefillTokensDiscarded counts the computed prompt tokens whose result
	// expired, was cancelled or was lost before it produced an output token.
	PrefillTokensDiscarded int64 `json:"prefill_tokens_discarded"`
	// HeldPieces is the decode memory in use.
	HeldPieces int `json:"held_pieces"`
	// Running counts the jobs that occupy the engine, in any stage but
	// finished.
	Running int `json:"running"`
	// Prefills, Imports and Decodes count those that were started.
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

// jobKey identifies one attempt of a request.
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
	// stageFinished is not listed: the output is kept for a resume, but the
	// job occupies no memory.
	stageFinished = "finished"
)

// job is one attempt of a request at this engine. The engine's lock guards the
// fields below ready.
type job struct {
	key      jobKey
	priority int32
	// ctx is cancelled when the job is dropped and when the engine stops.
	ctx    context.Context
	cancel context.CancelFunc
	// ready is closed when the prefill or import has ended.
	ready chan struct{}

	stage      string
	stageStart time.Time
	// failure is the response of a job that ended without a result.
	failure *errorResponse
	// textHash is the hash state after the prompt and the output so far.
	textHash     upstream.PrefixHash
	pieceHashes  []uint64
	promptTokens int
	cachedTokens int
	// computedTokens is the number of prompt tokens, computed here or, after an
	// import, at the source, that count as discarded if the job ends now. It is
	// 0 once another engine has imported them or they have produced an output
	// token.
	computedTokens int

	handle    string
	expiresAt time.Time
	// exports counts the exports in progress.
	exports int

	maxOutputTokens int
	pieces          int
	output          replayBuffer
}

// errorResponse is an error to send to the caller.
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

// engineState is the incarnation of an engine. The lock also guards all jobs.
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

// run executes the prefill and decode loops until ctx ends and then counts the
// prompt tokens whose result is lost.
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
	// Stops under the lock, so that no import adds to wg during the Wait.
	e.mu.Lock()
	e.stop()
	e.mu.Unlock()
	e.wg.Wait()
	e.countAllDiscarded()
	e.client.CloseIdleConnections()
}

// countAllDiscarded counts the prompt tokens that are lost with this
// incarnation.
func (e *engineState) countAllDiscarded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.prefills {
		e.countDiscarded(j)
	}
	for _, j := range e.decodes {
		e.countDiscarded(j)
	}
}

// countDiscarded counts the computed prompt tokens of a job that ends without
// using them. The caller holds the lock.
func (e *engineState) countDiscarded(j *job) {
	e.counters.prefillTokensDiscarded.Add(int64(j.computedTokens))
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

// admit returns the reason to reject a new prefill or import, nil if it is
// accepted. role is the one that the engine must have. The caller holds the
// lock.
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
	if e.faults.consume(FaultRefuse) {
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

// fail cancels a job and sets the error for callers that wait for it or read
// its output. The caller holds the lock.
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

// wait returns when the prefill or import has ended. If the caller disconnects
// before, the work goes on. In a crash the connection is aborted without a
// response.
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
	stats.PrefillTokensRun = c.prefillTokensRun.Load()
	stats.PrefillTokensDiscarded = c.prefillTokensDiscarded.Load()
	stats.Prefills, stats.Imports, stats.Decodes = c.prefills.Load(), c.imports.Load(), c.decodes.Load()
	stats.OutputTokens = c.outputTokens.Load()
	writeJSON(w, http.StatusOK, stats)
}

func (e *engineState) fillAnnouncement(a *upstream.Announcement) {
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

func (e *engineState) takeCacheEvents() []upstream.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.takeDue(time.Now())
}
