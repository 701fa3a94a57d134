package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/timeline"
)

// MaxMessageBytes bounds one message, so that a damaged length cannot make a
// daemon allocate without limit.
const MaxMessageBytes = 64 << 20

// Stream carries the messages of one call. Send may run beside Recv; neither
// may run beside itself.
type Stream struct {
	conn  net.Conn
	rd    *bufio.Reader
	clock *timeline.Clock
	// first is the header that the server read to find the handler.
	first *pb.FrameHeader

	sendMu sync.Mutex
	method Method
	opened bool
}

func newStream(conn net.Conn, clock *timeline.Clock) *Stream {
	return &Stream{conn: conn, rd: bufio.NewReaderSize(conn, 512), clock: clock}
}

// Send sends one message.
func (s *Stream) Send(m proto.Message) error {
	return s.write(&pb.FrameHeader{}, m)
}

// Recv receives the next message. It returns io.EOF after the peer's last
// message and *Error when the peer's handler failed.
func (s *Stream) Recv(m proto.Message) error {
	h := s.first
	s.first = nil
	if h == nil {
		var err error
		if h, err = s.readHeader(); err != nil {
			return &Error{Code: pb.Status_UNAVAILABLE, Message: "reading frame: " + err.Error(), Sent: true}
		}
	}
	return s.readBody(h, m)
}

func (s *Stream) readBody(h *pb.FrameHeader, m proto.Message) error {
	if h.Status.GetCode() != pb.Status_OK {
		return errorOf(h.Status)
	}
	if h.End {
		return io.EOF
	}
	body, err := s.readChunk()
	if err != nil {
		return &Error{Code: pb.Status_UNAVAILABLE, Message: "reading message: " + err.Error(), Sent: true}
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return Errorf(pb.Status_INVALID, "decoding %s: %v", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	return s.conn.Close()
}

func (s *Stream) end(err error) {
	h := &pb.FrameHeader{End: true}
	if err != nil {
		h.Status = statusOf(err)
	}
	_ = s.write(h, nil)
}

func (s *Stream) write(h *pb.FrameHeader, m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.opened {
		h.Method = uint32(s.method)
		s.opened = true
	}
	h.Time = s.clock.Now()
	buf, err := appendChunk(make([]byte, 0, 256), h)
	if err != nil {
		return err
	}
	if m != nil {
		if buf, err = appendChunk(buf, m); err != nil {
			return err
		}
	}
	if _, err := s.conn.Write(buf); err != nil {
		return &Error{Code: pb.Status_UNAVAILABLE, Message: "writing frame: " + err.Error(), Sent: true}
	}
	return nil
}

func appendChunk(buf []byte, m proto.Message) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	return out, errors.Wrapf(err, "encoding %s", m.ProtoReflect().Descriptor().Name())
}

func (s *Stream) readHeader() (*pb.FrameHeader, error) {
	chunk, err := s.readChunk()
	if err != nil {
		return nil, err
	}
	h := &pb.FrameHeader{}
	if err := proto.Unmarshal(chunk, h); err != nil {
		return nil, errors.Wrap(err, "decoding frame header")
	}
	s.clock.Observe(h.Time)
	return h, nil
}

func (s *Stream) readChunk() ([]byte, error) {
	n, err := binary.ReadUvarint(s.rd)
	if err != nil {
		return nil, err
	}
	if n > MaxMessageBytes {
		return nil, errors.Errorf("message of %d bytes is over the limit of %d", n, MaxMessageBytes)
	}
	chunk := make([]byte, n)
	_, err = io.ReadFull(s.rd, chunk)
	return chunk, err
}

// closeOnDone unblocks Send and Recv and closes the stream when ctx ends. The
// returned function stops the watch.
func (s *Stream) closeOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		// Closing a yamux stream ends only the sending side: a Recv would go on
		// until the peer closes as well.
		_ = s.conn.SetDeadline(time.Unix(1, 0))
		_ = s.conn.Close()
	})
}
