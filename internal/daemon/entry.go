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
	"godwitward.example/godwitward/internal/budget"
	"godwitward.example/godwitward/internal/control/client"
	"godwitward.example/godwitward/internal/entry"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/internal/upstream"
)

const (
	// maxIdleConnsPerEngine is sized for a decode engine with about 20 requests,
	// each with a stream and additional short calls.
	maxIdleConnsPerEngine = 64
	// engineDialTimeout bounds the dial to an upstream. Places are only 0.5 ms
	// apart, so a longer wait means that packets are lost.
	engineDialTimeout = time.Second
	// stopTimeout bounds the wait for requests that Shutdown ends: their cancels at
	// engines and their records in the ledger.
	stopTimeout = 3 * time.Second
	// announcementMemoryShare and announcementDescriptorShare are the size of the budget for
	// announcements of upstreams, as parts of the memory and descriptors for which that for
	// callers is made.
	announcementMemoryShare     = 0.25
	announcementDescriptorShare = 0.5
)

// EntryConfig holds the settings of an entry process.
type EntryConfig struct {
	Self *pb.Hello
	// Listen is the listen address for callers, Sessions that for other daemons,
	// Debug that of health and metrics. With an empty Debug they are not served.
	Listen   string
	Sessions string
	Debug    string
	// Upstreams is the listen address for announcements of upstreams. When it is
	// empty, Listen accepts them, so callers could announce upstreams too.
	Upstreams string
	// ControlAddrs are the session addresses of the control members.
	ControlAddrs []string
	CallerTLS    *tls.Config
	UpstreamTLS  *tls.Config
	ServerTLS    *tls.Config
	ClientTLS    *tls.Config
	Limits       entry.Limits
	// MemoryBytes is the memory of the process, a part of which is the budget for what is held
	// for callers; 0 for no budget.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors of the process, a part of which is for
	// callers' connections; 0 for no limit.
	MaxDescriptors int
	// DrainDelay is how long a draining entry still accepts requests, until the
	// load balancer has noticed that it is not ready.
	DrainDelay time.Duration
	Logger     *log.Logger
}

// Entry is a running entry process.
type Entry struct {
	// Addr is the bound address for callers, SessionAddr that for daemons.
	Addr        string
	SessionAddr string

	base             *Base
	server           *entry.Server
	schedulerClients *entry.SchedulerClients
	control          *client.Client
	callerServer     *HTTPServer
	// announceServer is nil when callerServer accepts announcements.
	announceServer *HTTPServer
	debugServer    *HTTPServer
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// StartEntry starts an entry, which runs until Shutdown or Kill.
func StartEntry(cfg EntryConfig) (*Entry, error) {
	var sessions transport.Options
	sessions.LimitPeers(cfg.MemoryBytes)
	e := &Entry{base: NewBase(cfg.Self, cfg.Logger, cfg.ServerTLS, cfg.ClientTLS, sessions)}
	e.base.Memory = budget.New(cfg.MemoryBytes, cfg.MaxDescriptors)
	e.control = client.New(client.Options{
		Addrs: cfg.ControlAddrs, Self: cfg.Self, TLS: cfg.ClientTLS,
		Recorder: e.base.Recorder, Logger: cfg.Logger, InFlight: e.inFlight,
	})
	e.schedulerClients = entry.NewSchedulerClients(entry.SchedulerClientOptions{EntryID: cfg.Self.DaemonId, Lease: e.control.Lease, Transport: e.base.ClientOptions()})
	server, err := entry.New(entry.Options{
		ID: cfg.Self.DaemonId, Control: e.control, Schedulers: e.schedulerClients, Engine: newEngineCache().get,
		SeparateAnnouncements: cfg.Upstreams != "",
		Recorder:              e.base.Recorder, Logger: cfg.Logger, Limits: cfg.Limits, DrainDelay: cfg.DrainDelay,
	})
	if err != nil {
		return nil, errors.Wrap(err, "creating the entry")
	}
	e.server = server
	server.Vars().Set("callers", e.base.Memory.Vars())
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
	if e.callerServer, err = e.base.ServeHTTP(cfg.Listen, e.server.Handler(), cfg.CallerTLS); err != nil {
		return err
	}
	e.Addr = e.callerServer.Addr
	if cfg.Upstreams != "" {
		// Callers must not keep upstreams from announcing themselves: those that are silent
		// get no calls.
		memory := budget.New(int64(announcementMemoryShare*float64(cfg.MemoryBytes)), int(announcementDescriptorShare*float64(cfg.MaxDescriptors)))
		if e.announceServer, err = e.base.serveHTTP(cfg.Upstreams, e.server.AnnounceHandler(), cfg.UpstreamTLS, memory); err != nil {
			return err
		}
	}
	if cfg.Debug == "" {
		return nil
	}
	e.debugServer, err = e.base.ServeHTTP(cfg.Debug, DebugHandler(e.server.Ready, "entry", e.server.Vars()), nil)
	return err
}

// inFlight returns the requests in flight. The control client that calls it is
// created before the server, which may therefore be nil.
func (e *Entry) inFlight() []*pb.InFlight {
	if e.server == nil {
		return nil
	}
	return e.server.InFlight()
}

// Ready reports whether the entry holds a serving lease and has received a
// configuration.
func (e *Entry) Ready() bool {
	return e.control.Serving() && e.control.Config() != nil
}

// Shutdown makes the entry report not ready, still accepts requests for
// DrainDelay, waits for those in flight and stops the entry. When ctx ends first,
// the callers of the remaining requests are told whether those ran.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.callerServer.drainer.Start()
	err := e.server.Drain(ctx)
	if err != nil {
		// The requests are ended whatever the state of ctx.
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		ctx = stopCtx
		_ = e.server.Stop(stopCtx)
	}
	e.base.Recorder.Record(&pb.Event{Kind: "process.drained"})
	if shutdownErr := e.callerServer.Shutdown(ctx); err == nil {
		err = shutdownErr
	}
	e.Kill()
	return err
}

// Kill stops the entry at once and aborts the requests in flight.
func (e *Entry) Kill() {
	if e.cancel != nil {
		e.cancel()
	}
	for _, s := range []*HTTPServer{e.callerServer, e.announceServer, e.debugServer} {
		if s != nil {
			_ = s.srv.Close()
		}
	}
	e.schedulerClients.Close()
	e.base.Sessions.Close()
	e.wg.Wait()
}

// engineCache holds one upstream.Engine for each engine URL. All of them share
// one HTTP client.
type engineCache struct {
	client *http.Client
	mu     sync.Mutex
	byURL  map[string]upstream.Engine
}

func newEngineCache() *engineCache {
	return &engineCache{client: newEngineClient(), byURL: map[string]upstream.Engine{}}
}

func (c *engineCache) get(url string) upstream.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byURL[url]
	if !ok {
		e = upstream.NewHTTPEngine(url, c.client)
		c.byURL[url] = e
	}
	return e
}
