package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control"
)

const (
	// retryDelay is the wait between two attempts, for example while a leader is
	// elected.
	retryDelay  = 200 * time.Millisecond
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds one call to one member, which may be unresponsive.
	// It is longer than a change takes to come into force.
	attemptTimeout = 8 * time.Second
)

// tlsFlags configure TLS for the connections to the operator service.
type tlsFlags struct {
	ca         string
	cert       string
	key        string
	serverName string
	plaintext  bool
}

func (f *tlsFlags) add(app *kingpin.Application) {
	app.Flag("tls-ca", "File with the certificates that sign the control members' certificates (PEM).").StringVar(&f.ca)
	app.Flag("tls-cert", "File with the operator's certificate (PEM).").StringVar(&f.cert)
	app.Flag("tls-key", "File with the operator's private key (PEM).").StringVar(&f.key)
	app.Flag("tls-server-name", "Host name expected in the control members' certificates; by default the host of the address.").StringVar(&f.serverName)
	app.Flag("allow-plaintext", "Allow connections without TLS to other machines.").BoolVar(&f.plaintext)
}

// config returns nil when no CA, certificate or key file is given.
func (f *tlsFlags) config() (*tls.Config, error) {
	if f.ca == "" && f.cert == "" && f.key == "" {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: f.serverName}
	if f.ca != "" {
		pem, err := os.ReadFile(f.ca)
		if err != nil {
			return nil, errors.Wrap(err, "reading --tls-ca")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--tls-ca: %s holds no certificate", f.ca)
		}
	}
	if (f.cert == "") != (f.key == "") {
		return nil, errors.New("--tls-cert and --tls-key must be given together")
	}
	if f.cert != "" {
		pair, err := tls.LoadX509KeyPair(f.cert, f.key)
		if err != nil {
			return nil, errors.Wrap(err, "reading --tls-cert and --tls-key")
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg, nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// controlClient calls the control members in turn, and the leader first once an
// error has named it.
type controlClient struct {
	httpClient *http.Client
	scheme     string
	addresses  []string
	// nextIndex modulo len(addresses) is the index of the address to call when
	// the leader is not known.
	nextIndex int
	// leaderAddress is the leader that the last error named, empty when unknown.
	leaderAddress string
	// lastErrors holds the last error by member address, for the final error.
	lastErrors map[string]error
}

func newControlClient(addresses []string, cfg *tls.Config, operator string) *controlClient {
	t := &http.Transport{
		TLSClientConfig:   cfg,
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ForceAttemptHTTP2: cfg != nil,
	}
	c := &controlClient{httpClient: &http.Client{Transport: &operatorTransport{base: t, operator: operator}}, scheme: "http", addresses: addresses, lastErrors: map[string]error{}}
	if cfg != nil {
		c.scheme = "https"
	}
	return c
}

// operatorTransport adds the operator's name to every request.
type operatorTransport struct {
	base     http.RoundTripper
	operator string
}

// RoundTrip implements http.RoundTripper.
func (t *operatorTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(control.OperatorHeader, t.operator)
	return t.base.RoundTrip(req)
}

func (c *controlClient) currentClient() godwitwardv1connect.OperatorServiceClient {
	return c.clientFor(c.targetAddress())
}

// targetAddress returns the address of the member to call next.
func (c *controlClient) targetAddress() string {
	if c.leaderAddress != "" {
		return c.leaderAddress
	}
	return c.addresses[c.nextIndex%len(c.addresses)]
}

// withMemberErrors adds the last error of each member to err when more than one
// member has failed.
func (c *controlClient) withMemberErrors(err error) error {
	if err == nil || len(c.lastErrors) < 2 {
		return err
	}
	var memberErrors []string
	for _, address := range slices.Sorted(maps.Keys(c.lastErrors)) {
		memberErrors = append(memberErrors, address+": "+c.lastErrors[address].Error())
	}
	return errors.Wrapf(err, "no member could serve the call (%s)", strings.Join(memberErrors, "; "))
}

func (c *controlClient) clientFor(address string) godwitwardv1connect.OperatorServiceClient {
	return godwitwardv1connect.NewOperatorServiceClient(c.httpClient, c.scheme+"://"+address)
}

// switchTarget selects the member for the next call after err: the leader that
// err names, unless it is already leaderAddress, else the next of addresses. It
// reports whether it selected a leader.
func (c *controlClient) switchTarget(err error) bool {
	var e *connect.Error
	if errors.As(err, &e) {
		if leader := e.Meta().Get(control.LeaderAddressHeader); leader != "" && leader != c.leaderAddress {
			c.leaderAddress = leader
			return true
		}
	}
	c.leaderAddress = ""
	c.nextIndex++
	return false
}

// retry repeats a call until it succeeds, ctx ends, or it fails with an error
// that every member would return. The call must be idempotent.
func retry[T any](ctx context.Context, c *controlClient, call func(context.Context, godwitwardv1connect.OperatorServiceClient) (T, error)) (T, error) {
	for {
		address := c.targetAddress()
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		res, err := call(attemptCtx, c.clientFor(address))
		cancel()
		if err == nil || !retryable(err) {
			return res, err
		}
		c.lastErrors[address] = err
		if ctx.Err() != nil {
			return res, c.withMemberErrors(err)
		}
		if c.switchTarget(err) {
			continue
		}
		if sleep(ctx, retryDelay) != nil {
			return res, c.withMemberErrors(err)
		}
	}
}

// retryIfNotExecuted is for calls that are not idempotent. It repeats the call
// only after FailedPrecondition, with which a member that is not the leader
// rejects a call without executing it.
func retryIfNotExecuted[T any](ctx context.Context, c *controlClient, call func(context.Context, godwitwardv1connect.OperatorServiceClient) (T, error)) (T, error) {
	for {
		res, err := call(ctx, c.currentClient())
		if connect.CodeOf(err) != connect.CodeFailedPrecondition || ctx.Err() != nil {
			return res, err
		}
		if !c.switchTarget(err) && sleep(ctx, retryDelay) != nil {
			return res, err
		}
	}
}

func retryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeFailedPrecondition, connect.CodeUnknown, connect.CodeAborted,
		connect.CodeDeadlineExceeded:
		return true
	}
	return false
}

// exitCode returns the exit code for an error when the command set none.
func exitCode(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound:
		return ExitInvalid
	}
	return ExitUnavailable
}
