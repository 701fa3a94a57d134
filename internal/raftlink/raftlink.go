// Package raftlink carries raft messages between members over the system's
// transport, in parts where they are large.
package raftlink

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/transport"
)

const (
	// partBytes is the size of the parts that a large message is sent in. It
	// is below the transport's limit, and short enough for the session's
	// heartbeats to pass between parts.
	partBytes = 512 << 10
	// maxAssembled bounds a message in parts, so that a damaged peer cannot
	// fill the memory. The largest messages are snapshots.
	maxAssembled = 4 << 30
	// maxQueuedMessages and maxQueuedBytes bound what waits for one member.
	// Raft repeats what is dropped.
	maxQueuedMessages = 4096
	maxQueuedBytes    = 64 << 20
	raftDialTimeout   = time.Second
)

// Every GroupMessage begins with one of these.
const (
	// partWhole is followed by a whole message, partMore and partLast by
	// consecutive parts of one.
	partWhole byte = iota
	partMore
	partLast
)

// Link sends raft messages to one member over two streams: large messages use
// their own, so that a snapshot does not delay heartbeats.
type Link struct {
	client *transport.Client
	small  *lane
	large  *lane
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// New returns a link over a client's session. The caller closes the client
// after the link.
func New(client *transport.Client) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{client: client, small: newLane(), large: newLane(), stop: cancel}
	l.done.Add(2)
	for _, ln := range []*lane{l.small, l.large} {
		go func() {
			defer l.done.Done()
			ln.run(ctx, l.client)
		}()
	}
	return l
}

// Close stops both senders. Closing the client first ends a blocked send.
func (l *Link) Close() {
	l.stop()
	l.done.Wait()
}

// Send queues messages. It does not block and may drop them.
func (l *Link) Send(messages []replica.GroupMessage) {
	for _, m := range messages {
		if len(m.Message) > partBytes {
			l.large.push(m)
			continue
		}
		l.small.push(m)
	}
}

// lane is the queue of one stream.
type lane struct {
	wake chan struct{}

	mu    sync.Mutex
	queue []replica.GroupMessage
	bytes int
}

func newLane() *lane {
	return &lane{wake: make(chan struct{}, 1)}
}

func (l *lane) push(m replica.GroupMessage) {
	l.mu.Lock()
	full := len(l.queue) >= maxQueuedMessages || len(l.queue) > 0 && l.bytes+len(m.Message) > maxQueuedBytes
	if !full {
		l.queue = append(l.queue, m)
		l.bytes += len(m.Message)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) take() []replica.GroupMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.queue
	l.queue, l.bytes = nil, 0
	return q
}

// run sends until ctx ends. What cannot be sent is dropped: raft repeats it,
// and by then it would be out of date.
func (l *lane) run(ctx context.Context, c *transport.Client) {
	var st *transport.Stream
	defer func() {
		if st != nil {
			_ = st.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		messages := l.take()
		if st == nil {
			st = openRaft(ctx, c)
		}
		if st == nil {
			continue
		}
		if err := sendParts(st, messages); err != nil {
			_ = st.Close()
			st = nil
		}
	}
}

func openRaft(ctx context.Context, c *transport.Client) *transport.Stream {
	ctx, cancel := context.WithTimeout(ctx, raftDialTimeout)
	defer cancel()
	st, err := c.Open(ctx, transport.MethodRaft)
	if err != nil {
		return nil
	}
	return st
}

// sendParts sends messages in envelopes of about partBytes.
func sendParts(st *transport.Stream, messages []replica.GroupMessage) error {
	e := &pb.Envelope{}
	size := 0
	flush := func() error {
		if len(e.Messages) == 0 {
			return nil
		}
		err := st.Send(e)
		e, size = &pb.Envelope{}, 0
		return err
	}
	for _, m := range messages {
		rest := m.Message
		for first := true; first || len(rest) > 0; first = false {
			part := rest[:min(partBytes, len(rest))]
			rest = rest[len(part):]
			kind := partMore
			if len(rest) == 0 {
				kind = partLast
				if first {
					kind = partWhole
				}
			}
			if size+len(part) > partBytes {
				if err := flush(); err != nil {
					return err
				}
			}
			e.Messages = append(e.Messages, &pb.GroupMessage{Group: uint32(m.Group), Message: append([]byte{kind}, part...)})
			size += len(part)
		}
	}
	return flush()
}

// Receive passes the messages of one stream to the node.
func Receive(st *transport.Stream, step func(group uint32, message []byte)) error {
	var parts []byte
	for {
		e := &pb.Envelope{}
		if err := st.Recv(e); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		for _, m := range e.Messages {
			if len(m.Message) == 0 {
				return errors.New("raft message without a kind")
			}
			kind, body := m.Message[0], m.Message[1:]
			if kind == partWhole {
				step(m.Group, body)
				continue
			}
			if len(parts)+len(body) > maxAssembled {
				return errors.Errorf("raft message is over %d bytes", maxAssembled)
			}
			parts = append(parts, body...)
			if kind == partLast {
				step(m.Group, parts)
				parts = nil
			}
		}
	}
}
