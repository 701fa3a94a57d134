package daemon

import (
	"net"
	"net/http"
	"time"
)

// newEngineClient returns the HTTP client for engines. It has no overall
// timeout, because streams are bounded by progress deadlines.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: engineDialTimeout}).DialContext,
		MaxIdleConnsPerHost: engineIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
