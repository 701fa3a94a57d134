package daemon

import (
	"crypto/tls"

	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/route"
	"godwitward.example/godwitward/internal/transport"
)

// ControlConfig holds the settings of a control process.
type ControlConfig struct {
	Self *pb.Hello
	// Sessions is the listen address for other daemons, Operators that of the
	// operator service and of health and metrics.
	Sessions    string
	Operators   string
	ServerTLS   *tls.Config
	ClientTLS   *tls.Config
	OperatorTLS *tls.Config
	Logger      *log.Logger
	// Store and Cluster hold the member's own settings. StartControl fills in
	// the rest (identity, addresses, TLS, clock, recorder, logger, validation).
	Store   control.Options
	Cluster control.ClusterOptions
}

// Control is a running control process.
type Control struct {
	// Addr is the bound address for daemons, OperatorAddr that for operators.
	Addr         string
	OperatorAddr string

	base           *Base
	server         *control.Server
	operatorServer *HTTPServer
}

// StartControl starts a control member, which runs until Close.
func StartControl(cfg ControlConfig) (*Control, error) {
	c := &Control{base: NewBase(cfg.Self, cfg.Logger, cfg.ServerTLS, cfg.ClientTLS, transport.Options{})}
	server, err := control.New(c.storeOptions(cfg))
	if err != nil {
		return nil, errors.Wrap(err, "starting the control store")
	}
	c.server = server
	server.Register(c.base.Sessions)
	if err := c.listen(cfg); err != nil {
		_ = c.Close()
		return nil, err
	}
	c.base.Recorder.Record(&pb.Event{Kind: "process.started"}, "sessions", c.Addr, "operators", c.OperatorAddr)
	return c, nil
}

func (c *Control) storeOptions(cfg ControlConfig) control.Options {
	cluster := cfg.Cluster
	cluster.Self = cfg.Self
	cluster.TLS = cfg.ClientTLS
	cluster.Clock = c.base.Recorder.Clock()
	cluster.Logger = cfg.Logger
	opts := cfg.Store
	opts.OperatorAddress = cfg.Operators
	if opts.Address == "" {
		opts.Address = cfg.Sessions
	}
	opts.Cluster = &cluster
	opts.ValidateChange = validateChange
	opts.Self = cfg.Self
	opts.TLS = cfg.ClientTLS
	opts.Recorder = c.base.Recorder
	opts.Logger = cfg.Logger
	return opts
}

func validateChange(current *pb.Config, change *pb.ConfigChange) []*pb.Finding {
	var out []*pb.Finding
	for _, f := range route.ValidateChange(current, change).Items() {
		out = append(out, &pb.Finding{Field: f.Field, Message: f.Message})
	}
	return out
}

func (c *Control) listen(cfg ControlConfig) (err error) {
	if c.Addr, err = c.base.ServeSessions(cfg.Sessions); err != nil {
		return err
	}
	router := chi.NewRouter()
	path, handler := c.server.OperatorHandler()
	router.Mount(path, handler)
	router.Mount("/", DebugHandler(c.server.Ready, "control", c.server.Vars()))
	if c.operatorServer, err = c.base.ServeHTTP(cfg.Operators, router, cfg.OperatorTLS); err != nil {
		return err
	}
	c.OperatorAddr = c.operatorServer.Addr
	return nil
}

// Close stops the member.
func (c *Control) Close() error {
	err := c.server.Close()
	if c.operatorServer != nil {
		c.operatorServer.Close()
	}
	c.base.Sessions.Close()
	c.base.Recorder.Record(&pb.Event{Kind: "process.stopped"})
	return err
}
