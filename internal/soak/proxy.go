package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// proxy forwards TCP connections to one runner and injects network faults.
type proxy struct {
	listener net.Listener
	// target is the address of the runner, a string.
	target atomic.Value
	// delayNanos is the delay of each forwarded chunk, in nanoseconds.
	delayNanos atomic.Int64
	// dropResponses discards all data sent by the runner.
	dropResponses atomic.Bool
	// endsWithTarget closes the listener once the runner no longer listens.
	endsWithTarget bool
	// targetKilled is set before the runner is killed. The kernel may end the connections of
	// a killed process before its listener.
	targetKilled atomic.Bool

	mu    sync.Mutex
	conns map[*proxyConn]struct{}
	// cuts holds how sources are cut off, by address.
	cuts map[string]faultKind
}

// proxyConn is one forwarded connection with its two ends.
type proxyConn struct {
	cutState
	client, runner net.Conn
	// blackholed discards the data of both directions and keeps the connection
	// open.
	blackholed atomic.Bool
	// responsesLost is set once data from the runner was discarded. A TCP connection that
	// lost data delivers nothing that comes after it.
	responsesLost atomic.Bool
}

func newProxy(listen, target string, endsWithTarget bool) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, endsWithTarget: endsWithTarget, conns: map[*proxyConn]struct{}{}, cuts: map[string]faultKind{}}
	p.target.Store(target)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	runner, err := net.DialTimeout("tcp", p.target.Load().(string), time.Second)
	if err != nil {
		p.endWithTarget()
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxyConn{cutState: newCutState(client), client: client, runner: runner}
	if !p.add(c) {
		c.reset()
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(c, runner, client, false, done)
	go p.copy(c, client, runner, true, done)
	<-done
	p.endWithTarget()
	_ = client.Close()
	_ = runner.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// endWithTarget closes the listener if the runner has ended. It is called before a
// connection is closed, so that what the runner's connections tell is in time.
func (p *proxy) endWithTarget() {
	if !p.endsWithTarget {
		return
	}
	if p.targetKilled.Load() {
		_ = p.listener.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", p.target.Load().(string), time.Second)
	if err != nil {
		_ = p.listener.Close()
		return
	}
	_ = conn.Close()
}

func (p *proxy) copy(c *proxyConn, to io.Writer, from io.Reader, fromRunner bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && (c.blackholed.Load() || fromRunner && p.dropResponses.Load()) {
			c.responsesLost.Store(c.responsesLost.Load() || fromRunner)
		} else if delivered := c.waitForPackets(); n > 0 && !delivered && !fromRunner {
			c.reset()
			return
		} else if n > 0 && !(fromRunner && c.responsesLost.Load()) {
			time.Sleep(time.Duration(p.delayNanos.Load()))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if fromRunner && errors.Is(err, syscall.ECONNRESET) {
				_ = c.client.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

// reset closes all open connections with a TCP reset towards the client.
func (p *proxy) reset() {
	p.forEach((*proxyConn).reset)
}

func (c *proxyConn) reset() {
	c.ended.Store(true)
	_ = c.client.(*net.TCPConn).SetLinger(0)
	_ = c.client.Close()
	_ = c.runner.Close()
}

// blackhole makes the open connections discard all data; new ones work.
func (p *proxy) blackhole() { p.forEach(func(c *proxyConn) { c.blackholed.Store(true) }) }

func (p *proxy) forEach(f func(*proxyConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}
