package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/httpdrain"
	"godwitward.example/godwitward/internal/timeline"
	"godwitward.example/godwitward/internal/transport"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 5 * time.Second
	// maxHeaderBytes limits the headers of requests. net/http allows 1 MiB, which takes 50 times
	// as much if the lines are short.
	maxHeaderBytes = 64 << 10
	// maxEventsPerResponse is also the limit for requests that set none.
	maxEventsPerResponse = 10_000
)

// Base is the common part of a daemon.
type Base struct {
	Self     *pb.Hello
	Logger   *log.Logger
	Recorder *timeline.Recorder
	// Sessions serves the calls of other daemons.
	Sessions *transport.Server
	// Memory is the budget for the callers of ServeHTTP; nil for none.
	Memory *budget.Budget
	// ClientTLS secures the sessions that this daemon opens.
	ClientTLS *tls.Config
}

// NewBase returns the common part of a daemon. serverTLS and clientTLS may be
// nil, which means no TLS. Of sessions the limits and OnSessionEnd apply to the
// sessions that the daemon serves.
func NewBase(self *pb.Hello, logger *log.Logger, serverTLS, clientTLS *tls.Config, sessions transport.Options) *Base {
	recorder := timeline.NewRecorder(timeline.NewClock(nil), self.Vm, self.Process, logger, 0)
	b := &Base{Self: self, Logger: logger, Recorder: recorder, ClientTLS: clientTLS}
	sessions.Self, sessions.TLS, sessions.Clock, sessions.Logger = self, serverTLS, recorder.Clock(), logger
	b.Sessions = transport.NewServer(sessions)
	transport.HandleUnary(b.Sessions, transport.MethodEvents, b.handleEvents)
	return b
}

// ClientOptions returns the options for sessions to other daemons.
func (b *Base) ClientOptions() transport.Options {
	return transport.Options{Self: b.Self, TLS: b.ClientTLS, Clock: b.Recorder.Clock(), Logger: b.Logger}
}

func (b *Base) handleEvents(_ context.Context, req *pb.EventsRequest) (*pb.EventsResponse, error) {
	if req.Limit == 0 || req.Limit > maxEventsPerResponse {
		req.Limit = maxEventsPerResponse
	}
	return &pb.EventsResponse{Events: b.Recorder.Events(req)}, nil
}

// ServeSessions listens on addr and serves sessions in the background until
// Sessions.Close. It returns the bound address.
func (b *Base) ServeSessions(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listening for sessions")
	}
	go func() {
		if err := b.Sessions.Serve(l); err != nil {
			b.Logger.Error().Str("event", "sessions.failed").Err(err).Msg("")
		}
	}()
	return l.Addr().String(), nil
}

// HTTPServer is a running HTTP server.
type HTTPServer struct {
	// Addr is the bound address.
	Addr    string
	srv     *http.Server
	drainer *httpdrain.Drainer
}

// ServeHTTP listens on addr and serves h in the background. With a nil
// tlsConfig it serves without TLS.
func (b *Base) ServeHTTP(addr string, h http.Handler, tlsConfig *tls.Config) (*HTTPServer, error) {
	return b.serveHTTP(addr, h, tlsConfig, b.Memory)
}

// serveHTTP is ServeHTTP with a budget other than that for callers.
func (b *Base) serveHTTP(addr string, h http.Handler, tlsConfig *tls.Config, memory *budget.Budget) (*HTTPServer, error) {
	l, err := memory.Listen(addr)
	if err != nil {
		return nil, errors.Wrap(err, "listening for HTTP")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	// gRPC clients of the operator service use HTTP/2 without TLS on loopback.
	protocols.SetUnencryptedHTTP2(true)
	drainer := &httpdrain.Drainer{}
	drained := drainer.Listener(l)
	srv := &http.Server{Handler: drainer.Handler(h), ConnState: drainer.ConnState, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, TLSConfig: tlsConfig, Protocols: protocols}
	memory.Configure(srv)
	go func() {
		var err error
		if tlsConfig != nil {
			err = srv.ServeTLS(drained, "", "")
		} else {
			err = srv.Serve(drained)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			b.Logger.Error().Str("event", "http.failed").Err(err).Msg("")
		}
	}()
	return &HTTPServer{Addr: l.Addr().String(), srv: srv, drainer: drainer}, nil
}

// Shutdown stops listening and waits for the requests in flight until ctx ends.
func (s *HTTPServer) Shutdown(ctx context.Context) error {
	return s.drainer.Shutdown(ctx, s.srv)
}

// Close waits up to shutdownTimeout for the requests in flight, then closes the
// connections that are left.
func (s *HTTPServer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.drainer.Shutdown(ctx, s.srv); err != nil {
		_ = s.srv.Close()
	}
}

// DebugHandler serves /livez, /readyz and the metrics at /debug/vars. ready
// returns nil when the daemon accepts work. The daemon's own metrics are listed
// under name, next to the variables of the process. They are not published in
// the global expvar registry, because it allows each name only once per process
// and one process may run several daemons.
func DebugHandler(ready func() error, name string, metrics expvar.Var) http.Handler {
	r := chi.NewRouter()
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	r.Get("/debug/vars", func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer
		_, _ = fmt.Fprintf(&b, "{\n%q: %s", name, metrics)
		expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(&b, ",\n%q: %s", kv.Key, kv.Value) })
		b.WriteString("\n}\n")
		// A caller that does not read holds the text.
		account, size := budget.FromContext(r.Context()), int64(b.Cap())
		if !account.Reserve(size) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, budget.ErrFull.Error(), http.StatusServiceUnavailable)
			return
		}
		defer account.Release(size)
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write(b.Bytes())
	})
	return r
}
