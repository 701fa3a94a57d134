package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// An entry keeps connections open to each upstream of a service whose processes tell no start, the
// references, and asks on one of them which process has accepted a new connection: a connection
// stays with its process, and one process at a time runs at an address under an id, so two
// connections that both live after the later one was opened are of one process.

const (
	// maxReferences is the number of references to an upstream. Upstreams close connections
	// without notice, and the last one takes the proof with it.
	maxReferences = 2
	// referenceMargin is the time before its expiry at which a reference is asked again.
	referenceMargin = sweepInterval + 200*time.Millisecond
	// referenceRetention is the time after the last stream at a service that its references are
	// kept: without them its processes are unknown again.
	referenceRetention = 10 * time.Minute
)

// references are the connections by which the process of a target is known that tells no start.
type references struct {
	// lock holds one element while conns is used, also during a question on them.
	lock  chan struct{}
	conns []*conn
	// current is the process of conns, nil if there are none.
	current atomic.Pointer[untoldProcess]

	mu sync.Mutex
	// unproven are the processes that wait for their proof.
	unproven []*untoldProcess
	// next is the question that has not begun, nil if nobody waits for one. asking is set while a
	// goroutine asks.
	next   *confirmation
	asking bool
	closed bool
}

// confirmation is a question on the references, which holds for all connections that were open
// before it began.
type confirmation struct {
	done chan struct{}
	// process is that of the references, nil if there is none that answers.
	process *untoldProcess
}

// untoldServices holds when a stream was last sent to a process that tells no start, by service.
type untoldServices struct {
	mu     sync.Mutex
	usedAt map[string]time.Duration
}

func (u *untoldServices) use(service string, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.usedAt == nil {
		u.usedAt = map[string]time.Duration{}
	}
	u.usedAt[service] = now
}

// used returns the services whose references are kept.
func (u *untoldServices) used(now time.Duration) map[string]bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	used := map[string]bool{}
	for service, at := range u.usedAt {
		if now-at > referenceRetention {
			delete(u.usedAt, service)
			continue
		}
		used[service] = true
	}
	return used
}

// addUnproven makes a process wait for its proof, and reports whether there was room.
func (r *references) addUnproven(p *untoldProcess) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unproven) >= maxUnproven || r.closed {
		return false
	}
	r.unproven = append(r.unproven, p)
	return true
}

// set replaces the references and says of which process they are. The caller has the lock.
func (r *references) set(conns []*conn, p *untoldProcess) {
	r.conns = conns
	if len(conns) == 0 {
		p = nil
	}
	r.current.Store(p)
}

// inUse reports whether there are references, or processes that wait for their proof.
func (r *references) inUse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Load() != nil || len(r.unproven) > 0
}

// isClosed reports whether no references are kept any more.
func (r *references) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// close closes the references. No others are kept then.
func (r *references) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.lock <- struct{}{}
	defer func() { <-r.lock }()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.set(nil, nil)
}

// identifyUntold finds the process that accepted a connection if it tells no start.
func (x *exchange) identifyUntold(t *target, c *conn, timeout time.Duration) {
	if c.process.bornMs != 0 || t.bornMs == 0 || c.process.untold != nil {
		return
	}
	x.s.untoldServices.use(x.service.Name, x.s.now())
	ctx, cancel := context.WithTimeout(x.movingContext(), max(0, min(timeout, identifyTimeout, x.remaining())))
	defer cancel()
	c.process.untold = x.s.processOf(ctx, t)
}

// processOf returns the process that accepted a connection, which is open; nil if it is not
// known. Without a reference that answers it counts as one of its own, and references are opened.
func (s *Server) processOf(ctx context.Context, t *target) *untoldProcess {
	q := s.confirm(t)
	select {
	case <-q.done:
	case <-ctx.Done():
		return nil
	}
	if q.process != nil {
		return q.process
	}
	p := s.newUntoldProcess()
	if !t.references.addUnproven(p) {
		return nil
	}
	return p
}

// confirm returns a question on the references to a target that has not begun. It doesn't end with
// its caller: others wait for it too.
func (s *Server) confirm(t *target) *confirmation {
	r := &t.references
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &confirmation{done: make(chan struct{})}
	}
	if !r.asking && s.ended.Err() == nil {
		r.asking = true
		s.done.Go(func() { s.answerConfirmations(t) })
	}
	return r.next
}

// answerConfirmations asks on the references of a target until nobody waits for a question.
func (s *Server) answerConfirmations(t *target) {
	r := &t.references
	for {
		r.mu.Lock()
		q := r.next
		r.next, r.asking = nil, q != nil
		r.mu.Unlock()
		if q == nil {
			return
		}
		r.lock <- struct{}{}
		q.process = s.askReferences(t)
		close(q.done)
		if q.process == nil && !r.isClosed() {
			s.openReference(t)
		}
		<-r.lock
	}
}

