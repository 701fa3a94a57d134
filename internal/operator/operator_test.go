package operator

import (
	"bytes"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/replica"
)

const routeFile = `{"name": "draft", "path": "/a", "service": "draftwell", "region": "dohoku"}`

func startControl(t *testing.T, ttl time.Duration) string {
	t.Helper()
	srv, err := control.New(control.Options{ServingTTL: ttl, Validate: func(r *pb.Route) []*pb.Finding {
		if strings.HasPrefix(r.Path, "/") {
			return nil
		}
		return []*pb.Finding{{Field: "put_route.path", Message: "must begin with a slash"}, {Field: "put_route.region", Message: "is empty"}}
	}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, srv.Close()) })
	_, h := srv.OperatorHandler()
	hs := httptest.NewServer(h)
	t.Cleanup(hs.Close)
	return strings.TrimPrefix(hs.URL, "http://")
}

// run runs gwctl and returns the exit code and both outputs.
func run(stdin string, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against a change that prints no diff, a refusal that omits findings, a
// change that overwrites a concurrent one, and exit codes that do not
// distinguish these cases.
func TestChangesAndExitCodes(t *testing.T) {
	t.Setenv("GWCTL_ADDRESS", startControl(t, 50*time.Millisecond))
	code, out, errs := run(routeFile, "route", "put", "-f", "-", "--dry-run")
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out, `+   "path": "/a"`)
	code, out, _ = run("", "route", "list")
	require.Equal(t, ExitOK, code)
	require.NotContains(t, out, "draft", "a dry run must not change anything")

	code, out, errs = run(routeFile, "route", "put", "-f", "-", "--operator", "hana")
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out, "version 1 is in force")
	code, out, _ = run(strings.Replace(routeFile, "/a", "/b", 1), "route", "diff", "-f", "-")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `-   "path": "/a"`)

	code, _, errs = run(strings.Replace(routeFile, "/a", "b", 1), "route", "put", "-f", "-")
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, errs, "put_route.path: must begin with a slash")
	require.Contains(t, errs, "put_route.region: is empty")

	code, _, errs = run("", "place", "drain", "otaru-b")
	require.Equal(t, ExitOK, code, errs)
	code, _, errs = run("", "place", "return", "otaru-b", "--base-version", "1")
	require.Equal(t, ExitConflict, code)
	require.Contains(t, errs, "drain place otaru-b")
	code, _, _ = run("", "place", "return", "otaru-b")
	require.Equal(t, ExitOK, code)
	code, _, _ = run("", "place", "return", "otaru-b")
	require.Equal(t, ExitInvalid, code)

	code, out, _ = run("", "config", "history", "--route", "draft")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "hana")
	code, _, _ = run("", "route", "cutover", "draft", "--to", "chem-llm")
	require.Equal(t, ExitOK, code)
	code, out, _ = run("", "route", "cutover", "draft")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "from draftwell to chem-llm: 0 requests remain")
	code, out, _ = run("", "route", "get", "draft", "-o", "json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `"service": "chem-llm"`)

	code, _, _ = run("", "route", "frobnicate")
	require.Equal(t, ExitUsage, code)
	code, _, _ = run("", "--help")
	require.Equal(t, ExitOK, code)
	code, out, errs = run("", "--version")
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out+errs, "gwctl ")
	require.NotContains(t, out+errs, "usage")
	code, _, errs = run(`{"nam": "x"}`, "route", "put", "-f", "-")
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, errs, "reading route from standard input")
	code, _, errs = run("", "-a", "192.0.2.1:1", "route", "list")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errs, "plaintext")
}

// Guards against success when no control member is reachable, and against a
// change that was not confirmed in time and is applied twice when repeated.
func TestUnavailableAndUnconfirmed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := l.Addr().String()
	require.NoError(t, l.Close())
	code, _, _ := run("", "-a", closedAddr, "--timeout", "300ms", "route", "list")
	require.Equal(t, ExitUnavailable, code)

	// For at least one ServingTTL after its election, a leader cannot confirm
	// that a change is in force.
	addr := startControl(t, 2*time.Second)
	args := []string{"-a", closedAddr + "," + addr, "--request-id", "r-1", "route", "put", "-f", "-"}
	code, _, errs := run(routeFile, append([]string{"--timeout", "700ms"}, args...)...)
	require.Equal(t, ExitUnconfirmed, code)
	require.Contains(t, errs, "version 1 is accepted and not yet confirmed")
	require.Contains(t, errs, "--request-id r-1")
	code, out, errs := run(routeFile, args...)
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out, "version 1 is in force")
}

// Guards against an incomplete membership change that does not say what is
// missing, and against an error that names only one of several failed members.
func TestUnfinishedMemberChangeSaysWhatIsMissing(t *testing.T) {
	cluster := &control.ClusterOptions{Dir: t.TempDir(), Start: replica.StartBootstrap, Members: map[uint64]string{1: "127.0.0.1:1"}, Tick: 10 * time.Millisecond}
	srv, err := control.New(control.Options{Cluster: cluster, Shards: 1})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, srv.Close()) })
	_, h := srv.OperatorHandler()
	hs := httptest.NewServer(h)
	t.Cleanup(hs.Close)
	t.Setenv("GWCTL_ADDRESS", strings.TrimPrefix(hs.URL, "http://"))
	code, _, errs := run("", "member", "add", "2", "127.0.0.1:1", "--timeout", "2s")
	require.Equal(t, ExitUnavailable, code)
	require.Contains(t, errs, "member 2 runs with --start join at 127.0.0.1:1")

	code, _, errs = run("", "-a", "127.0.0.1:1,127.0.0.1:2", "--timeout", "600ms", "member", "list")
	require.Equal(t, ExitUnavailable, code)
	require.Contains(t, errs, "127.0.0.1:1: ")
	require.Contains(t, errs, "127.0.0.1:2: ")
}
