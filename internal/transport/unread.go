package transport

import (
	"encoding/binary"
	"sync"
	"time"
)

// The header of a yamux frame, and what of it tells which bytes a stream receives.
const (
	frameHeaderBytes   = 12
	frameData          = 0
	frameWindowUpdate  = 1
	frameFlagSYN       = 1
	frameFlagFIN       = 4
	frameFlagRST       = 8
	streamCloseTimeout = 30 * time.Second
)

// unreadBytes counts what the streams of a session have received and their handlers have not
// read. yamux buffers up to 256 KiB of it for each stream until both sides have closed it, and
// does not tell how much, so it is taken from the frames.
type unreadBytes struct {
	memory *messageMemory

	mu      sync.Mutex
	streams map[uint32]*unreadStream
	// unaccepted holds the streams that the peer has opened since the last one accepted, in order.
	unaccepted []*unreadStream
	// ended is set once the session no longer counts.
	ended bool

	// header holds the first bytes of a frame's header, and bodyLeft what is missing of the body
	// of a data frame for the stream body, nil if yamux discards it. Only received uses them.
	header      [frameHeaderBytes]byte
	headerBytes int
	body        *unreadStream
	bodyLeft    uint32
}

// unreadStream is what a stream holds.
type unreadStream struct {
	id    uint32
	bytes int64
	// peerEnded is set once the peer has closed the stream, reset once it has reset it.
	peerEnded, reset bool
	// expiry is set once the stream is closed on this side: yamux then frees it when the peer
	// closes it too, at the latest after streamCloseTimeout.
	expiry *time.Timer
}

func newUnreadBytes(memory *messageMemory) *unreadBytes {
	return &unreadBytes{memory: memory, streams: map[uint32]*unreadStream{}}
}

// received counts bytes that have arrived on the connection.
func (u *unreadBytes) received(b []byte) {
	if u == nil {
		return
	}
	u.mu.Lock()
	var change int64
	for len(b) > 0 && !u.ended {
		if u.bodyLeft > 0 {
			n := min(len(b), int(u.bodyLeft))
			u.bodyLeft -= uint32(n)
			if u.body != nil {
				u.body.bytes += int64(n)
				change += int64(n)
			}
			b = b[n:]
			continue
		}
		n := copy(u.header[u.headerBytes:], b)
		b = b[n:]
		if u.headerBytes += n; u.headerBytes == frameHeaderBytes {
			u.headerBytes = 0
			change -= u.beginFrame()
		}
	}
	u.mu.Unlock()
	if change != 0 {
		u.memory.reserve(change)
	}
}

// beginFrame applies a header and returns the bytes that its stream no longer holds. The caller
// holds mu.
func (u *unreadBytes) beginFrame() (freed int64) {
	kind, flags := u.header[1], binary.BigEndian.Uint16(u.header[2:])
	id, length := binary.BigEndian.Uint32(u.header[4:]), binary.BigEndian.Uint32(u.header[8:])
	if kind > frameWindowUpdate {
		return 0
	}
	st := u.streams[id]
	if flags&frameFlagSYN != 0 {
		// The peer may use the id of a refused stream again.
		freed = u.remove(st)
		st = &unreadStream{id: id}
		u.streams[id] = st
		u.unaccepted = append(u.unaccepted, st)
	}
	if st != nil && flags&(frameFlagFIN|frameFlagRST) != 0 {
		st.peerEnded = true
		st.reset = st.reset || flags&frameFlagRST != 0
		if st.expiry != nil {
			freed += u.remove(st)
			st = nil
		}
	}
	if kind == frameData {
		u.body, u.bodyLeft = st, length
		if st != nil && st.reset {
			u.body = nil
		}
	}
	return freed
}

// remove ends the count of a stream and returns what it held. The caller holds mu.
func (u *unreadBytes) remove(st *unreadStream) (freed int64) {
	if st == nil || u.streams[st.id] != st {
		return 0
	}
	delete(u.streams, st.id)
	if u.body == st {
		u.body = nil
	}
	if st.expiry != nil {
		st.expiry.Stop()
	}
	freed, st.bytes = st.bytes, 0
	return freed
}

// accepted notes that a stream was accepted. Those that the peer has opened before it and that
// were not accepted are refused: yamux accepts streams in order, up to a number that wait.
func (u *unreadBytes) accepted(id uint32) {
	if u == nil {
		return
	}
	u.mu.Lock()
	var freed int64
	for len(u.unaccepted) > 0 {
		first := u.unaccepted[0]
		u.unaccepted = u.unaccepted[1:]
		if first.id == id && u.streams[id] == first {
			break
		}
		freed += u.remove(first)
	}
	u.mu.Unlock()
	u.memory.release(freed)
}

// read counts n bytes that were read of a stream.
func (u *unreadBytes) read(id uint32, n int) {
	if u == nil {
		return
	}
	u.mu.Lock()
	var freed int64
	if st := u.streams[id]; st != nil {
		freed = min(int64(n), st.bytes)
		st.bytes -= freed
	}
	u.mu.Unlock()
	u.memory.release(freed)
}

// closed notes that a stream was closed on this side.
func (u *unreadBytes) closed(id uint32) {
	if u == nil {
		return
	}
	u.mu.Lock()
	var freed int64
	switch st := u.streams[id]; {
	case st == nil || st.expiry != nil:
	case st.peerEnded:
		freed = u.remove(st)
	default:
		st.expiry = time.AfterFunc(streamCloseTimeout, func() {
			u.mu.Lock()
			freed := u.remove(st)
			u.mu.Unlock()
			u.memory.release(freed)
		})
	}
	u.mu.Unlock()
	u.memory.release(freed)
}

// end ends the count: the session and its handlers have ended.
func (u *unreadBytes) end() {
	u.mu.Lock()
	u.ended = true
	var freed int64
	for _, st := range u.streams {
		freed += u.remove(st)
	}
	u.mu.Unlock()
	u.memory.release(freed)
}
