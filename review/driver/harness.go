package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// Bounds of the small installations, as their settings state them.
const (
	contactTime = 3 * time.Second
	catchUpTime = 4 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	recoverTime = 12 * time.Second
	// reportInterval is the heartbeat interval of runners.
	reportInterval = 1200 * time.Millisecond
	// operatorTimeout is how long an operator waits for an answer.
	operatorTimeout = time.Second
	seedCount       = 3
	faultTolerance  = 2
	// margin is added to bounds, for the clock readings of the stand-ins.
	margin = 100 * time.Millisecond
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is one process of the system.
type daemon struct {
	node     standin.NodeFile
	program  string
	nodeFile string
	logFile  string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// system is a small installation on loopback addresses.
type system struct {
	rec   *recorder
	dir   string
	base  string
	seeds []string
	ports struct{ session, control, front, ready int }

	mu    sync.Mutex
	all   []*daemon
	cores []*daemon
	edges []*daemon
}

// newSystem chooses addresses and free ports. base is the first half of the loopback
// addresses.
func newSystem(rec *recorder) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &system{rec: rec, dir: dir, base: fmt.Sprintf("127.%d.%d", 20+pid/250%200, pid%250)}
	for _, port := range []*int{&s.ports.session, &s.ports.control, &s.ports.front, &s.ports.ready} {
		l, err := net.Listen("tcp", s.ip(1)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	for i := range seedCount {
		s.seeds = append(s.seeds, s.ip(i+1))
	}
	return s, nil
}

func (s *system) ip(host int) string { return fmt.Sprintf("%s.%d", s.base, host) }

// addCore starts a core daemon with an empty disk.
func (s *system) addCore(bootstrap bool) (*daemon, error) {
	n := len(s.cores) + 1
	node := standin.NodeFile{
		Name: fmt.Sprintf("core-%d", n), IP: s.ip(n), Zone: fmt.Sprintf("zone-%d", n%3), SessionPort: s.ports.session, OperatorPort: s.ports.control,
		Seeds: s.seeds, Bootstrap: bootstrap, FaultTolerance: faultTolerance,
	}
	node.DataDir = filepath.Join(s.dir, node.Name)
	d := s.newDaemon(node, "target/gw-core")
	s.cores = append(s.cores, d)
	return d, s.startDaemon(d)
}

// addEdge starts an edge daemon.
func (s *system) addEdge() error {
	n := len(s.edges) + 1
	node := standin.NodeFile{
		Name: fmt.Sprintf("edge-%d", n), IP: s.ip(100 + n), Zone: fmt.Sprintf("zone-%d", n%3), SessionPort: s.ports.session, OperatorPort: s.ports.control,
		Seeds: s.seeds, Bootstrap: true, FaultTolerance: faultTolerance, CallerPort: s.ports.front, ReadinessPort: s.ports.ready,
	}
	d := s.newDaemon(node, "target/gw-edge")
	s.edges = append(s.edges, d)
	return s.startDaemon(d)
}

func (s *system) newDaemon(node standin.NodeFile, program string) *daemon {
	return &daemon{node: node, program: program, nodeFile: filepath.Join(s.dir, node.Name+".toml"), logFile: filepath.Join(s.dir, node.Name+".log")}
}

// startDaemon starts a process with the command of the deploy file; the platform names
// the settings file in the environment.
func (s *system) startDaemon(d *daemon) error {
	if d.node.DataDir != "" {
		if err := os.MkdirAll(d.node.DataDir, 0o700); err != nil {
			return err
		}
	}
	if err := d.node.Write(d.nodeFile); err != nil {
		return err
	}
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.program)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GODWITWARD_NODE_FILE="+d.nodeFile)
	// No process outlives the driver.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	d.cmd, d.ended = cmd, ended
	s.all = append(s.all, d)
	s.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.rec.logf("start %s at %s, pid %d, bootstrap %v", d.node.Name, d.node.IP, cmd.Process.Pid, d.node.Bootstrap)
	return nil
}

func (d *daemon) signal(sig syscall.Signal) {
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Signal(sig)
	}
}

// waitEnd reports whether the process has ended within a time.
func (d *daemon) waitEnd(within time.Duration) bool {
	select {
	case <-d.ended:
		return true
	case <-time.After(within):
		return false
	}
}

func (s *system) kill(d *daemon) {
	d.signal(syscall.SIGKILL)
	d.waitEnd(5 * time.Second)
	s.rec.logf("SIGKILL %s", d.node.Name)
}

// stop ends all processes. The folder with their logs is kept if REVIEW_KEEP is set.
func (s *system) stop() {
	s.mu.Lock()
	all := s.all
	s.mu.Unlock()
	for _, d := range all {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.waitEnd(5 * time.Second)
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs are in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

func (s *system) controlAddress(d *daemon) string {
	return fmt.Sprintf("%s:%d", d.node.IP, s.ports.control)
}

func (s *system) frontAddress(d *daemon) string {
	return fmt.Sprintf("%s:%d", d.node.IP, s.ports.front)
}

const (
	plainService  = "orderdesk"
	engineService = "draftwell"
)

// put sends a version of the configuration, in which a service has the plain routes, to
// some core daemons in turn until one acknowledges it, as an operator does.
func (s *system) put(version int, service string, cores []*daemon, within time.Duration) error {
	c := standin.Config{Version: version, PlainService: service, EngineService: engineService}
	last := errors.New("no core daemon was asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, d := range cores {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			last = c.Put(ctx, s.controlAddress(d))
			cancel()
			if last == nil {
				s.rec.logf("operator: configuration %d acknowledged by %s", version, d.node.Name)
				return nil
			}
		}
	}
	s.rec.logf("operator: configuration %d not acknowledged within %v, last answer: %v", version, within, last)
	return last
}

// read asks core daemons for the configuration and returns the version that one answers,
// 0 if none does.
func (s *system) read(cores []*daemon) int {
	for _, d := range cores {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		v, err := standin.ReadVersion(ctx, s.controlAddress(d))
		cancel()
		s.rec.logf("operator: read at %s: version %d, error %v", d.node.Name, v, err)
		if err == nil {
			return v
		}
	}
	return 0
}

// runner is a stand-in of a plain service with its reports.
type runner struct {
	*standin.Runner
	address string
	// stop ends the runner's reports.
	stop func()
}

// addRunner starts a runner of a plain service and sends its reports to a core daemon, and
// to the next one after a report without an acknowledgement.
func (s *system) addRunner(id, service string, first int, serviceTime time.Duration, onRun func(standin.Run)) (*runner, error) {
	l, err := net.Listen("tcp", s.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{Runner: &standin.Runner{
		ID: id, Service: service, ServiceTime: serviceTime, OnStart: onRun, OnArrival: func(standin.Run) {},
	}, address: l.Addr().String()}
	r.Start(l)
	r.stop = s.sendReports(r, first)
	return r, nil
}

// sendReports sends a runner's reports to a core daemon, and to the next one after a
// report without an acknowledgement, until the returned function is called.
func (s *system) sendReports(r *runner, first int) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for core := first; ctx.Err() == nil; {
			reportCtx, cancel := context.WithTimeout(ctx, time.Second)
			err := r.Report(reportCtx, s.controlAddress(s.cores[core%5]), r.address, "zone-0")
			cancel()
			if err != nil {
				core++
				continue
			}
			select {
			case <-ctx.Done():
			case <-time.After(reportInterval):
			}
		}
	}()
	return stop
}

// message is the text of a call to a core daemon, as a file holds it: method and path, and
// the body.
type message struct{ line, body string }

// readMessage reads a message from the case's folder and fills in its values.
func readMessage(file string, values any) (message, error) {
	t, err := template.ParseFiles(filepath.Join(os.Args[2], file))
	if err != nil {
		return message{}, err
	}
	var filled bytes.Buffer
	if err := t.Execute(&filled, values); err != nil {
		return message{}, err
	}
	line, body, _ := strings.Cut(strings.TrimSpace(filled.String()), "\n")
	return message{line, body}, nil
}

// pendingCall is a call to a core daemon on a connection that is open already.
type pendingCall struct {
	conn net.Conn
	text string
}

func (s *system) prepareCall(core *daemon, m message) (*pendingCall, error) {
	address := s.controlAddress(core)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &pendingCall{conn, fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", m.line, address, len(m.body), m.body)}, nil
}

// send returns the status of the answer.
func (c *pendingCall) send() (int, error) {
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c.conn, c.text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

// call sends one request on a connection of its own.
func (s *system) call(edge *daemon, path, id string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, s.frontAddress(edge), path, id, timeout)
	if err != nil {
		return answer{err: err}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// startUp starts five core daemons, edges, and the first configuration.
func (s *system) startUp(edges int) error {
	for range 5 {
		if _, err := s.addCore(true); err != nil {
			return err
		}
	}
	for range edges {
		if err := s.addEdge(); err != nil {
			return err
		}
	}
	return s.put(1, plainService, s.cores, 20*time.Second)
}

// reportedStart returns the start time that a runner states in its reports.
func reportedStart(r *runner) (int64, error) {
	var body struct {
		Born float64 `json:"born"`
	}
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		text, _ := io.ReadAll(req.Body)
		_ = json.Unmarshal(text, &body)
	}))
	defer srv.Close()
	err := r.Report(context.Background(), srv.Listener.Addr().String(), r.address, "zone-0")
	return int64(body.Born), err
}
