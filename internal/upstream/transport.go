package upstream

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// HeaderCallID names one call over HTTP. An upstream that repeats it in its response may
// get several calls on one connection.
const HeaderCallID = "Router-Call-Id"

const (
	callIDBytes = 8
	// maxEchoingHosts limits the memory for hosts that no longer exist.
	maxEchoingHosts = 4096
)

var errOtherCall = errors.New("the connection carried the response to another call")

// Transport is an http.RoundTripper that returns only responses to the call itself.
// net/http matches the responses on a connection to calls by their order, so a response
// that is sent twice would be taken for that to the next call. A response is accepted
// when it carries the id of its call, or, without any id, when it is that to the first
// call on its connection. Connections to hosts that send no id are used only once.
type Transport struct {
	keepAlive http.RoundTripper
	singleUse http.RoundTripper

	mu sync.Mutex
	// echoing contains the hosts whose last response carried a call id.
	echoing map[string]bool
}

// NewTransport returns a transport that uses keepAlive for hosts that repeat call ids and
// singleUse, which must not reuse connections, for all others.
func NewTransport(keepAlive, singleUse http.RoundTripper) *Transport {
	return &Transport{keepAlive: keepAlive, singleUse: singleUse, echoing: map[string]bool{}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	reused := false
	out := req.Clone(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, reused = info.Conn, info.Reused },
	}))
	id := newCallID()
	out.Header.Set(HeaderCallID, id)
	resp, err := t.choose(req.URL.Host).RoundTrip(out)
	if err != nil {
		return nil, err
	}
	echo := resp.Header.Get(HeaderCallID)
	t.setEchoing(req.URL.Host, echo != "")
	if echo == id || echo == "" && !reused {
		return resp, nil
	}
	_ = resp.Body.Close()
	if conn != nil {
		// A response without a body returns its connection to the pool before this point.
		_ = conn.Close()
	}
	return nil, errOtherCall
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() {
	for _, rt := range []http.RoundTripper{t.keepAlive, t.singleUse} {
		if c, ok := rt.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

func (t *Transport) choose(host string) http.RoundTripper {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.echoing[host] {
		return t.keepAlive
	}
	return t.singleUse
}

func (t *Transport) setEchoing(host string, echoes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !echoes {
		delete(t.echoing, host)
		return
	}
	if !t.echoing[host] && len(t.echoing) >= maxEchoingHosts {
		clear(t.echoing)
	}
	t.echoing[host] = true
}

func newCallID() string {
	var b [callIDBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
