package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"godwitward.example/godwitward/internal/upstream"
)

// headerIdempotencyKey identifies a call that must not run more than once.
const headerIdempotencyKey = "Idempotency-Key"

// Service is a stand-in for a plain service. Its run counts are kept across
// crashes, as the database of a real service would be.
type Service struct {
	*host
	runs *runCounter
}

// ServiceResponse is the response to a plain call. It echoes the call.
type ServiceResponse struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Key        string `json:"key"`
	// Run counts the runs under this key, from 1; 0 without a key.
	Run int `json:"run"`
}

// ServiceStats is the response of a plain service to GET /stats.
type ServiceStats struct {
	// Total counts all runs, also of calls without a key.
	Total   int `json:"total"`
	Running int `json:"running"`
	// Runs counts the runs per idempotency key.
	Runs map[string]int `json:"runs"`
}

// runCounter counts how often calls ran, in total and by idempotency key.
type runCounter struct {
	mu    sync.Mutex
	total int
	byKey map[string]int
}

func (c *runCounter) add(key string) (total, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if key == "" {
		return c.total, 0
	}
	c.byKey[key]++
	return c.total, c.byKey[key]
}

// StartService starts a stand-in service.
func StartService(ctx context.Context, s Settings) (*Service, error) {
	runs := &runCounter{byKey: map[string]int{}}
	h, err := newHost(ctx, s, func(h *host) incarnation {
		return &serviceState{
			host:   h,
			runs:   runs,
			random: rand.New(rand.NewPCG(h.settings.Seed, h.generation)),
		}
	})
	if err != nil {
		return nil, err
	}
	return &Service{host: h, runs: runs}, nil
}

// serviceState is the incarnation of a plain service.
type serviceState struct {
	host *host
	runs *runCounter

	mu      sync.Mutex
	running int
	random  *rand.Rand
}

func (s *serviceState) register(r chi.Router) {
	r.Get("/stats", s.serveStats)
	r.HandleFunc("/*", s.serveCall)
}

func (s *serviceState) run(ctx context.Context) { <-ctx.Done() }

func (s *serviceState) takeCacheEvents() []upstream.CacheEvent { return nil }

func (s *serviceState) fillAnnouncement(a *upstream.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.MaxBatch = uint32(s.host.settings.Concurrency)
	a.Load = upstream.Load{Running: uint32(s.running)}
}

func (s *serviceState) serveStats(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	s.runs.mu.Lock()
	defer s.runs.mu.Unlock()
	writeJSON(w, http.StatusOK, ServiceStats{Total: s.runs.total, Running: running, Runs: s.runs.byKey})
}

// acquireSlot takes one of the Concurrency slots. It returns false if all are
// taken.
func (s *serviceState) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.host.settings.Concurrency {
		return false
	}
	s.running++
	return true
}

// finishCall frees the slot of a call and reports whether the call is to fail,
// which it draws at random with probability FailureRate.
func (s *serviceState) finishCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return s.random.Float64() < s.host.settings.FailureRate
}

// serveCall runs one call. The call runs even if the caller disconnects.
func (s *serviceState) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.host.faults.consume(FaultRefuse) || !s.acquireSlot() {
		writeNotRun(w, "service takes no call now")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.finishCall()
		writeError(w, http.StatusBadRequest, "reading body: "+err.Error())
		return
	}
	time.Sleep(s.host.faults.scale(s.host.settings.ServiceDelay))
	key := r.Header.Get(headerIdempotencyKey)
	total, run := s.runs.add(key)
	failed := s.finishCall()
	if total == s.host.settings.CrashAfterRun {
		go s.host.Kill()
		panic(http.ErrAbortHandler)
	}
	if failed {
		writeError(w, http.StatusInternalServerError, "call failed after it ran")
		return
	}
	sum := sha256.Sum256(body)
	writeJSON(w, http.StatusOK, ServiceResponse{Method: r.Method, Path: r.URL.Path,
		BodySHA256: hex.EncodeToString(sum[:]), Key: key, Run: run})
}

// Runs returns the number of runs by idempotency key. It also works after a
// crash.
func (s *Service) Runs() map[string]int {
	s.runs.mu.Lock()
	defer s.runs.mu.Unlock()
	return maps.Clone(s.runs.byKey)
}
