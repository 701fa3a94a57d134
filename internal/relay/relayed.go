package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/response"
	"godwitward.example/godwitward/internal/transport"
)

// resetWait is how long the read side of a connection whose write side has failed may take
// to fail too. What the upstream sent before is passed on meanwhile.
const resetWait = 500 * time.Millisecond

// relayed is a connection that a Server relays.
type relayed struct {
	stream *transport.Stream
	vars   *serverVars
	// credit is that for bytes from the upstream.
	credit *credit
	writes response.Writes

	// mu guards pending, the data for the upstream, and writing, which is set while some of
	// it is being written.
	mu      sync.Mutex
	pending bytes.Buffer
	writing bool
	wake    chan struct{}
}

func newRelayed(stream *transport.Stream, vars *serverVars) *relayed {
	return &relayed{stream: stream, vars: vars, credit: newCredit(fromUpstreamCredits), wake: make(chan struct{}, 1)}
}

// receive takes what the peer sends until it ends the connection. It never waits for the
// upstream, so that it notices the end at once.
func (c *relayed) receive() {
	for {
		d := &pb.RelayData{}
		if err := c.stream.Recv(d); err != nil || d.End || d.Reset_ {
			return
		}
		if isCreditGrant(d) {
			c.credit.grant()
		} else if !c.push(d.Data) {
			return
		}
	}
}

// push queues data for the upstream. It reports false if the peer had no credit for it.
func (c *relayed) push(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending.Len()+len(data) > toUpstreamCredits*creditBytes {
		return false
	}
	c.pending.Write(data)
	signal(c.wake)
	return true
}

// pop moves pending data to b.
func (c *relayed) pop(b []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := c.pending.Read(b)
	c.writing = n > 0
	if c.pending.Len() == 0 && c.pending.Cap() > maxIdleBuffer {
		c.pending = bytes.Buffer{}
	}
	return b[:n]
}

func (c *relayed) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// close closes the connection to the upstream after the peer has left. If the upstream has
// not taken all data, the connection is reset: its end would wait behind that data.
func (c *relayed) close(upstream net.Conn) {
	c.mu.Lock()
	blocked := c.writing || c.pending.Len() > 0
	c.mu.Unlock()
	if tcp, ok := upstream.(socket); ok && blocked {
		_ = tcp.SetLinger(0)
	}
	_ = upstream.Close()
}

// writeUpstream passes on what the peer sends until ctx ends or a write fails.
func (c *relayed) writeUpstream(ctx context.Context, upstream net.Conn) {
	var written creditCounter
	buf := make([]byte, maxDataBytes)
	for {
		data := c.pop(buf)
		if len(data) == 0 {
			select {
			case <-c.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		_, err := c.writes.Write(upstream, data)
		c.setWriting(false)
		if err != nil {
			_ = upstream.SetReadDeadline(time.Now().Add(resetWait))
			return
		}
		c.vars.toUpstream.Add(int64(len(data)))
		for range written.add(len(data)) {
			if c.stream.Send(creditGrant()) != nil {
				return
			}
		}
	}
}

// readUpstream passes on what the upstream sends. It reports whether the upstream ended its
// direction; otherwise the connection was reset, or the peer has left.
func (c *relayed) readUpstream(ctx context.Context, upstream net.Conn) (ended bool) {
	buf := make([]byte, maxDataBytes)
	for {
		room := c.credit.available()
		if room == 0 {
			select {
			case <-c.credit.changed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		n, err := upstream.Read(buf[:min(room, len(buf))])
		if n > 0 {
			c.credit.use(n)
			c.vars.fromUpstream.Add(int64(n))
			if c.stream.Send(&pb.RelayData{Data: buf[:n]}) != nil {
				return false
			}
		}
		switch {
		case err == io.EOF && !c.writes.EndedByReset(upstream):
			return c.stream.Send(&pb.RelayData{End: true}) == nil
		case err != nil:
			_ = c.stream.Send(&pb.RelayData{Reset_: true})
			return false
		}
	}
}
