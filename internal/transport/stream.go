package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/timeline"
)

// MaxMessageBytes bounds the size of a received message, so that a corrupt length
// prefix cannot make a daemon allocate an unlimited amount of memory.
const MaxMessageBytes = 64 << 20

const (
	// maxHelloBytes limits the messages of a peer that has not said who it is.
	maxHelloBytes = 16 << 10
	// minMessageBuffer is the buffer with which a received message begins. It doubles as bytes
	// arrive: a peer may announce a long message and never send it.
	minMessageBuffer = 64 << 10
)

// Stream carries the messages of one call. Send may be called concurrently, also with
// Recv. Recv may not be called concurrently with itself.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// limit is the size of the longest message that is received.
	limit uint64
	// memory counts received messages; nil at a client.
	memory *messageMemory
	clock  *timeline.Clock
	logger *log.Logger
	// pendingHeader is the first frame header, which the server has read to
	// select the handler. The next Recv uses it.
	pendingHeader *pb.FrameHeader

	// sendMu guards the fields below and is held while a frame is written, so
	// that the frame with the method is the first one.
	sendMu     sync.Mutex
	method     Method
	methodSent bool
}

func newStream(conn net.Conn, opts *Options) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, 512), limit: MaxMessageBytes, clock: opts.Clock, logger: opts.Logger}
}

// Send sends one message in a frame. Elements of its lists that cannot be encoded are left
// out and logged, so that one record does not hold up the others. If the rest cannot be
// encoded either, or is too long, nothing is sent, and the stream remains usable.
func (s *Stream) Send(m proto.Message) error {
	return s.writeFrame(&pb.FrameHeader{}, m)
}

// Recv receives the next message. It returns io.EOF when the peer's handler has
// ended the call without an error. All other errors are an *Error: the handler
// failed, the stream or its connection was closed, or the message is invalid.
func (s *Stream) Recv(m proto.Message) error {
	h := s.pendingHeader
	s.pendingHeader = nil
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
		return errorFromStatus(h.Status)
	}
	if h.End {
		return io.EOF
	}
	body, err := s.readDelimited()
	if err != nil {
		return &Error{Code: pb.Status_UNAVAILABLE, Message: "reading message: " + err.Error(), Sent: true}
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return &Error{Code: pb.Status_INVALID, Message: fmt.Sprintf("decoding %s: %v", messageName(m), err), Sent: true, Undecodable: true}
	}
	return nil
}

// Close ends the sending side of the stream. A Recv in progress continues until
// the peer also closes its side, at most for yamux's StreamCloseTimeout.
func (s *Stream) Close() error {
	return s.conn.Close()
}

// Abort ends both sides of the stream and unblocks Send and Recv.
func (s *Stream) Abort() {
	// Closing a yamux stream ends only the sending side. The deadline in the past also
	// unblocks a Recv, which would otherwise wait until the peer closes its side.
	_ = s.conn.SetDeadline(time.Unix(1, 0))
	_ = s.conn.Close()
}

// sendEnd sends the frame that ends the call, with the handler's error if any.
func (s *Stream) sendEnd(err error) {
	h := &pb.FrameHeader{End: true}
	if err != nil {
		h.Status = statusFromError(err)
	}
	_ = s.writeFrame(h, nil)
}

func (s *Stream) writeFrame(h *pb.FrameHeader, m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.methodSent {
		h.Method = uint32(s.method)
	}
	h.Time = s.clock.Now()
	buf, err := appendDelimited(make([]byte, 0, 256), h)
	if err != nil {
		return err
	}
	if m != nil {
		if buf, err = s.appendMessage(buf, m); err != nil {
			return err
		}
	}
	s.methodSent = true
	if _, err := s.conn.Write(buf); err != nil {
		return &Error{Code: pb.Status_UNAVAILABLE, Message: "writing frame: " + err.Error(), Sent: true}
	}
	return nil
}

// appendMessage appends a message, without the elements of its lists that cannot be encoded.
func (s *Stream) appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	out, err := appendDelimited(buf, m)
	if err == nil {
		return out, nil
	}
	encodable, dropped := withoutInvalidElements(m)
	if dropped == 0 {
		return nil, err
	}
	s.logger.Warn().Str("event", "message.records_dropped").Str("message", messageName(m)).Int("records", dropped).Err(err).Msg("")
	return appendDelimited(buf, encodable)
}

// appendDelimited appends a message with a varint length prefix.
func appendDelimited(buf []byte, m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxMessageBytes {
		return nil, &Error{Code: pb.Status_INVALID, Message: fmt.Sprintf("encoding %s: %d bytes are over the limit of %d", messageName(m), size, MaxMessageBytes)}
	}
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(binary.AppendUvarint(buf, uint64(size)), m)
	if err != nil {
		return nil, &Error{Code: pb.Status_INVALID, Message: fmt.Sprintf("encoding %s: %v", messageName(m), err)}
	}
	return out, nil
}

func messageName(m proto.Message) string { return string(m.ProtoReflect().Descriptor().Name()) }

func (s *Stream) readHeader() (*pb.FrameHeader, error) {
	encoded, err := s.readDelimited()
	if err != nil {
		return nil, err
	}
	h := &pb.FrameHeader{}
	if err := proto.Unmarshal(encoded, h); err != nil {
		return nil, errors.Wrap(err, "decoding frame header")
	}
	s.clock.Observe(h.Time)
	return h, nil
}

// readDelimited reads an encoded message with a varint length prefix.
func (s *Stream) readDelimited() ([]byte, error) {
	n, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err
	}
	if n > s.limit {
		return nil, errors.Errorf("message of %d bytes is over the limit of %d", n, s.limit)
	}
	var encoded []byte
	defer func() { s.memory.release(int64(len(encoded))) }()
	for read := 0; ; {
		size := min(n, uint64(max(2*read, minMessageBuffer)))
		s.memory.reserve(int64(size) - int64(read))
		grown := make([]byte, size)
		copy(grown, encoded)
		encoded = grown
		m, err := io.ReadFull(s.reader, encoded[read:])
		if read += m; err != nil || uint64(read) == n {
			if err == io.EOF && read > 0 {
				err = io.ErrUnexpectedEOF
			}
			return encoded, err
		}
	}
}

// closeOnDone closes the stream and unblocks Send and Recv when ctx ends. The
// returned function cancels this.
func (s *Stream) closeOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Abort)
}
