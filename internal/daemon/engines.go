package daemon

import (
	"net"
	"net/http"
	"time"
)

// newEngineClient returns the HTTP client for engines. It has no total timeout,
// because a decode stream may be long; progress deadlines bound it instead.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: engineDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