// askReferences returns the process of the references to a target if it answers on one of them
// now, otherwise nil. Those without an answer are closed. The caller has the lock.
func (s *Server) askReferences(t *target) *untoldProcess {
	r, p := &t.references, t.references.current.Load()
	for len(r.conns) > 0 {
		if s.confirms(t, r.conns[0]) {
			return p
		}
		_ = r.conns[0].Close()
		r.set(r.conns[1:], p)
	}
	return nil
}

// addReference opens a reference that is of the same process as the one that is kept: it answers
// there after the new one was opened. The caller has the lock.
func (s *Server) addReference(t *target) {
	r := &t.references
	next, err := s.dialReference(t)
	if err != nil {
		return
	}
	// Asked itself, it shows by its answer how long it may be idle.
	if !s.confirms(t, r.conns[0]) || !s.confirms(t, next) {
		_ = next.Close()
		return
	}
	r.set(append(slices.Clone(r.conns), next), r.current.Load())
}

func (s *Server) dialReference(t *target) (*conn, error) {
	ctx, cancel := context.WithTimeout(s.ended, identifyTimeout)
	defer cancel()
	return t.dial(ctx)
}

// askReference asks for a report on a connection. ok is false if the connection can't be kept, or
// the answer is not readable; bornMs is the start that the process tells, 0 if it tells none.
func (s *Server) askReference(t *target, c *conn) (bornMs int64, ok bool) {
	if !c.skipUnread() {
		// What came before the question tells nothing about what runs now.
		return 0, false
	}
	resp, info, body, err := s.requestReport(t, c, identifyTimeout)
	if err != nil || resp.StatusCode != http.StatusOK || info.ContentEncoded || !c.reusable(resp, &info) {
		return 0, false
	}
	bornMs, err = s.opts.Protocol.ParseStart(body)
	_ = c.SetDeadline(time.Time{})
	c.setIdleExpiry(&info, time.Now())
	return bornMs, err == nil
}

// confirms reports whether the process of a reference answers on it, and still tells no start.
func (s *Server) confirms(t *target, c *conn) bool {
	bornMs, ok := s.askReference(t, c)
	return ok && bornMs == 0
}

// sweepReferences keeps the references of the upstreams whose services have streams at processes
// that tell no start, and closes the others.
func (s *Server) sweepReferences() {
	used := s.untoldServices.used(s.now())
	for _, t := range s.upstreams.all() {
		record := t.currentRecord()
		wanted := used[record.Service] && t.bornMs != 0 && t.start() != startTold && record.Phase == pb.UpstreamPhase_UPSTREAM_READY && record.Stage != pb.EngineStage_ENGINE_STAGE_PREFILL
		if wanted || t.references.inUse() {
			// Hubs that do not answer must not delay the questions on the references.
			s.done.Go(func() { s.refreshReferences(t, wanted) })
			s.done.Go(func() { s.proveProcesses(s.ended, t) })
		}
	}
}

// refreshReferences asks on the references of a target that are about to expire and opens those
// that are missing. Without wanted it closes them. Some expire before the next sweep.
func (s *Server) refreshReferences(t *target, wanted bool) {
	until := time.Now().Add(sweepInterval)
	for next := s.refresh(t, wanted); next.Before(until); next = s.refresh(t, wanted) {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// refresh refreshes the references of a target once, and returns when it is due again.
func (s *Server) refresh(t *target, wanted bool) (next time.Time) {
	r, now := &t.references, time.Now()
	next = now.Add(sweepInterval)
	select {
	case r.lock <- struct{}{}:
	default:
		return next
	}
	defer func() { <-r.lock }()
	wanted = wanted && !r.isClosed()
	p := r.current.Load()
	var kept []*conn
	for _, c := range r.conns {
		due := time.Until(c.expires) < referenceMargin || !c.quiet()
		if wanted && (!due || s.confirms(t, c)) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	r.set(kept, p)
	switch {
	case !wanted || len(kept) >= maxReferences:
	case len(kept) > 0:
		s.addReference(t)
	default:
		s.openReference(t)
	}
	for _, c := range r.conns {
		if idle := time.Until(c.expires); idle < referenceMargin && now.Add(idle/2).Before(next) {
			next = now.Add(idle / 2)
		}
	}
	return next
}

// openReference opens the first reference to a target, unless its process tells a start. The
// caller has the lock.
func (s *Server) openReference(t *target) {
	c, err := s.dialReference(t)
	if err != nil {
		return
	}
	bornMs, ok := s.askReference(t, c)
	if ok && bornMs != 0 {
		t.startState.Store(int32(startTold))
	}
	p := s.newUntoldProcess()
	if !ok || bornMs != 0 || !t.references.addUnproven(p) {
		_ = c.Close()
		return
	}
	t.startState.Store(int32(startUntold))
	t.references.set([]*conn{c}, p)
}
