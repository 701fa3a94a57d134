package streamlog

import (
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// errQueueFull is the error of a write that a stalled disk leaves no room for.
var errQueueFull = errors.Errorf("%d writes wait for the disk", maxAwaited)

// awaitedWrites is what somebody waits for who must not go on before it is on the disk.
type awaitedWrites struct {
	// leaving are records of processes that drain or have ended.
	leaving []*pb.UpstreamRecord
	// onWritten are called with the result of the write.
	onWritten []func(error)
}

func (w *awaitedWrites) written(err error) {
	for _, f := range w.onWritten {
		f(err)
	}
}

// AppendLeaving queues the record of a process that drains or has ended for the next write,
// which begins at once. It does not wait: onWritten is called with the result of the write,
// by another goroutine. r must not change afterwards.
func (l *Log) AppendLeaving(r *pb.UpstreamRecord, onWritten func(error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.await([]*pb.UpstreamRecord{r}, onWritten)
}

// StoreHistory makes the log write a batch at once, with the versions in use at that time.
// onWritten is called as by AppendLeaving.
func (l *Log) StoreHistory(onWritten func(error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.historyChanged = true
	return l.await(nil, onWritten)
}

// await queues an awaited write. The caller holds mu.
func (l *Log) await(leaving []*pb.UpstreamRecord, onWritten func(error)) error {
	if len(l.awaited.onWritten) >= maxAwaited {
		return errQueueFull
	}
	l.awaited.leaving = append(l.awaited.leaving, leaving...)
	l.awaited.onWritten = append(l.awaited.onWritten, onWritten)
	select {
	case l.urgent <- struct{}{}:
	default:
	}
	return nil
}
