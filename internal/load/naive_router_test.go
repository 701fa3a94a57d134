package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/standin"
	"godwitward.example/godwitward/internal/upstream"
)

// naiveSystem starts a minimal router for tests of the checks: it picks the
// upstream with the fewest outstanding calls and has no queue and no retries.
// Its policy names a defect for the router to have; "" is a correct router.
type naiveSystem struct{}

type naiveRouter struct {
	defect   string
	routes   []*pb.Route
	server   *httptest.Server
	client   *http.Client
	requests atomic.Uint64

	mu          sync.Mutex
	upstreams   map[string]upstream.Announcement
	outstanding map[string]int
	seenKeys    map[string]bool
}

func (naiveSystem) Start(ctx context.Context, policy string, routes []*pb.Route) (Instance, error) {
	n := &naiveRouter{defect: policy, routes: routes, upstreams: map[string]upstream.Announcement{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}, outstanding: map[string]int{}, seenKeys: map[string]bool{}}
	n.server = httptest.NewServer(n)
	return n, nil
}

func (n *naiveRouter) Entries() []string { return []string{n.server.URL} }

func (n *naiveRouter) Close() error {
	n.server.Close()
	n.client.CloseIdleConnections()
	return nil
}

// pick returns the upstream with the fewest outstanding calls.
func (n *naiveRouter) pick(service, role string) (string, func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	best := ""
	for _, a := range n.upstreams {
		if a.Service == service && a.Role == role && (best == "" || n.outstanding[a.URL] < n.outstanding[best]) {
			best = a.URL
		}
	}
	n.outstanding[best]++
	return best, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outstanding[best]--
	}
}

func (n *naiveRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.PathAnnounce {
		var a upstream.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		n.mu.Lock()
		n.upstreams[a.ID] = a
		n.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	for _, route := range n.routes {
		if strings.HasPrefix(r.URL.Path, route.Path+"/") {
			if route.Kind == pb.RouteKind_ROUTE_KIND_PLAIN {
				n.plain(w, r, route)
			} else {
				n.completion(w, r, route)
			}
		}
	}
}

func writeError(w http.ResponseWriter, ran string) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"error":{"code":"test","ran":%q}}`, ran)
}

func (n *naiveRouter) plain(w http.ResponseWriter, r *http.Request, route *pb.Route) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	n.mu.Lock()
	seen := n.seenKeys[key]
	n.seenKeys[key] = true
	n.mu.Unlock()
	if seen {
		writeError(w, "unknown")
		return
	}
	runs := 1
	if n.defect == "rerun" {
		runs = 2
	}
	for range runs {
		url, done := n.pick(route.Service, standin.RolePlain)
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.Path, strings.NewReader(string(body)))
		req.Header.Set("Idempotency-Key", key)
		resp, err := n.client.Do(req)
		done()
		if err != nil {
			writeError(w, "unknown")
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK || n.defect == "false-not-run" && strings.HasSuffix(key, "3") {
			writeError(w, "no")
			return
		}
		if runs--; runs <= 0 {
			_, _ = io.Copy(w, resp.Body)
		}
	}
}

func (n *naiveRouter) completion(w http.ResponseWriter, r *http.Request, route *pb.Route) {
	var req completionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	prefillURL, prefillDone := n.pick(route.Service, standin.RolePrefill)
	defer prefillDone()
	decodeURL, decodeDone := n.pick(route.Service, standin.RoleDecode)
	defer decodeDone()
	if prefillURL == "" || decodeURL == "" {
		writeError(w, "no")
		return
	}
	id := fmt.Sprintf("naive-%d", n.requests.Add(1))
	prefill, decode := upstream.NewHTTPEngine(prefillURL, n.client), upstream.NewHTTPEngine(decodeURL, n.client)
	priority := int32(route.RequestClass)
	if n.defect != "leak" {
		defer func() {
			for _, e := range []upstream.Engine{prefill, decode} {
				_ = e.Cancel(context.Background(), &upstream.CancelRequest{RequestID: id})
			}
		}()
	}
	result, err := prefill.Prefill(r.Context(), &upstream.PrefillRequest{RequestID: id, Model: req.Model, Prompt: req.Prompt, Priority: priority})
	if err == nil {
		err = decode.Import(r.Context(), &upstream.ImportRequest{RequestID: id, Model: req.Model, SourceURL: prefillURL,
			Handle: result.Handle, Priority: priority, MaxOutputTokens: req.MaxTokens})
	}
	if n.defect == "leak" && strings.HasSuffix(id, "5") {
		writeError(w, "no")
		return
	}
	var s upstream.TokenStream
	if err == nil {
		s, err = decode.Decode(r.Context(), &upstream.DecodeRequest{RequestID: id, MaxOutputTokens: req.MaxTokens, Priority: priority})
	}
	if err != nil {
		writeError(w, "no")
		return
	}
	defer s.Close()
	n.relay(w, s)
}

// relay sends the tokens in order, or with the defect of this router.
func (n *naiveRouter) relay(w http.ResponseWriter, s upstream.TokenStream) {
	for next := 0; ; {
		token, err := s.Next()
		if err == io.EOF {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if err != nil {
			return
		}
		if token.Offset != next {
			continue
		}
		if n.defect == "cut-off" && next == 5 {
			return
		}
		next++
		if n.defect == "lossy" && token.Offset == 3 {
			continue
		}
		if n.defect == "duplicate" && token.Offset == 3 {
			writeChunk(w, token.Text)
		}
		writeChunk(w, token.Text)
	}
}

func writeChunk(w http.ResponseWriter, text string) {
	fmt.Fprintf(w, "data: {\"id\":\"x\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", text)
	_ = http.NewResponseController(w).Flush()
}
