package streamlog

import (
	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// errQueueFull is the error of a record that a stalled disk leaves no room for.
var errQueueFull = errors.Errorf("%d processes that leave wait for the disk", maxQueuedLeaving)

// leavingQueue holds the records of processes that leave until they are written.
type leavingQueue struct {
	records []*pb.UpstreamRecord
	// onWritten are called with the result of the write.
	onWritten []func(error)
}

func (q *leavingQueue) written(err error) {
	for _, f := range q.onWritten {
		f(err)
	}
}

// AppendLeaving queues the record of a process that drains or has ended for the next write,
// which begins at once. It does not wait: onWritten is called with the result of the write,
// by another goroutine. r must not change afterwards.
func (l *Log) AppendLeaving(r *pb.UpstreamRecord, onWritten func(error)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.leaving.records) >= maxQueuedLeaving {
		return errQueueFull
	}
	l.leaving.records = append(l.leaving.records, r)
	l.leaving.onWritten = append(l.leaving.onWritten, onWritten)
	select {
	case l.urgent <- struct{}{}:
	default:
	}
	return nil
}
