package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// identifyTimeout limits the question for the start of the process on a connection. A process
// answers it without a slot, but a busy one may take some hundred milliseconds.
const identifyTimeout = time.Second

// process is what a connection knows of the process that accepted it. A request names an id,
// under which another process may have started since the last report.
type process struct {
	// asked is set once the process was asked for its start.
	asked bool
	// bornMs is its start in Unix milliseconds; 0 if it is not known.
	bornMs int64
	// untold is the process that tells no start; nil if it does, or is not known.
	untold *untoldProcess
}

// maySend reports whether a response without an id may belong to the first request on the
// connection: it is not a second answer to the question for the start of the process.
func (p process) maySend(resp *http.Response, info *ResponseInfo) bool {
	return !p.asked || resp.StatusCode >= 300 || info.FromUpstream
}

// errNotKept means that a connection was not kept open after a response.
var errNotKept = errors.New("connection not kept open after a report")

// requestReport asks the process that accepted a connection for a report on itself.
func (s *Server) requestReport(t *target, c *conn, timeout time.Duration) (*http.Response, ResponseInfo, []byte, error) {
	s.vars.identifications.Add(1)
	_ = c.SetDeadline(time.Now().Add(timeout))
	header := s.opts.Protocol.RequestHeader(http.Header{}, &SendOptions{Instance: t.id, RemainingTime: timeout, Priority: -1})
	if err := c.writeRequest(&outboundRequest{method: http.MethodGet, uri: s.opts.Protocol.ReportPath(), host: t.address, header: header}); err != nil {
		return nil, ResponseInfo{}, nil, err
	}
	resp, info, err := c.readResponse(s.opts.Protocol, http.MethodGet, "")
	if err != nil {
		return nil, info, nil, err
	}
	body, err := readBody(resp, maxBufferedBytes)
	if err != nil {
		return nil, info, nil, err
	}
	// It is no request of a caller.
	c.process.asked, c.requests = true, c.requests-1
	return resp, info, body, nil
}

// askStart asks the process that accepted a connection for its start. A process that tells
// none stays unknown. After an error the connection is of no use.
func (x *exchange) askStart(t *target, c *conn, timeout time.Duration) error {
	stop := context.AfterFunc(x.movingContext(), func() { _ = c.Close() })
	defer stop()
	timeout = min(timeout, identifyTimeout, x.remaining())
	watch := x.watchSilence(t, c, minStreamSilence)
	defer watch.Stop()
	resp, info, body, err := x.s.requestReport(t, c, timeout)
	if err != nil {
		return err
	}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		t.mu.Lock()
		t.misdirected = true
		t.mu.Unlock()
		return errOtherProcess
	case resp.StatusCode >= http.StatusInternalServerError, resp.StatusCode == http.StatusTooManyRequests:
		return errors.Errorf("the question for the start of the process was answered with status %d", resp.StatusCode)
	case resp.StatusCode == http.StatusOK && !info.ContentEncoded:
		if c.process.bornMs, err = x.s.opts.Protocol.ParseStart(body); err != nil {
			x.s.opts.Logger.Warn().Str("event", "upstream.report_unreadable").Str("upstream", t.id).Err(err).Msg("")
		}
	}
	if !c.reusable(resp, &info) {
		return errNotKept
	}
	return c.SetDeadline(time.Time{})
}

// maxQuestions limits the connections that are closed after the question for the start of the
// process. A process that is about to end closes each one.
const maxQuestions = 3

// connectFor returns a connection for a request that may be sent, see beginSend.
func (x *exchange) connectFor(t *target, opts *SendOptions, ch charge, timeout time.Duration) (*conn, error) {
	c, err := x.connectKnown(t, opts, ch, timeout)
	if err == nil && !x.beginSend() {
		_ = c.Close()
		return nil, errStopping
	}
	return c, err
}

