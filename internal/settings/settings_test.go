package settings

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/finding"
)

// Guards against reporting only the first of several invalid settings.
func TestAllFindingsAreReported(t *testing.T) {
	l := &finding.List{}
	p := &Process{VM: "VM 1", Place: "", Region: "dohoku"}
	p.Check(l, "gw-entry")
	CheckIPAddrs(l, "--control-addrs", []string{"localhost:1", "10.0.0.1"})
	(&TLS{flagPrefix: "caller"}).Check(l, "10.0.0.1:80", false, false)
	var out bytes.Buffer
	PrintFindings(&out, "gw-entry", l)
	for _, field := range []string{"--vm", "--place", "--control-addrs[0]", "--control-addrs[1]", "--caller-tls-cert"} {
		require.Contains(t, out.String(), "gw-entry: invalid setting: "+field+":")
	}
}

// Guards against flags that cannot be set by an environment variable.
func TestFlagsHaveEnvironmentVariables(t *testing.T) {
	t.Setenv("GODWITWARD_VM", "vm-7")
	app := NewApp("gw-test", "")
	p := &Process{}
	p.AddFlags(app)
	Parse(app, nil, nil)
	require.Equal(t, "vm-7", p.VM)
}

// Guards against daemons on several VMs with the same id, a scheduler without
// pools, and advertised addresses that other processes cannot dial.
func TestLocalDefaultsAreRejectedOutsideLoopback(t *testing.T) {
	for listen, want := range map[string]int{"127.0.0.1:7200": 0, "10.0.0.1:7200": 2} {
		l := &finding.List{}
		p := &Process{VM: "local", Place: "local", Region: "local"}
		p.Check(l, "gw-scheduler")
		p.CheckVM(l, listen)
		p.CheckRegion(l, listen)
		require.Len(t, l.Items(), want, listen)
	}
	for addr, want := range map[string]int{"10.0.0.1:7200": 0, "[::1]:7200": 0, "0.0.0.0:7200": 1, "[::]:7200": 1, ":7200": 1} {
		l := &finding.List{}
		CheckPeerAddr(l, "--sessions", addr)
		require.Len(t, l.Items(), want, addr)
	}
}

// Guards against metrics that are served without TLS outside loopback although
// plain text is not allowed.
func TestDebugListenerOutsideLoopbackNeedsAllowPlainText(t *testing.T) {
	for addr, want := range map[string][2]int{"": {0, 0}, "127.0.0.1:8180": {0, 0}, "10.0.0.1:8180": {1, 0}} {
		for i, allowed := range []bool{false, true} {
			l := &finding.List{}
			CheckDebugAddr(l, addr, allowed)
			require.Len(t, l.Items(), want[i], "%q, allowed %t", addr, allowed)
		}
	}
}
