package forward

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/internal/response"
	"godwitward.example/godwitward/policy"
)

const (
	// A killed process closes its sockets one after the other, on a busy machine with pauses.
	// connSettleTime is how long connections are watched for that. The end of a stream has no
	// latency target, so those of streams are watched for streamSettleTime.
	connSettleTime   = 10 * time.Millisecond
	streamSettleTime = 100 * time.Millisecond
	// connPollInterval is the time between two looks at a connection that is watched.
	connPollInterval = 10 * time.Millisecond
	// connectPause is the time between two new connections that tell, and connectTimeout
	// limits each of them.
	connectPause   = 10 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// endCheckTimeout limits the check at the end of a response.
	endCheckTimeout = 600 * time.Millisecond
	// A body that comes faster than bulkBytesPerSecond, by bulkBytes, may wait in the memory
	// of a kernel whose process has ended.
	bulkBytesPerSecond = 256 << 10
	bulkBytes          = 64 << 10
)

// errEndUnproved means that a response ended with its connection, and that its process may
// have ended with it.
var errEndUnproved = errors.New("the upstream may have ended before its response did")

// unframedBody is the body of a response that has neither a length nor chunks. It returns
// io.EOF only if the process that sent it has not ended with it.
type unframedBody struct {
	io.ReadCloser
	x    *exchange
	t    *target
	conn *conn
	// aliveAt is when the process is known to have been alive.
	aliveAt time.Time
	// read is the number of bytes that were read, and excess that of those that came faster
	// than bulkBytesPerSecond.
	read   int64
	excess float64
	// hasWitness is set once openWitness was called.
	hasWitness bool
	// err is returned once the end was reached.
	err error
}

// checkEnd makes the end of a response be checked if only the end of its connection ends it.
func (x *exchange) checkEnd(res *upstreamResponse) {
	if endsWithConnection(res.resp) {
		if res.conn.state() == connOpen {
			// What has ended by now has not ended with the response.
			res.target.closeEnded()
		}
		res.resp.Body = &unframedBody{ReadCloser: res.resp.Body, x: x, t: res.target, conn: res.conn, aliveAt: time.Now()}
	}
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	open, start := b.conn.state() == connOpen, time.Now()
	n, err := b.ReadCloser.Read(p)
	now := time.Now()
	b.read += int64(n)
	// Time in which the caller is waited for brings no bytes, however many there are.
	b.excess = max(0, b.excess-bulkBytesPerSecond*now.Sub(start).Seconds()) + float64(n)
	if b.excess > bulkBytes {
		if !b.hasWitness {
			b.hasWitness = true
			b.openWitness()
		}
	} else if open {
		// A read that waits returns as soon as the end arrives.
		b.aliveAt = now
	}
	if err == io.EOF && (b.conn.endedByReset() || !b.processAlive()) {
		err = errEndUnproved
	}
	b.err = err
	return n, err
}

// openWitness opens a connection to the process that sends the response, if it must still
// be the same.
func (b *unframedBody) openWitness() {
	ctx, cancel := context.WithTimeout(b.x.ctx, connectTimeout)
	defer cancel()
	c, err := b.t.dial(ctx)
	if err != nil {
		return
	}
	if time.Since(b.aliveAt) < policy.ShortestRestart {
		c.processAt = b.aliveAt
	}
	b.t.putIdle(c)
}

