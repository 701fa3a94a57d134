package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/settings"
)

// Guards against TLS files for announcements that are silently ignored because
// --upstream-listen is not set.
func TestUpstreamTLSNeedsItsListener(t *testing.T) {
	for _, listen := range []string{"", "127.0.0.1:8090"} {
		app := settings.NewApp(program, "")
		o := &options{}
		o.addFlags(app)
		args := []string{"--control-addrs", "127.0.0.1:7300", "--upstream-tls-cert", "missing.pem", "--upstream-tls-key", "missing.key"}
		if listen != "" {
			args = append(args, "--upstream-listen", listen)
		}
		_, err := app.Parse(args)
		require.NoError(t, err)
		l := &finding.List{}
		o.check(l)
		fields := map[string]bool{}
		for _, f := range l.Items() {
			fields[f.Field] = true
		}
		require.Equal(t, listen == "", fields["--upstream-listen"])
	}
}
