package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/finding"
)

// TLS names the certificate and key files for one kind of connection.
type TLS struct {
	// Cert and Key are PEM files of this process's certificate.
	Cert string
	Key  string
	// CA is a PEM file with the certificate authorities that peers' certificates
	// must chain to. On a listener it makes client certificates mandatory.
	CA string
	// flagPrefix is the prefix of the flag names, used in findings.
	flagPrefix string
}

// AddFlags adds the flags --<prefix>-tls-cert, --<prefix>-tls-key and
// --<prefix>-tls-ca. purpose completes their help texts, for example "sessions
// between daemons".
func (t *TLS) AddFlags(app *kingpin.Application, prefix, purpose string) {
	t.flagPrefix = prefix
	app.Flag(prefix+"-tls-cert", "PEM file with the certificate for "+purpose+".").StringVar(&t.Cert)
	app.Flag(prefix+"-tls-key", "PEM file with the private key for "+purpose+".").StringVar(&t.Key)
	app.Flag(prefix+"-tls-ca", "PEM file with the certificate authorities that peers' certificates must chain to, for "+purpose+".").StringVar(&t.CA)
}

// Enabled reports whether any of the files is set.
func (t *TLS) Enabled() bool {
	return t.Cert != "" || t.Key != "" || t.CA != ""
}

// Check adds findings about files that are missing or cannot be parsed. mutual
// means that peers authenticate each other, which needs all three files. Without
// TLS, listen must be empty or a loopback address unless allowPlainText is set.
func (t *TLS) Check(l *finding.List, listen string, mutual, allowPlainText bool) {
	flag := "--" + t.flagPrefix + "-tls"
	if !t.Enabled() {
		if listen != "" && !IsLoopback(listen) && !allowPlainText {
			l.Addf(flag+"-cert", "needed because %s is not a loopback address; --allow-plain-text turns this check off", listen)
		}
		return
	}
	if (t.Cert == "") != (t.Key == "") {
		l.Addf(flag+"-cert", "certificate and key must be given together")
	}
	if mutual && (t.Cert == "" || t.CA == "") {
		l.Addf(flag+"-ca", "certificate, key and authorities are all needed because peers authenticate each other")
	}
	if _, err := t.Server(); err != nil {
		l.Addf(flag, "%v", err)
	}
}

// Server returns the configuration of a listener, nil when TLS is off.
func (t *TLS) Server() (*tls.Config, error) {
	cfg, err := t.loadConfig()
	if cfg == nil || err != nil {
		return nil, err
	}
	if t.CA != "" {
		cfg.ClientCAs = cfg.RootCAs
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// Client returns the configuration for dialing, nil when TLS is off.
func (t *TLS) Client() (*tls.Config, error) {
	return t.loadConfig()
}

func (t *TLS) loadConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if t.Cert != "" && t.Key != "" {
		pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return nil, errors.Wrap(err, "loading certificate")
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if t.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Wrap(err, "reading authorities")
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", t.CA)
	}
	return cfg, nil
}

// LoadTLS stores the configuration of t for a listener in server and that for
// dialing in client. Either target may be nil.
func LoadTLS(t *TLS, server, client **tls.Config) error {
	if server != nil {
		cfg, err := t.Server()
		if err != nil {
			return err
		}
		*server = cfg
	}
	if client == nil {
		return nil
	}
	cfg, err := t.Client()
	*client = cfg
	return err
}
