package daemon

import (
	"net"
	"net/http"
	"time"
)

// newEngineClient returns the HTTP client for engines. It has no overall request
// timeout, because progress timeouts bound the streams.
func newEngineClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: engineDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
