// Package raftlink sends raft messages between members over the internal
// transport. Large messages are split into parts.
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
	// partBytes is the maximum size of one part of a message. It is below
	// transport.MaxMessageBytes, and small enough that the session's heartbeats
	// are sent in time between parts.
	partBytes = 512 << 10
	// maxAssembledBytes bounds a message assembled from parts, so that a faulty
	// peer cannot exhaust the memory. The largest messages are snapshots.
	maxAssembledBytes = 4 << 30
	// maxQueuedMessages and maxQueuedBytes bound each of the two queues of a
	// link. An empty queue also accepts a larger message. Raft resends dropped
	// messages.
	maxQueuedMessages = 4096
	maxQueuedBytes    = 64 << 20
	dialTimeout       = time.Second
)

// The first byte of every pb.GroupMessage.Message is one of these.
const (
	// partWhole precedes a complete message. partMore and partLast precede
	// consecutive parts of one message.
	partWhole byte = iota
	partMore
	partLast
)

// Link sends raft messages to one member over two streams. Large messages have
// a stream of their own, so that a snapshot does not delay raft heartbeats.
type Link struct {
	client     *transport.Client
	smallQueue *sendQueue
	largeQueue *sendQueue
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// New returns a link over a client's session. Link.Close does not close the
// client.
func New(client *transport.Client) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{client: client, smallQueue: newSendQueue(), largeQueue: newSendQueue(), stop: cancel}
	l.done.Add(2)
	for _, queue := range []*sendQueue{l.smallQueue, l.largeQueue} {
		go func() {
			defer l.done.Done()
			queue.run(ctx, l.client)
		}()
	}
	return l
}

// Close stops both senders and waits for them. The caller closes the client
// first, because a blocked send would otherwise block Close.
func (l *Link) Close() {
	l.stop()
	l.done.Wait()
}

// Send queues messages. It does not block; a message is dropped when its queue is
// full.
func (l *Link) Send(messages []replica.GroupMessage) {
	for _, m := range messages {
		if len(m.Message) > partBytes {
			l.largeQueue.push(m)
			continue
		}
		l.smallQueue.push(m)
	}
}

// sendQueue holds the messages waiting for one stream.
type sendQueue struct {
	wake chan struct{}

	mu       sync.Mutex
	messages []replica.GroupMessage
	bytes    int
}

func newSendQueue() *sendQueue {
	return &sendQueue{wake: make(chan struct{}, 1)}
}

func (q *sendQueue) push(m replica.GroupMessage) {
	q.mu.Lock()
	full := len(q.messages) >= maxQueuedMessages || len(q.messages) > 0 && q.bytes+len(m.Message) > maxQueuedBytes
	if !full {
		q.messages = append(q.messages, m)
		q.bytes += len(m.Message)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *sendQueue) takeAll() []replica.GroupMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.messages
	q.messages, q.bytes = nil, 0
	return messages
}

// run sends queued messages until ctx ends. Messages that cannot be sent are
// dropped: raft resends what is still needed, and the dropped messages would be
// out of date by the next attempt.
func (q *sendQueue) run(ctx context.Context, c *transport.Client) {
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
		case <-q.wake:
		}
		messages := q.takeAll()
		if st == nil {
			st = openStream(ctx, c)
		}
		if st == nil {
			continue
		}
		if err := sendMessages(st, messages); err != nil {
			_ = st.Close()
			st = nil
		}
	}
}

// openStream returns nil when the stream cannot be opened.
func openStream(ctx context.Context, c *transport.Client) *transport.Stream {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	st, err := c.Open(ctx, transport.MethodRaft)
	if err != nil {
		return nil
	}
	return st
}

// sendMessages splits large messages into parts and sends all of them in
// envelopes with at most partBytes of message data.
func sendMessages(st *transport.Stream, messages []replica.GroupMessage) error {
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
		remaining := m.Message
		for first := true; first || len(remaining) > 0; first = false {
			part := remaining[:min(partBytes, len(remaining))]
			remaining = remaining[len(part):]
			kind := partMore
			if len(remaining) == 0 {
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

// Receive assembles the messages of one stream and passes them to step until the
// stream ends.
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
			if len(parts)+len(body) > maxAssembledBytes {
				return errors.Errorf("raft message is over %d bytes", maxAssembledBytes)
			}
			parts = append(parts, body...)
			if kind == partLast {
				step(m.Group, parts)
				parts = nil
			}
		}
	}
}
