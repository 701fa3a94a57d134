package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/dev"
)

const (
	memberCount  = 3
	startTimeout = 30 * time.Second
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "godwitward-bin")
	if err == nil {
		binaries = dir
		out, buildErr := exec.Command("go", "build", "-o", dir,
			"godwitward.example/godwitward/cmd/gw-control", "godwitward.example/godwitward/cmd/gw-scheduler",
			"godwitward.example/godwitward/cmd/gw-entry", "godwitward.example/godwitward/cmd/gw-standin",
			"godwitward.example/godwitward/cmd/gwctl", "godwitward.example/godwitward/cmd/gw-timeline").CombinedOutput()
		if buildErr != nil {
			err = errors.Wrap(buildErr, string(out))
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "building the programs:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one program under test.
type process struct {
	cmd     *exec.Cmd
	done    chan struct{}
	logFile string
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// cluster is a system of separate processes. Its address lists hold one address
// per control member or entry.
type cluster struct {
	t             testing.TB
	dir           string
	sessionAddrs  []string
	operatorAddrs []string
	controls      []*process
	entryAddrs    []string
	processes     []*process
}

func freeAddr(t testing.TB) string {
	for range 1000 {
		port := minFreePort + rand.IntN(maxFreePort-minFreePort)
		if _, taken := allocatedPorts.LoadOrStore(port, true); taken {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// Ports are chosen below the kernel's ephemeral range. An ephemeral port could be
// taken by an outgoing connection or a listener on port 0 between its choice and
// the start of the daemon, which would then fail to listen.
const (
	minFreePort = 12000
	maxFreePort = 32000
)

// allocatedPorts are the ports that freeAddr has already tried or returned.
var allocatedPorts sync.Map

// Guards against a daemon that cannot listen because the kernel has given its port
// to an outgoing connection: a cluster that starts without one of its three members
// loses its majority with the next failure.
func TestFreeAddrAvoidsEphemeralPorts(t *testing.T) {
	seen := map[string]bool{}
	for range 50 {
		addr := freeAddr(t)
		require.False(t, seen[addr], "address returned twice")
		seen[addr] = true
		_, text, err := net.SplitHostPort(addr)
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		require.Less(t, port, 32768, "within the kernel's default ephemeral port range")
	}
}

func (c *cluster) start(name, program string, args ...string) *process {
	c.t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{}), logFile: filepath.Join(c.dir, name+".log")}
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	require.NoError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	c.processes = append(c.processes, p)
	return p
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	t.Cleanup(c.close)
	for range memberCount {
		c.sessionAddrs = append(c.sessionAddrs, freeAddr(t))
		c.operatorAddrs = append(c.operatorAddrs, freeAddr(t))
		c.controls = append(c.controls, nil)
	}
	for i := range memberCount {
		c.startControl(i, "found")
	}
	return c
}

func (c *cluster) close() {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if !c.t.Failed() {
		return
	}
	for _, p := range c.processes {
		data, _ := os.ReadFile(p.logFile)
		lines := strings.Split(string(data), "\n")
		c.t.Logf("%s, last lines:\n%s", filepath.Base(p.logFile), strings.Join(lines[max(0, len(lines)-15):], "\n"))
	}
}

func (c *cluster) startControl(i int, mode string) {
	var list []string
	for j, addr := range c.sessionAddrs {
		list = append(list, fmt.Sprintf("%d=%s", j+1, addr))
	}
	c.controls[i] = c.start(fmt.Sprintf("control-%d", i+1), "gw-control", "--id", fmt.Sprintf("control-%d", i+1),
		"--member-id", fmt.Sprint(i+1), "--listen", c.sessionAddrs[i], "--operator-listen", c.operatorAddrs[i],
		"--data-dir", filepath.Join(c.dir, fmt.Sprintf("data-%d", i+1)), "--members", strings.Join(list, ","), "--start", mode)
}

func (c *cluster) startScheduler(name string) *process {
	return c.start(name, "gw-scheduler", "--id", name, "--region", dev.Region, "--sessions", freeAddr(c.t), "--debug", "",
		"--control-addrs", strings.Join(c.sessionAddrs, ","))
}

func (c *cluster) startEntry(name string) *process {
	addr := freeAddr(c.t)
	c.entryAddrs = append(c.entryAddrs, addr)
	return c.start(name, "gw-entry", "--id", name, "--listen", addr, "--sessions", freeAddr(c.t), "--debug", "",
		"--control-addrs", strings.Join(c.sessionAddrs, ","), "--drain-delay", "200ms")
}

func (c *cluster) startUpstream(role, service string, n int, args ...string) (addr string, p *process) {
	addr = freeAddr(c.t)
	id := fmt.Sprintf("%s-%s-%d", service, role, n)
	allArgs := []string{"--id", id, "--service", service, "--role", role, "--region", dev.Region, "--listen", addr}
	for _, e := range c.entryAddrs {
		allArgs = append(allArgs, "--entry", "http://"+e)
	}
	return addr, c.start(id, "gw-standin", append(allArgs, args...)...)
}

// callLeader calls f with a client of each member in turn until a call succeeds.
// Followers reject the calls.
func (c *cluster) callLeader(timeout time.Duration, f func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var err error
	for {
		for _, addr := range c.operatorAddrs {
			callCtx, callCancel := context.WithTimeout(ctx, 10*time.Second)
			err = f(callCtx, godwitwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+addr))
			callCancel()
			if err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "no member answered as leader within the timeout")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// applyChange applies a change to the current version and retries it with the same
// request id until it has an outcome.
func (c *cluster) applyChange(id string, set func(*pb.ConfigChange)) (version uint64, err error) {
	change := &pb.ConfigChange{RequestId: id}
	set(change)
	err = c.callLeader(startTimeout, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
		current, err := s.GetConfig(ctx, connect.NewRequest(&pb.GetConfigRequest{}))
		if err != nil {
			return err
		}
		if change.BaseVersion == 0 {
			change.BaseVersion = current.Msg.Config.GetVersion()
		}
		resp, err := s.ChangeConfig(ctx, connect.NewRequest(&pb.ChangeConfigRequest{Change: change}))
		if err != nil {
			return err
		}
		if resp.Msg.Outcome.Code != pb.ChangeOutcome_ACCEPTED {
			return errors.Errorf("outcome %v", resp.Msg.Outcome)
		}
		version = resp.Msg.Outcome.Version
		return nil
	})
	return version, err
}

func (c *cluster) putRoute(id string, r *pb.Route) uint64 {
	c.t.Helper()
	v, err := c.applyChange(id, func(ch *pb.ConfigChange) { ch.Change = &pb.ConfigChange_PutRoute{PutRoute: r} })
	require.NoError(c.t, err)
	return v
}

func (c *cluster) putDefaultRoutes() {
	c.t.Helper()
	for i, r := range dev.DefaultRoutes() {
		c.putRoute(fmt.Sprintf("default-%d", i), r)
	}
}

// waitForLive waits until the schedulers know exactly n live upstreams.
func (c *cluster) waitForLive(n int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		live := 0
		err := c.callLeader(time.Second, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
			resp, err := s.ListUpstreams(ctx, connect.NewRequest(&pb.ListUpstreamsRequest{}))
			if err != nil {
				return err
			}
			live = 0
			for _, p := range resp.Msg.Pools {
				for _, u := range p.Upstreams {
					if u.Health == pb.UpstreamStatus_LIVE {
						live++
					}
				}
			}
			return nil
		})
		return err == nil && live == n
	}, startTimeout, 100*time.Millisecond, "the schedulers do not know the expected number of live upstreams")
}

// leader returns the index of the leader of the configuration group.
func (c *cluster) leader() int {
	c.t.Helper()
	leader := -1
	require.NoError(c.t, c.callLeader(startTimeout, func(ctx context.Context, s godwitwardv1connect.OperatorServiceClient) error {
		resp, err := s.ListMembers(ctx, connect.NewRequest(&pb.ListMembersRequest{}))
		if err != nil {
			return err
		}
		for _, m := range resp.Msg.Members {
			if m.Leader {
				leader = int(m.Id) - 1
				return nil
			}
		}
		return errors.New("no leader")
	}))
	return leader
}

// response is one HTTP response of an entry.
type response struct {
	status int
	body   []byte
}

func post(url, key string, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, err
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: time.Minute}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: out}, err
}
