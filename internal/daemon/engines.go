package daemon

import (
	"net"
	"net/http"
	"time"

	"godwitward.example/godwitward/internal/upstream"
)

// newEngineClient returns the HTTP client for engines. It has no total timeout,
// because a decode stream may be long; progress deadlines bound it instead.
func newEngineClient() *http.Client {
	keepAlive := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: engineDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	singleUse := keepAlive.Clone()
	singleUse.DisableKeepAlives = true
	return &http.Client{
		Transport: upstream.NewTransport(keepAlive, singleUse),
		// Another host would not be cancelled at, and a GET would replace the call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