// connectKnown returns a connection for a request. If opts ask for it, the process that accepted
// the connection is known, as far as it tells, and a stream that goes on may go on there.
// timeout limits the wait for an answer of the process.
func (x *exchange) connectKnown(t *target, opts *SendOptions, ch charge, timeout time.Duration) (*conn, error) {
	for {
		c, err := t.connect(x.movingContext(), ch, x.info.ID)
		if err != nil || !opts.Identify {
			return c, err
		}
		if !c.process.asked {
			asked := c
			err = x.askStart(t, c, timeout)
			if err != nil {
				_ = asked.Close()
			}
			switch {
			case errors.Is(err, errNotKept):
				c, err = x.connectBeside(t, asked.process, timeout)
			case err != nil && asked.wasIdle && connFailed(err) && !isTimeout(err):
				continue
			}
			if err != nil {
				x.s.opts.Logger.Info().Str("event", "upstream.unidentified").Str("upstream", t.id).Bool("reused", asked.wasIdle).Err(err).Msg("")
				return nil, x.unansweredError(t, asked, err)
			}
			x.identifyUntold(t, c, timeout)
		}
		if err = x.checkProcess(t, c); err != nil {
			_ = c.Close()
			return nil, err
		}
		return c, nil
	}
}

// connectBeside returns a connection to a process that closes connections after its report, as
// told on one of them. The new connection belongs to that process if it reports again on
// another one that is opened later: only one process at a time listens at an address.
func (x *exchange) connectBeside(t *target, told process, timeout time.Duration) (*conn, error) {
	for range maxQuestions {
		c, err := t.dial(x.movingContext())
		if err != nil {
			return nil, err
		}
		beside, err := t.dial(x.movingContext())
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		switch err = x.askStart(t, beside, timeout); {
		case err == nil:
			_ = c.Close()
			return beside, nil
		case errors.Is(err, errNotKept) && beside.process == told:
			_ = beside.Close()
			c.process = told
			return c, nil
		}
		_, _ = c.Close(), beside.Close()
		if !errors.Is(err, errNotKept) {
			return nil, x.unansweredError(t, beside, err)
		}
		told = beside.process
	}
	return nil, errOtherProcess
}

// errOtherProcess means that a stream may not go on at a process: it is another one than the
// upstream that was chosen, or may be.
var errOtherProcess = errors.New("another process answers under the id of the upstream")

// reasonOtherProcess is the reason of an attempt that found another process than intended.
const reasonOtherProcess = "other_process"

// checkProcess compares the process that accepted a connection with the one that has reported
// under its id, and fails if a stream must not go on there. New streams may begin at either, if the hubs know
// of it.
func (x *exchange) checkProcess(t *target, c *conn) error {
	told := c.process.bornMs != 0 && t.bornMs != 0
	state := startUntold
	if told {
		state = startTold
	}
	if startState(t.startState.Swap(int32(state))) != state {
		x.s.opts.Logger.Info().Str("event", "upstream.start").Str("upstream", t.id).Int64("born_ms", t.bornMs).Int64("process_born_ms", c.process.bornMs).Bool("told", told).Msg("")
	}
	other := told && c.process.bornMs != t.bornMs
	if other && !t.superseded.Swap(true) {
		x.s.opts.Logger.Info().Str("event", "upstream.unreported").Str("upstream", t.id).Int64("born_ms", t.bornMs).Int64("process_born_ms", c.process.bornMs).Msg("")
	}
	if x.run != nil && !t.hasReported(c) {
		return errOtherProcess
	}
	if !x.mayBeginAt(x.processVersions(t, c)) {
		x.s.opts.Logger.Info().Str("event", "stream.not_begun").Str("id", x.info.ID).Str("upstream", t.id).Bool("reported", t.hasReported(c)).Msg("")
		return errOtherProcess
	}
	return nil
}

// hasReported reports whether the process that accepted a connection is known to be that of the
// target's record.
func (t *target) hasReported(c *conn) bool {
	if c.process.bornMs != 0 {
		return c.process.bornMs == t.bornMs
	}
	return isReported(c.process.untold)
}

