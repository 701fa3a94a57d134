package core

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/platform"
)

// Guards against an order that is taken for accepted because a redirect was followed.
func TestRedirectedOrderIsNotAccepted(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"stage":"prefill","busy":false,"sequence":0}`))
	})
	mux.Handle("/order", http.RedirectHandler("/elsewhere", http.StatusSeeOther))
	mux.HandleFunc("/elsewhere", func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(mux)
	defer server.Close()
	engine := newEngineFactory(&platform.Settings{}, nil)(&pb.UpstreamState{Url: strings.TrimPrefix(server.URL, "http://"), Id: "i-1"})
	err := engine.Order(t.Context(), &upstream.Order{Kind: "set_role", Value: "decode"})
	require.ErrorContains(t, err, "status 303")
}

// Guards against a new leader whose scheduler does not learn that an engine is changing its role.
func TestNewLeaderLearnsOfARoleChangeInProgress(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"stage":"decode","busy":true,"born":1}`))
	}))
	defer engine.Close()
	p := leadingPools(t)
	var logged strings.Builder
	p.logger.Writer = &log.IOWriter{Writer: &logged}
	r := engineRecord("i-1", 1)
	r.Address = strings.TrimPrefix(engine.URL, "http://")
	p.announce(r)
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	p.scheduler.Run(ctx)
	require.Regexp(t, `"event":"role.in_progress".*"upstream":"i-1".*"detail":"prefill"`, logged.String())
}
