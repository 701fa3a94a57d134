package core

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
	"godwitward.example/godwitward/platform"
)

// Guards against an order that is taken for accepted because a redirect was followed.
func TestRedirectedOrderIsNotAccepted(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"stage":"prefill"}`)) })
	mux.Handle("/order", http.RedirectHandler("/elsewhere", http.StatusSeeOther))
	mux.HandleFunc("/elsewhere", func(http.ResponseWriter, *http.Request) {})
	server := httptest.NewServer(mux)
	defer server.Close()
	engine := newEngineFactory(&platform.Settings{}, nil)(&pb.UpstreamState{Url: strings.TrimPrefix(server.URL, "http://"), Id: "i-1"})
	err := engine.Order(t.Context(), &upstream.Order{Kind: "set_role", Value: "decode"})
	require.ErrorContains(t, err, "status 303")
}