// processVersions returns the versions of the process that accepted a connection to a target.
// If it is not known to have reported, the process stands for the software.
func (x *exchange) processVersions(t *target, c *conn) policy.RunVersions {
	switch {
	case t.hasReported(c):
		return fleet.RunVersions(t.currentRecord(), x.info.Model)
	case c.process.bornMs != 0:
		v := policy.RunVersions{Service: x.service.Name, Software: fleet.ProcessText(t.id, c.process.bornMs), Model: x.info.Model}
		resolved, _ := x.s.resolveProcess(v)
		return resolved
	}
	// If it turns out to be the process of the record, its weights were those of the record.
	v := fleet.RunVersions(t.currentRecord(), x.info.Model)
	number := int64(0)
	if c.process.untold != nil {
		number = c.process.untold.number
	}
	v.Service, v.Software = x.service.Name, fleet.ProcessText(t.id, number)
	return v
}

// resolveProcess replaces a process that stands for a software version by the version, once the
// process has reported.
func (s *Server) resolveProcess(v policy.RunVersions) (resolved policy.RunVersions, ok bool) {
	id, bornMs, unresolved := fleet.ParseProcessText(v.Software)
	if !unresolved {
		return v, false
	}
	if t := s.upstreams.get(id); t != nil {
		if resolved, ok = fleet.ResolveProcess(v, t.currentRecord()); ok {
			return resolved, true
		}
	}
	l := &s.streamVersions
	l.mu.Lock()
	defer l.mu.Unlock()
	if bornMs < 0 {
		record, known := l.known.Get(v.Software, s.now())
		return resolveUntold(v, record, known)
	}
	return fleet.ResolveProcess(v, l.lateReports[v.Software])
}

// resolveUntold replaces a process that tells no start by its software, which a record under its
// text states.
func resolveUntold(v policy.RunVersions, record policy.StreamVersion, known bool) (resolved policy.RunVersions, ok bool) {
	if !known || record.Versions.Service != v.Service {
		return v, false
	}
	v.Software = record.Versions.Software
	return v, true
}

// findProcess replaces a process that stands for a software version by the version, if this entry
// or a hub knows it.
func (x *exchange) findProcess(v policy.RunVersions) policy.RunVersions {
	resolved, ok := x.s.resolveProcess(v)
	if _, bornMs, unresolved := fleet.ParseProcessText(v.Software); ok || !unresolved || bornMs >= 0 {
		return resolved
	}
	record, _, known := x.lookUpRecord(v.Software)
	resolved, _ = resolveUntold(v, record, known)
	return resolved
}

// resolveRun replaces a process that stands for the software of the stream, once the process
// has reported.
func (x *exchange) resolveRun() {
	if x.run == nil {
		return
	}
	if v, ok := x.s.resolveProcess(*x.run); ok {
		x.run = &v
		x.recordNumber++
		x.recordRun()
	}
}

// settleVersions records the software of a run's process once the process has reported, so that
// the stream can go on at others with it.
func (x *exchange) settleVersions(run *streamRun) {
	if v, ok := x.s.resolveProcess(run.versions); ok {
		run.versions = v
		x.resolveRun()
	}
}

// mayBeReplaced reports whether another process than that of the target's record may have sent
// the run: it has reported since, and the connection does not tell.
func (r *streamRun) mayBeReplaced() bool {
	return r.res.conn.process.bornMs == 0 && r.t.hasSuccessor() && !r.t.hasReported(r.res.conn)
}

// maxLateReports limits the late reports that are kept. Without one the hubs are asked.
const maxLateReports = 1024

// noteLateReport keeps the report of a process that streams have begun at before: it may leave
// while they can still be taken up. The caller holds mu.
func (l *streamVersions) noteLateReport(r *pb.UpstreamRecord) {
	text := fleet.ProcessText(r.Id, r.BornMs)
	if !fleet.TellsSoftware(r) || !l.history[r.Service].ForgetSoftware(text) {
		return
	}
	if l.lateReports == nil || len(l.lateReports) >= maxLateReports {
		l.lateReports = map[string]*pb.UpstreamRecord{}
	}
	l.lateReports[text] = r
}
