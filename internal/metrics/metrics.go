// Package metrics serves the metrics page of the forwarding daemons.
package metrics

import (
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/daemon"
)

// headerTimeout bounds the head of a request for the page.
const headerTimeout = 5 * time.Second

// Serve serves the metrics at /debug/vars on a port of the session address,
// until the process ends. The process works without it, so a failure is logged.
func Serve(session string, port uint16, name string, vars *expvar.Map, logger *log.Logger) {
	address, err := netip.ParseAddrPort(session)
	if err == nil {
		var l net.Listener
		if l, err = net.Listen("tcp", netip.AddrPortFrom(address.Addr(), port).String()); err == nil {
			srv := &http.Server{Handler: daemon.DebugHandler(func() error { return nil }, name, vars), ReadHeaderTimeout: headerTimeout}
			go func() { _ = srv.Serve(l) }()
			return
		}
	}
	logger.Warn().Str("event", "metrics.not_served").Uint16("port", port).Err(err).Msg("")
}
