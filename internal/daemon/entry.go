package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control/client"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// engineIdleConns bounds idle connections to one engine: a decode engine
	// holds about 20 requests, each with a stream and short calls beside it.
	engineIdleConns = 64
	// engineDialTimeout bounds the dial to an upstream. Places are half a
	// millisecond apart, so a longer wait means that packets vanish.
	engineDialTimeout = time.Second
)

// EntryConfig holds the settings of an entry process.
type EntryConfig struct {
	Self *pb.Hello
	// Listen is the callers' address, Sessions that of other daemons, Debug
	// that of health and metrics. An empty Debug is not served.
	Listen   string
	Sessions string
	Debug    string
	// Upstreams is the address for announcements. Empty: they are accepted on
	// Listen as well, where callers could announce upstreams too.
	Upstreams string
	// ControlAddrs are the session addresses of the control members.
	ControlAddrs []string
	CallerTLS    *tls.Config
	UpstreamTLS  *tls.Config
	ServerTLS    *tls.Config
	ClientTLS    *tls.Config
	Limits       entry.Limits
	// DrainDelay is how long a draining entry still accepts requests while the
	// balancer notices that it is not ready.
	DrainDelay time.Duration
	Logger     *log.Logger
}

// Entry is a running entry process.
type Entry struct {
	// Addr is the bound address for callers, SessionAddr that for daemons.
	Addr        string
	SessionAddr string

	base    *Base
	server  *entry.Server
	pools   *entry.Pools
	control *client.Client
	callers *HTTPServer
	// announcements is nil when they are served with the callers.
	announcements *HTTPServer
	debug         *HTTPServer
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// StartEntry starts an entry. It runs until Shutdown or Kill.
func StartEntry(cfg EntryConfig) (*Entry, error) {
	e := &Entry{base: New(cfg.Self, cfg.Logger, cfg.ServerTLS, cfg.ClientTLS, nil)}
	e.control = client.New(client.Options{
		Addrs: cfg.ControlAddrs, Self: cfg.Self, TLS: cfg.ClientTLS,
		Recorder: e.base.Recorder, Logger: cfg.Logger, InFlight: e.inFlight,
	})
	e.pools = entry.NewPools(entry.PoolOptions{EntryID: cfg.Self.DaemonId, Lease: e.control.Lease, Transport: e.base.ClientOptions()})
	server, err := entry.New(entry.Options{
		ID: cfg.Self.DaemonId, Control: e.control, Schedulers: e.pools, Engine: newEngines().get,
		SeparateAnnouncements: cfg.Upstreams != "",
		Recorder:              e.base.Recorder, Logger: cfg.Logger, Limits: cfg.Limits, DrainDelay: cfg.DrainDelay,
	})
	if err != nil {
		return nil, errors.Wrap(err, "creating the entry")
	}
	e.server = server
	if err := e.listen(cfg); err != nil {
		e.Kill()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wg.Add(2)
	go func() { defer e.wg.Done(); _ = e.control.Run(ctx) }()
	go func() { defer e.wg.Done(); _ = server.Run(ctx) }()
	e.base.Recorder.Record(&pb.Event{Kind: "process.started"}, "callers", e.Addr, "sessions", e.SessionAddr)
	return e, nil
}

func (e *Entry) listen(cfg EntryConfig) (err error) {
	if e.SessionAddr, err = e.base.ServeSessions(cfg.Sessions); err != nil {
		return err
	}
	if e.callers, err = e.base.ServeHTTP(cfg.Listen, e.server.Handler(), cfg.CallerTLS); err != nil {
		return err
	}
	e.Addr = e.callers.Addr
	if cfg.Upstreams != "" {
		if e.announcements, err = e.base.ServeHTTP(cfg.Upstreams, e.server.AnnounceHandler(), cfg.UpstreamTLS); err != nil {
			return err
		}
	}
	if cfg.Debug == "" {
		return nil
	}
	e.debug, err = e.base.ServeHTTP(cfg.Debug, DebugHandler(e.server.Ready, "entry", e.server.Vars()), nil)
	return err
}

// inFlight is called by the control client, which exists before the server.
func (e *Entry) inFlight() []*pb.InFlight {
	if e.server == nil {
		return nil
	}
	return e.server.InFlight()
}

// Ready reports whether the entry serves with a configuration in force.
func (e *Entry) Ready() bool {
	return e.control.Serving() && e.control.Config() != nil
}

// Shutdown reports not ready, finishes the requests in flight and stops. When
// ctx ends first, the requests that still run are cut off.
func (e *Entry) Shutdown(ctx context.Context) error {
	err := e.server.Drain(ctx)
	e.base.Recorder.Record(&pb.Event{Kind: "process.drained"})
	if shutdownErr := e.callers.Shutdown(ctx); err == nil {
		err = shutdownErr
	}
	e.Kill()
	return err
}

// Kill stops the entry at once; requests in flight are cut off.
func (e *Entry) Kill() {
	if e.cancel != nil {
		e.cancel()
	}
	for _, s := range []*HTTPServer{e.callers, e.announcements, e.debug} {
		if s != nil {
			_ = s.srv.Close()
		}
	}
	e.pools.Close()
	e.base.Sessions.Close()
	e.wg.Wait()
}

// engines shares one HTTP client among the adapters of all engines.
type engines struct {
	client *http.Client
	mu     sync.Mutex
	byURL  map[string]upstream.Engine
}

func newEngines() *engines {
	return &engines{client: newEngineClient(), byURL: map[string]upstream.Engine{}}
}

func (s *engines) get(url string) upstream.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byURL[url]
	if !ok {
		e = upstream.NewHTTPEngine(url, s.client)
		s.byURL[url] = e
	}
	return e
}
