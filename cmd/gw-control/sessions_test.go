package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/api/godwitward/v1/godwitwardv1connect"
	"godwitward.example/godwitward/internal/control/client"
)

const (
	sessionCount        = 370
	idlePeriod          = 10 * time.Second
	clockTicksPerSecond = 100
)

func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	return l.Addr().String()
}

// startMember builds and starts the program and returns its process id.
func startMember(b *testing.B, listen, operators string) int {
	dir := b.TempDir()
	bin := filepath.Join(dir, program)
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(b, err, string(out))
	cmd := exec.Command(bin, "--member-id", "1", "--members", "1="+listen, "--listen", listen,
		"--operator-listen", operators, "--data-dir", filepath.Join(dir, "data"), "--start", "found")
	cmd.Stderr = os.Stderr
	require.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// usage returns the CPU time of a process, the number of bytes that it has read and
// written (by an idle member only on sockets), and its resident memory in MiB.
func usage(b *testing.B, pid int) (used time.Duration, transferred int, residentMiB float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	raw, err = os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	require.NoError(b, err)
	var read, written int
	_, err = fmt.Sscanf(string(raw), "rchar: %d\nwchar: %d", &read, &written)
	require.NoError(b, err)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, read + written, float64(pages*os.Getpagesize()) / (1 << 20)
}

// BenchmarkSessions measures the load of 370 idle daemon sessions on one member, and
// how long a configuration change takes to reach the last daemon.
func BenchmarkSessions(b *testing.B) {
	listen, operators := freeAddr(b), freeAddr(b)
	pid := startMember(b, listen, operators)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var applied atomic.Int64
	var clients []*client.Client
	for i := range sessionCount {
		c := client.New(client.Options{Addrs: []string{listen}, Self: &pb.Hello{DaemonId: fmt.Sprint("daemon-", i)}})
		c.OnConfig(func(*pb.Config) { applied.Add(1) })
		clients = append(clients, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = c.Run(ctx)
		}()
	}
	for _, c := range clients {
		require.Eventually(b, c.Serving, 30*time.Second, 10*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	cpuBefore, bytesBefore, _ := usage(b, pid)
	time.Sleep(idlePeriod)
	cpuAfter, bytesAfter, resident := usage(b, pid)

	op := godwitwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+operators)
	var untilLast, untilInForce time.Duration
	b.ResetTimer()
	for v := range uint64(b.N) {
		applied.Store(0)
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, err := op.ChangeConfig(ctx, connect.NewRequest(&pb.ChangeConfigRequest{Change: &pb.ConfigChange{
				RequestId: fmt.Sprint(v), BaseVersion: v,
				Change: &pb.ConfigChange_PutRoute{PutRoute: benchmarkRoute(v)},
			}}))
			if err != nil || !resp.Msg.InForce {
				b.Errorf("change %d: %v, %v", v, resp, err)
			}
		}()
		for applied.Load() < sessionCount && time.Since(start) < 10*time.Second {
			time.Sleep(100 * time.Microsecond)
		}
		untilLast += time.Since(start)
		<-done
		untilInForce += time.Since(start)
	}
	perSecond := func(n float64) float64 { return n / idlePeriod.Seconds() }
	b.ReportMetric(100*perSecond((cpuAfter-cpuBefore).Seconds()), "idle-cpu-%")
	b.ReportMetric(perSecond(float64(bytesAfter-bytesBefore))/sessionCount, "idle-B/s/daemon")
	b.ReportMetric(resident, "member-MiB")
	b.ReportMetric(float64(untilLast.Microseconds())/1000/float64(b.N), "ms-to-last-daemon")
	b.ReportMetric(float64(untilInForce.Microseconds())/1000/float64(b.N), "ms-to-in-force")
}

func benchmarkRoute(v uint64) *pb.Route {
	return &pb.Route{
		Name: "draft", Path: fmt.Sprint("/draft/", v), Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Service: "draftwell", Region: "dohoku",
		Models: []string{"m"}, RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT, MaxWaitMs: 1000,
	}
}