// processAlive reports whether the process that sent the response is alive after its end.
func (b *unframedBody) processAlive() bool {
	ctx, cancel := context.WithTimeout(b.x.ctx, min(endCheckTimeout, b.x.remaining()+b.x.responseGrace()))
	defer cancel()
	settle := connSettleTime
	if b.x.route.Kind == Stream {
		settle = streamSettleTime
	}
	end := policy.ResponseEnd{Age: time.Since(b.aliveAt)}
	for ctx.Err() == nil {
		end.Replaced, end.Leaving = b.t.replaced.Load(), b.t.leaves()
		end.Older, end.OlderOpen = b.t.olderConns(b.conn, b.aliveAt)
		switch end.Next() {
		case policy.EndComplete:
			return true
		case policy.EndSettle:
			sleep(ctx, settle)
			end.Settled = true
		case policy.EndConnect:
			result := b.t.tryConnection(ctx, settle)
			end.Connects = append(end.Connects, result)
			if result != policy.ConnectOpen && (result != policy.ConnectRefused || end.Leaving) {
				sleep(ctx, connectPause)
			}
			end.Settled = true
		default:
			b.logUnproved(&end)
			return false
		}
	}
	b.logUnproved(&end)
	return false
}

func (b *unframedBody) logUnproved(end *policy.ResponseEnd) {
	connects := make([]string, len(end.Connects))
	for i, c := range end.Connects {
		connects[i] = c.String()
	}
	b.x.s.opts.Logger.Warn().Str("event", "response.end_unproved").Str("id", b.x.info.ID).Str("upstream", b.t.id).
		Int64("bytes", b.read).Int64("age_ms", end.Age.Milliseconds()).Bool("replaced", end.Replaced).Bool("leaving", end.Leaving).
		Int("older", end.Older).Int("older_open", end.OlderOpen).Strs("connects", connects).Msg("")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// leaves reports whether the process has said that it is about to end.
func (t *target) leaves() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated.Leaving || t.record.Phase != pb.UpstreamPhase_UPSTREAM_READY
}

// olderConns counts the connections, other than one, to the process that ran at a time,
// and those of them that are open. Only those that lead over the same path as the other
// one count as open: the end of a process is not heard over a link that is down, and over
// another daemon later.
func (t *target) olderConns(other *conn, at time.Time) (all, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c == other || c.processAt.After(at) {
			continue
		}
		all++
		if c.state() == connOpen && c.helper() == other.helper() {
			open++
		}
	}
	return all, open
}

// helper names the daemon that relays the connection, and is empty for a direct one.
func (c *conn) helper() string {
	if c.relayed == nil {
		return ""
	}
	return c.relayed.Helper()
}

// tryConnection opens a connection to the target and tells whether it stays open for the
// settle time. If it does, it is kept for a later request.
func (t *target) tryConnection(ctx context.Context, settle time.Duration) policy.ConnectResult {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := t.dial(dialCtx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return policy.ConnectRefused
	case errors.Is(err, syscall.ECONNRESET):
		return policy.ConnectReset
	case err != nil:
		return policy.ConnectFailed
	}
	for until := time.Now().Add(settle); c.state() == connOpen && ctx.Err() == nil && time.Now().Before(until); {
		sleep(ctx, connPollInterval)
	}
	switch c.state() {
	case connOpen:
		t.putIdle(c)
		return policy.ConnectOpen
	case connReset:
		_ = c.Close()
		return policy.ConnectReset
	}
	_ = c.Close()
	return policy.ConnectFailed
}

// connState tells whether the other side has ended a connection.
type connState uint8

const (
	connOpen connState = iota + 1
	connClosed
	connReset
)

// state returns the state of the connection. Unlike a read it takes nothing, neither data
// nor the error of a reset, from the user of the connection.
func (c *conn) state() connState {
	if c.relayed != nil {
		switch c.relayed.State() {
		case relay.StateOpen:
			return connOpen
		case relay.StateReset:
			return connReset
		}
		return connClosed
	}
	switch response.StateOf(c.Conn) {
	case response.Open:
		return connOpen
	case response.Reset:
		return connReset
	}
	return connClosed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.writes.Write(c.Conn, p) }

// endedByReset reports whether the end that a read has seen is that of a reset. The daemon
// that relays a connection tells that by itself.
func (c *conn) endedByReset() bool {
	if c.relayed != nil {
		return c.relayed.State() == relay.StateReset
	}
	return c.writes.EndedByReset(c.Conn)
}
