package budget

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// filesShare is the part of the descriptors for files, listening sockets and the runtime,
	// sessionsShare that which only sessions between daemons may use: without sessions a
	// process has no configuration and no upstreams.
	filesShare    = 1.0 / 16
	sessionsShare = 1.0 / 16
	// freeTime limits the wait for the descriptor of a connection that was ended for another
	// one.
	freeTime = 100 * time.Millisecond
)

// ErrNoDescriptor means that a connection was not opened, because the process has no
// descriptor left for it. It tells nothing about the other side.
var ErrNoDescriptor = errors.New("no descriptor left for a connection")

// use is what a descriptor is taken for.
type use uint8

const (
	// useCaller: a connection to one of the listeners of Listen.
	useCaller use = iota
	// useUpstream: a connection that the process opens to an upstream.
	useUpstream
	// useSession: a session with another daemon, opened by either.
	useSession
	uses
)

// descriptors counts the open connections of a process, each until its descriptor is closed.
type descriptors struct {
	mu   sync.Mutex
	used [uses]int
	// total is the sum of used. max limits used, and maxTotal the total after a descriptor was
	// taken for a use.
	total         int
	max, maxTotal [uses]int
	// waiting is the number of calls of take that have found no descriptor.
	waiting int
	// freed is closed when a descriptor is given back.
	freed chan struct{}
}

// newDescriptors returns the descriptors of a process that may have n open, callers of them
// for its callers' connections.
func newDescriptors(n, callers int) *descriptors {
	all := n - int(filesShare*float64(n))
	shared := all - int(sessionsShare*float64(n))
	return &descriptors{
		max:      [uses]int{useCaller: callers, useUpstream: shared, useSession: all},
		maxTotal: [uses]int{useCaller: shared, useUpstream: shared, useSession: all},
		freed:    make(chan struct{}),
	}
}

// try takes a descriptor and reports whether there was one. If not, freed is closed when one
// is given back.
func (d *descriptors) try(u use) (ok bool, freed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.used[u] >= d.max[u] || d.total >= d.maxTotal[u] {
		return false, d.freed
	}
	d.used[u]++
	d.total++
	return true, nil
}

// full reports whether a use may have no more descriptors, however many others there are.
func (d *descriptors) full(u use) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used[u] >= d.max[u]
}

// wait adds n to the calls of take that have found no descriptor, and returns their number.
func (d *descriptors) wait(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting += n
	return d.waiting
}

func (d *descriptors) giveBack(u use) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used[u]--
	d.total--
	close(d.freed)
	d.freed = make(chan struct{})
}

// take takes a descriptor and returns the function that gives it back, once; nil if there is
// none. shed is called with the number of calls that need one, and reports whether as many
// connections are about to end, for which take waits for a short time.
func (d *descriptors) take(ctx context.Context, u use, shed func(need int) bool) (giveBack func()) {
	var timeout <-chan time.Time
	for {
		ok, freed := d.try(u)
		if ok {
			return sync.OnceFunc(func() { d.giveBack(u) })
		}
		if timeout == nil {
			need := d.wait(1)
			defer d.wait(-1)
			if !shed(need) {
				return nil
			}
			timer := time.NewTimer(freeTime)
			defer timer.Stop()
			timeout = timer.C
			continue
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil
		case <-timeout:
			return nil
		}
	}
}

// vars adds the descriptors in use and their limits to metrics.
func (d *descriptors) vars(m map[string]int64) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m["descriptors_callers"], m["descriptors_upstreams"], m["descriptors_sessions"] = int64(d.used[useCaller]), int64(d.used[useUpstream]), int64(d.used[useSession])
	m["descriptors_max"] = int64(d.maxTotal[useSession])
}

// OnShortage sets the function that closes an idle connection to an upstream, and reports
// whether there was one. It is called before a caller is ended for another connection, and
// must be set before the first connection.
func (b *Budget) OnShortage(closeIdle func() bool) {
	if b != nil {
		b.closeIdle = closeIdle
	}
}

// shedDescriptor makes a connection end that is not in use, or whose caller makes no progress,
// unless need of them are ending. It reports whether there was one.
func (b *Budget) shedDescriptor(need int) bool {
	return b.closeIdle != nil && b.closeIdle() || b.shedCaller(need)
}

// shedCaller does the same for callers' connections only.
func (b *Budget) shedCaller(need int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endsSoon() >= need || b.shedConnection()
}

// takeCaller takes the descriptor of a caller's connection, see take.
func (b *Budget) takeCaller() (giveBack func()) {
	if b.descriptors == nil {
		return func() {}
	}
	shed := b.shedDescriptor
	if b.descriptors.full(useCaller) {
		shed = b.shedCaller
	}
	giveBack = b.descriptors.take(context.Background(), useCaller, shed)
	if giveBack == nil {
		b.refused.Add(1)
	}
	return giveBack
}

// DialFunc opens a TCP connection to an address.
type DialFunc = func(ctx context.Context, address string) (net.Conn, error)

// DialUpstream returns a function that opens connections to upstreams like dial, while the
// process has descriptors for them; otherwise it fails with ErrNoDescriptor.
func (b *Budget) DialUpstream(dial DialFunc) DialFunc { return b.dial(useUpstream, dial) }

// DialSession does the same for sessions with other daemons.
func (b *Budget) DialSession(dial DialFunc) DialFunc { return b.dial(useSession, dial) }

func (b *Budget) dial(u use, dial DialFunc) DialFunc {
	if b == nil || b.descriptors == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		giveBack := b.descriptors.take(ctx, u, b.shedDescriptor)
		if giveBack == nil {
			b.refused.Add(1)
			return nil, ErrNoDescriptor
		}
		c, err := dial(ctx, address)
		if err != nil {
			giveBack()
			return nil, err
		}
		return counted(c, giveBack), nil
	}
}

// ListenSessions listens on a TCP address for sessions of other daemons.
func (b *Budget) ListenSessions(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || b == nil || b.descriptors == nil {
		return l, err
	}
	return &sessionListener{l, b}, nil
}

type sessionListener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l *sessionListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		giveBack := l.budget.descriptors.take(context.Background(), useSession, l.budget.shedDescriptor)
		if giveBack != nil {
			return counted(c, giveBack), nil
		}
		_ = c.Close()
		l.budget.refused.Add(1)
	}
}

// countedConn gives its descriptor back when it is closed.
type countedConn struct {
	net.Conn
	giveBack func()
}

// countedTCPConn keeps the methods of a TCP connection.
type countedTCPConn struct {
	*net.TCPConn
	giveBack func()
}

func counted(c net.Conn, giveBack func()) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		return &countedTCPConn{t, giveBack}
	}
	return &countedConn{c, giveBack}
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.giveBack()
	return c.Conn.Close()
}

// Close implements net.Conn.
func (c *countedTCPConn) Close() error {
	defer c.giveBack()
	return c.TCPConn.Close()
}
