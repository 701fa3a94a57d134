package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes the connections to one runner on and disturbs them on command.
type proxy struct {
	listener net.Listener
	target   string
	// delay is added to each piece of data, in nanoseconds.
	delay atomic.Int64
	// oneWay drops what the runner sends.
	oneWay atomic.Bool

	mu    sync.Mutex
	conns map[*pair]struct{}
}

// pair is one connection with its two sides.
type pair struct {
	near, far net.Conn
	// silent swallows all data from now on, without an end.
	silent atomic.Bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*pair]struct{}{}}
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(c, far, near, false, done)
	go p.copy(c, near, far, true, done)
	<-done
	_ = near.Close()
	_ = far.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) copy(c *pair, to io.Writer, from io.Reader, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() && !(back && p.oneWay.Load()) {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.each(func(c *pair) {
		_ = c.near.(*net.TCPConn).SetLinger(0)
		_ = c.near.Close()
		_ = c.far.Close()
	})
}

// silence makes the open connections swallow everything; new ones work.
func (p *proxy) silence() { p.each(func(c *pair) { c.silent.Store(true) }) }

func (p *proxy) each(f func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		f(c)
	}
}
