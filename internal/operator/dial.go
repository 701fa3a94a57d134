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
	// attemptPause is the wait between two attempts while a leader is elected.
	attemptPause = 200 * time.Millisecond
	dialTimeout  = 2 * time.Second
	// attemptTimeout bounds one attempt at one member, which may have gone
	// silent. It is longer than a change takes to come into force.
	attemptTimeout = 8 * time.Second
)

// tlsFlags secure the connection to the operators' service.
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
	app.Flag("tls-server-name", "Name expected in the control members' certificates, when not the address.").StringVar(&f.serverName)
	app.Flag("allow-plaintext", "Allow connections without TLS to other machines.").BoolVar(&f.plaintext)
}

// config returns nil when no TLS flag is set.
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

// ring tries the control members in turn and follows their hints at the leader.
type ring struct {
	client    *http.Client
	scheme    string
	addresses []string
	next      int
	// leader is the address that an error named, tried first.
	leader string
	// failures holds the last error of each member, for the final error.
	failures map[string]error
}

func newRing(addresses []string, cfg *tls.Config, operator string) *ring {
	t := &http.Transport{
		TLSClientConfig:   cfg,
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ForceAttemptHTTP2: cfg != nil,
	}
	r := &ring{client: &http.Client{Transport: &named{next: t, operator: operator}}, scheme: "http", addresses: addresses, failures: map[string]error{}}
	if cfg != nil {
		r.scheme = "https"
	}
	return r
}

// named adds the operator's name to every request.
type named struct {
	next     http.RoundTripper
	operator string
}

// RoundTrip implements http.RoundTripper.
func (n *named) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(control.OperatorHeader, n.operator)
	return n.next.RoundTrip(req)
}

func (r *ring) current() godwitwardv1connect.OperatorServiceClient {
	return r.at(r.target())
}

// target returns the address that is tried next.
func (r *ring) target() string {
	if r.leader != "" {
		return r.leader
	}
	return r.addresses[r.next%len(r.addresses)]
}

// explain adds the last errors of the other members to err.
func (r *ring) explain(err error) error {
	if err == nil || len(r.failures) < 2 {
		return err
	}
	var others []string
	for _, address := range slices.Sorted(maps.Keys(r.failures)) {
		others = append(others, address+": "+r.failures[address].Error())
	}
	return errors.Wrapf(err, "no member could serve the call (%s)", strings.Join(others, "; "))
}

func (r *ring) at(address string) godwitwardv1connect.OperatorServiceClient {
	return godwitwardv1connect.NewOperatorServiceClient(r.client, r.scheme+"://"+address)
}

// moved chooses the next member after an error and reports whether the error
// named the leader.
func (r *ring) moved(err error) bool {
	var e *connect.Error
	if errors.As(err, &e) {
		if leader := e.Meta().Get(control.LeaderAddressHeader); leader != "" && leader != r.leader {
			r.leader = leader
			return true
		}
	}
	r.leader = ""
	r.next++
	return false
}

// retry repeats a call until it succeeds, ctx ends, or it fails for a reason
// that another member cannot change. The call must be safe to repeat.
func retry[T any](ctx context.Context, r *ring, call func(context.Context, godwitwardv1connect.OperatorServiceClient) (T, error)) (T, error) {
	for {
		address := r.target()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		res, err := call(attempt, r.at(address))
		cancel()
		if err == nil || !repeatable(err) {
			return res, err
		}
		r.failures[address] = err
		if ctx.Err() != nil {
			return res, r.explain(err)
		}
		if r.moved(err) {
			continue
		}
		if sleep(ctx, attemptPause) != nil {
			return res, r.explain(err)
		}
	}
}

// redirect repeats a call only after an answer that proves that it had no
// effect.
func redirect[T any](ctx context.Context, r *ring, call func(context.Context, godwitwardv1connect.OperatorServiceClient) (T, error)) (T, error) {
	for {
		res, err := call(ctx, r.current())
		if connect.CodeOf(err) != connect.CodeFailedPrecondition || ctx.Err() != nil {
			return res, err
		}
		if !r.moved(err) && sleep(ctx, attemptPause) != nil {
			return res, err
		}
	}
}

func repeatable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeFailedPrecondition, connect.CodeUnknown, connect.CodeAborted,
		connect.CodeDeadlineExceeded:
		return true
	}
	return false
}

// codeOf returns the exit code of an error without an outcome.
func codeOf(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound:
		return ExitInvalid
	}
	return ExitUnavailable
}
