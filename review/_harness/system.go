package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// wireFile holds the names of the platform's wire, which Go files outside platform/ must not
// contain.
//
//go:embed wire.json
var wireFile []byte

//go:embed settings.tmpl
var settingsText string

var (
	wire             = map[string]string{}
	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
)

func init() {
	if err := json.Unmarshal(wireFile, &wire); err != nil {
		panic(err)
	}
}

var zones = []string{"sapporo-a", "otaru-b", "asahikawa-c", "obihiro-d"}

// recorder writes record.txt. Lines begin with the seconds since the start of the run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the system on a loopback address of its own.
type node struct {
	Name, Role, Class, Serves, IP, Zone, Seeds, Dir string
	Port, Control, Front, Ready                     int
	Bootstrap, Core                                 bool

	program, file, log string
	cmd                *exec.Cmd
	exited             chan struct{}
}

type system struct {
	rec          *recorder
	root, dir    string
	port         int
	cores, edges []*node
	version      int
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// failure ends a run that cannot be carried out.
type failure struct{ err error }

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func newSystem(rec *recorder, root, dir string, cores, edges int) *system {
	s := &system{rec: rec, root: root, dir: dir, port: freePort()}
	control, front, ready := freePort(), freePort(), freePort()
	octet := 20 + os.Getpid()%200
	ip := func(subnet, i int) string { return fmt.Sprintf("127.%d.%d.%d", octet, subnet, i+1) }
	var seeds []string
	for i := range min(3, cores) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip(1, i), control)))
	}
	add := func(class, role, serves, program string, i int) *node {
		subnet := 1
		if class == "edge" {
			subnet = 2
		}
		n := &node{Name: fmt.Sprintf("%s-%d", class, i), Role: role, Class: class, Serves: serves, IP: ip(subnet, i), Zone: zones[i%len(zones)],
			Seeds: strings.Join(seeds, ","), Port: s.port, Control: control, Front: front, Ready: ready, Bootstrap: true, Core: class == "core", program: program}
		n.Dir = filepath.Join(dir, n.Name)
		n.file, n.log = filepath.Join(dir, n.Name+".toml"), filepath.Join(dir, n.Name+".log")
		check(os.MkdirAll(n.Dir, 0o700))
		return n
	}
	for i := range cores {
		s.cores = append(s.cores, add("core", "control", "control_plane", "target/gw-core", i))
	}
	for i := range edges {
		s.edges = append(s.edges, add("edge", "entry", "edge", "target/gw-edge", i))
	}
	return s
}

func (s *system) start(n *node) {
	var b bytes.Buffer
	check(settingsTemplate.Execute(&b, n))
	check(os.WriteFile(n.file+".new", b.Bytes(), 0o600))
	check(os.Rename(n.file+".new", n.file))
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(s.root, n.program))
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GODWITWARD_NODE_FILE=" + n.file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.rec.add("start %s pid %d", n.Name, cmd.Process.Pid)
	// Only the first start of the whole system has it.
	n.Bootstrap = false
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// killAll kills nodes at the same moment.
func (s *system) killAll(nodes []*node) {
	for _, n := range nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range nodes {
		<-n.exited
		s.rec.add("killed %s", n.Name)
	}
}

func (s *system) startAll(nodes []*node) {
	for _, n := range nodes {
		s.start(n)
	}
}

func (s *system) stop() {
	for _, n := range append(append([]*node{}, s.cores...), s.edges...) {
		if n.cmd != nil && n.running() {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
}

func (s *system) control(i int) string {
	n := s.cores[i%len(s.cores)]
	return fmt.Sprintf("%s:%d", n.IP, n.Control)
}

func (s *system) front(i int) string {
	n := s.edges[i%len(s.edges)]
	return fmt.Sprintf("%s:%d", n.IP, n.Front)
}

func (s *system) ready(n *node) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", n.IP, n.Ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// post sends a JSON body and returns the status; 0 if there was no answer within a second.
func post(addr, path string, body any) (status int, answer []byte) {
	encoded, err := json.Marshal(body)
	check(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(encoded))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// put sends a configuration to the core daemons in turn until one acknowledges it.
func (s *system) put(config map[string]any, timeout time.Duration) bool {
	s.version += 3
	config["version"] = s.version
	for i, until := 0, time.Now().Add(timeout); time.Now().Before(until); i++ {
		if status, _ := post(s.control(i), wire["put"], config); status == http.StatusOK {
			s.rec.add("config %d acknowledged by %s", s.version, s.cores[i%len(s.cores)].Name)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func plainConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 100,
			"priority": 2, "service": "orderdesk", "maxAttempts": attempts, "sessionAffinity": false, "resumable": false}
	}
	return map[string]any{
		"routes":   []any{route("commit", "/commit/", "non_idempotent", 2), route("peek", "/peek/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "orderdesk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// boot starts all processes and waits until all edges are ready.
func (s *system) boot(config map[string]any) {
	s.startAll(s.cores)
	s.startAll(s.edges)
	if !s.put(config, 25*time.Second) {
		check(fmt.Errorf("no configuration was acknowledged"))
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range s.edges {
			all = all && s.ready(n)
		}
		if all {
			return
		}
		if time.Now().After(until) {
			check(fmt.Errorf("the edges are not ready"))
		}
	}
}
