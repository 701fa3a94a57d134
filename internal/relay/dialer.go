package relay

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

const (
	// helperDelay is how long a helper may take before the next one is asked as well.
	helperDelay = 100 * time.Millisecond
	// responseMargin is how long before the caller's deadline a helper gives up, so that
	// its response arrives in time.
	responseMargin = 30 * time.Millisecond
	// maxFailures is the number of helpers that must fail to reach an upstream before an
	// attempt fails: one of them may itself be cut off, as the caller may be.
	maxFailures = 2
)

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// Helpers returns the session addresses of the daemons that relay.
	Helpers func() []string
	// Place is the dialer's own.
	Place     string
	Transport transport.Options
	Logger    *log.Logger
}

// Dialer opens connections to upstreams through other daemons. It keeps a session to each
// that it has used. It is safe for concurrent use.
type Dialer struct {
	opts  DialerOptions
	start time.Time
	vars  dialerVars

	ctx  context.Context
	stop context.CancelFunc
	// workers are the goroutines of sessions and attempts.
	workers sync.WaitGroup

	// mu guards the fields below and those of helpers and sessions that say so.
	mu      sync.Mutex
	closed  bool
	helpers map[string]*helper
}

// helper is what the dialer knows of a daemon that relays. Dialer.mu guards its fields.
type helper struct {
	address string
	place   string
	// session is nil while there is none.
	session *session
	// othersOpen is the number of connections that the helper relayed for other daemons
	// when it last responded, and maxOpen the most that it takes.
	othersOpen, maxOpen int
	failedAt, fullAt    time.Duration
	// unable is set while the helper's last answer was that it does not relay.
	unable bool
}

// NewDialer returns a dialer without sessions. Close ends it.
func NewDialer(opts DialerOptions) *Dialer {
	d := &Dialer{opts: opts, start: time.Now(), helpers: map[string]*helper{}}
	d.vars.init()
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// Vars returns the dialer's metrics.
func (d *Dialer) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("open", expvar.Func(func() any {
		open := map[string]int{}
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, h := range d.helpers {
			if n := h.session.openConns(); n > 0 {
				open[h.address] = n
			}
		}
		return open
	}))
	d.vars.publish(m)
	return m
}

// Close closes all sessions, and so all connections, and waits for their goroutines.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.closed = true
	d.stop()
	for _, h := range d.helpers {
		if h.session != nil {
			d.discard(h.session)
		}
	}
	d.mu.Unlock()
	d.workers.Wait()
}

func (d *Dialer) now() time.Duration { return time.Since(d.start) }

// answer is what became of a question to a helper.
type answer struct {
	helper string
	conn   *Conn
	// result is unset if there was no response.
	result pb.RelayResponse_Result
}

// Dial opens a connection to an upstream through a helper. The error is ErrNoHelper if no
// helper could try, and ErrUnable if none ever can, a *DialError if helpers could not reach the upstream, and that of ctx
// if none has responded in time.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := attempt{dialer: d, ctx: ctx, address: address, helpers: d.order(), answers: make(chan answer)}
	return a.run()
}

// attempt is one call of Dial.
type attempt struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	// helpers are those that have not been asked, in the order in which they should be.
	helpers []string
	pending int
	answers chan answer

	failures int
	failure  *DialError
}

func (a *attempt) run() (*Conn, error) {
	a.askNext()
	timer := time.NewTimer(helperDelay)
	defer timer.Stop()
	for a.pending > 0 {
		select {
		case answer := <-a.answers:
			a.pending--
			if answer.conn != nil {
				return answer.conn, nil
			}
			if a.failed(&answer) {
				if a.failures >= maxFailures {
					return nil, a.failure
				}
				if a.pending > 0 {
					continue
				}
			}
			a.askNext()
			timer.Reset(helperDelay)
		case <-timer.C:
			a.askNext()
			timer.Reset(helperDelay)
		case <-a.ctx.Done():
			if a.failure != nil {
				return nil, a.failure
			}
			return nil, errors.Wrap(a.ctx.Err(), "waiting for a daemon to relay")
		}
	}
	if a.failure != nil {
		return nil, a.failure
	}
	return nil, a.dialer.noHelper()
}

// noHelper returns the error of an attempt that no helper could make.
func (d *Dialer) noHelper() error {
	addresses := d.opts.Helpers()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if h := d.helpers[address]; h == nil || !h.unable {
			return ErrNoHelper
		}
	}
	if len(addresses) == 0 {
		return ErrNoHelper
	}
	return ErrUnable
}

// askNext asks the next helper, if there is one.
func (a *attempt) askNext() {
	if len(a.helpers) == 0 {
		return
	}
	address := a.helpers[0]
	a.helpers = a.helpers[1:]
	s, release := a.dialer.acquire(address)
	if s == nil {
		return
	}
	a.pending++
	go func() {
		defer a.dialer.workers.Done()
		answer := a.dialer.ask(a.ctx, s, a.address, release)
		select {
		case a.answers <- answer:
		case <-a.ctx.Done():
			if answer.conn != nil {
				_ = answer.conn.Close()
			}
		}
	}()
}

// failed reports whether the helper could not reach the upstream, and notes that.
func (a *attempt) failed(answer *answer) bool {
	switch answer.result {
	case pb.RelayResponse_REFUSED, pb.RelayResponse_RESET, pb.RelayResponse_UNREACHABLE:
		a.failures++
		a.failure = &DialError{Helper: answer.helper, Result: answer.result}
		return true
	}
	return false
}

// order returns the addresses of the helpers in the order in which they should be asked,
// without those that have answered that they do not relay.
func (d *Dialer) order() []string {
	addresses := d.opts.Helpers()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.forgetExcept(addresses)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return !d.helper(address).session.mayRelay() })
	known := make([]policy.RelayHelper, len(addresses))
	for i, address := range addresses {
		h := d.helper(address)
		own := h.session.openConns()
		known[i] = policy.RelayHelper{
			SamePlace: h.place != "" && h.place == d.opts.Place, Open: h.othersOpen + own, MaxOpen: h.maxOpen,
			Silent: h.session.silence(), FailedAt: h.failedAt, FullAt: h.fullAt,
		}
	}
	ordered := make([]string, 0, len(addresses))
	for _, i := range policy.OrderRelayHelpers(known, d.now(), rand.Float64()) {
		ordered = append(ordered, addresses[i])
	}
	return ordered
}

// helper returns what is known of a helper. The caller holds mu.
func (d *Dialer) helper(address string) *helper {
	h := d.helpers[address]
	if h == nil {
		h = &helper{address: address}
		d.helpers[address] = h
	}
	return h
}

// forgetExcept drops the helpers that are not listed any more and not in use. The caller
// holds mu.
func (d *Dialer) forgetExcept(listed []string) {
	for address, h := range d.helpers {
		if _, found := slices.BinarySearch(listed, address); found || h.session != nil && h.session.users > 0 {
			continue
		}
		if h.session != nil {
			d.discard(h.session)
		}
		delete(d.helpers, address)
	}
}
