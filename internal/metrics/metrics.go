// Package metrics serves the metrics of the forwarding daemons and provides a
// histogram of durations for them.
package metrics

import (
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/internal/settings"
)

// readHeaderTimeout bounds the time for reading the headers of a request, callTimeout that
// for a request with its response, and idleTimeout that between two requests.
const (
	readHeaderTimeout = 5 * time.Second
	callTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
)

// Serve serves the metrics, and which build this is, at /debug/vars until the process
// ends. It listens on port at the IP address of sessionAddr. The memory of its callers counts
// against a budget. The daemon works without its
// metrics, so a failure is only logged.
func Serve(sessionAddr string, port uint16, name string, vars *expvar.Map, memory *budget.Budget, logger *log.Logger) {
	addBuild(vars)
	address, err := netip.ParseAddrPort(sessionAddr)
	if err == nil {
		var l net.Listener
		if l, err = memory.Listen(netip.AddrPortFrom(address.Addr(), port).String()); err == nil {
			srv := &http.Server{Handler: daemon.DebugHandler(func() error { return nil }, name, vars), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: idleTimeout}
			memory.Configure(srv)
			go func() { _ = srv.Serve(l) }()
			return
		}
	}
	logger.Warn().Str("event", "metrics.not_served").Uint16("port", port).Err(err).Msg("")
}

// addBuild adds the build and its protocol level, by which operators see how far an upgrade
// has come.
func addBuild(vars *expvar.Map) {
	vars.Set("build", expvar.Func(func() any { return settings.BuildVersion() }))
	vars.Set("protocol_level", expvar.Func(func() any { return protocol.Current }))
}
