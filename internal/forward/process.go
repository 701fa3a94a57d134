package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// identifyTimeout limits the question for the start of the process on a connection, which
// costs a round trip and no slot.
const identifyTimeout = 300 * time.Millisecond

// process is what a connection knows of the process that accepted it. A request names an id,
// under which another process may have started since the last report.
type process struct {
	// asked is set once the process was asked for its start.
	asked bool
	// bornMs is its start in Unix milliseconds; 0 if it is not known.
	bornMs int64
}

// errNotKept means that a connection was not kept open after a response.
var errNotKept = errors.New("connection not kept open after a report")

// identify asks the process that accepted a connection for its start. A process that tells
// none stays unknown. After an error the connection is of no use.
func (s *Server) identify(ctx context.Context, t *target, c *conn) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	s.vars.identifications.Add(1)
	_ = c.SetDeadline(time.Now().Add(identifyTimeout))
	header := s.opts.Protocol.RequestHeader(http.Header{}, &SendOptions{Instance: t.id, RemainingTime: identifyTimeout, Priority: -1})
	if err := c.writeRequest(&outboundRequest{method: http.MethodGet, uri: s.opts.Protocol.ReportPath(), host: t.address, header: header}); err != nil {
		return err
	}
	resp, info, err := c.readResponse(s.opts.Protocol, http.MethodGet, "")
	if err != nil {
		return err
	}
	body, err := readBody(resp, maxBufferedBytes)
	if err != nil {
		return err
	}
	// It is no request of a caller, but a response without an id may be a second answer to it.
	c.process.asked, c.requests = true, c.requests-1
	if resp.StatusCode == http.StatusOK && !info.ContentEncoded {
		if c.process.bornMs, err = s.opts.Protocol.ParseStart(body); err != nil {
			s.opts.Logger.Warn().Str("event", "upstream.report_unreadable").Str("upstream", t.id).Err(err).Msg("")
		}
	}
	if !c.reusable(resp, &info) {
		return errNotKept
	}
	return c.SetDeadline(time.Time{})
}

// connectFor returns a connection for a request. If opts ask for it, the process that accepted
// the connection was asked for its start.
func (x *exchange) connectFor(t *target, opts *SendOptions, ch charge) (*conn, error) {
	for closed := 0; ; {
		c, err := t.connect(x.ctx, ch, x.info.ID)
		// An upstream that states a limit gets one request for each permit.
		if err != nil || !opts.Identify || c.process.asked || closed > 0 || t.limited() {
			return c, err
		}
		reused := c.wasIdle
		err = x.s.identify(x.ctx, t, c)
		if err == nil {
			return c, nil
		}
		_ = c.Close()
		switch {
		case errors.Is(err, errNotKept):
			closed++
		case !reused:
			return nil, c.pathError(t, err)
		}
	}
}
