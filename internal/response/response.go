// Package response decides, for all paths to upstreams, whether a response is one of HTTP/1.1
// and whether its end is that of its connection or that of a reset.
package response

import (
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrStatus means that a response has a status that no response has.
var ErrStatus = errors.New("the response has an invalid status")

// CheckStatus returns ErrStatus unless the status of a response has three digits and is from
// 100 to 599. net/http accepts all numbers of three characters.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 || len(resp.Status) < 3 {
		return errors.Wrapf(ErrStatus, "%.16q", resp.Status)
	}
	for _, c := range resp.Status[:3] {
		if c < '0' || c > '9' {
			return errors.Wrapf(ErrStatus, "%.16q", resp.Status)
		}
	}
	return nil
}

// ConnState tells how a TCP connection has ended.
type ConnState uint8

const (
	// Open: the other side has not ended its direction.
	Open ConnState = iota + 1
	// Ended: the other side has ended its direction.
	Ended
	// Reset: the connection is closed in the kernel, as after a reset.
	Reset
	// Closed: this side has closed the connection, or it is not one of TCP.
	Closed
)

// States of a connection in the kernel, as in TCP_INFO.
const (
	tcpEstablished = 1
	tcpClose       = 7
)

// StateOf returns the state of a connection in the kernel. Unlike a read it takes nothing,
// neither data nor the error of a reset, from the user of the connection.
func StateOf(c net.Conn) ConnState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// It fails if this side has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err != nil {
			return
		}
		// The first byte of the information is the state.
		var b [4]byte
		binary.NativeEndian.PutUint32(b[:], uint32(info))
		switch b[0] {
		case tcpEstablished:
			state = Open
		case tcpClose:
			state = Reset
		default:
			state = Ended
		}
	})
	return state
}

// Writes observes the writes to a connection. The kernel reports a reset once: if a write
// gets it, a read sees a regular end, so that a part of a response looks complete. After a
// regular end of the other side, writes fail with EPIPE instead. The zero value is ready.
type Writes struct {
	inProgress atomic.Int32
	reset      atomic.Bool
}

// writeEndWait bounds the wait for a write on a connection that the kernel has closed, which
// fails at once.
const writeEndWait = 200 * time.Millisecond

// Write writes to a connection and notes a reset.
func (w *Writes) Write(c net.Conn, p []byte) (int, error) {
	w.inProgress.Add(1)
	defer w.inProgress.Add(-1)
	n, err := c.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		w.reset.Store(true)
	}
	return n, err
}

// EndedByReset reports whether the end of a connection, which a read has seen, is that of a
// reset that a write was told of. It reports true also if that can't be told in time.
func (w *Writes) EndedByReset(c net.Conn) bool {
	if state := StateOf(c); state == Open || state == Ended {
		return w.reset.Load()
	}
	for until := time.Now().Add(writeEndWait); w.inProgress.Load() > 0; {
		if time.Now().After(until) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return w.reset.Load()
}
