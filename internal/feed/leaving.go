package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
)

// leavingRefresh is the time after which the record of a process that still drains is written
// again. The log keeps it for longer.
const leavingRefresh = 45 * time.Second

var (
	errNoDisk  = errors.New("the disk is not available")
	errNotKept = errors.New("too many processes that are not known have given notice of leaving")
)

// leavingKey identifies what a process has said: that it drains, or that it ends.
type leavingKey struct {
	id     string
	bornMs int64
	phase  pb.UpstreamPhase
}

func keyOfLeaving(r *pb.UpstreamRecord) leavingKey { return leavingKey{r.Id, r.BornMs, r.Phase} }

// leavingWrite is a record that is being written, or has been.
type leavingWrite struct {
	startedAt time.Duration
	// done is closed when the write has ended, with err.
	done chan struct{}
	err  error
}

func (w *leavingWrite) wait(ctx context.Context) error {
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the disk")
	}
}

// AcceptReport applies a report that an upstream sent to this daemon. It returns nil once the
// report may be acknowledged: the upstream does not repeat that it drains.
func (h *Hub) AcceptReport(ctx context.Context, r *pb.UpstreamRecord) error {
	h.Report(r)
	if r.Phase != pb.UpstreamPhase_UPSTREAM_DRAINING {
		return nil
	}
	return h.storeLeaving(ctx, r)
}

// AcceptLeave marks an upstream process as gone after it said that it is ending. It returns nil
// once the notice may be acknowledged. bornMs is the start of the process in Unix milliseconds;
// 0 if the notice does not tell it.
func (h *Hub) AcceptLeave(ctx context.Context, id string, bornMs int64) error {
	h.Leave(id, bornMs)
	h.mu.Lock()
	ended, ok := h.table.Ended(id, bornMs, h.now())
	h.mu.Unlock()
	switch {
	case !ok:
		return errNotKept
	case ended == nil:
		return nil
	}
	return h.storeLeaving(ctx, ended)
}

// storeLeaving returns nil once the record of a process that leaves is on the disk.
func (h *Hub) storeLeaving(ctx context.Context, r *pb.UpstreamRecord) error {
	h.mu.Lock()
	w := h.writeLeaving(r)
	h.mu.Unlock()
	return w.wait(ctx)
}

// writeLeaving begins to write a record, unless what it says is being written or was of late.
// The caller holds mu.
func (h *Hub) writeLeaving(r *pb.UpstreamRecord) *leavingWrite {
	key := keyOfLeaving(r)
	if w := h.leavingWrites[key]; w != nil && h.now()-w.startedAt < leavingRefresh {
		return w
	}
	w := &leavingWrite{startedAt: h.now(), done: make(chan struct{})}
	err := errNoDisk
	if h.opts.StreamLog != nil {
		err = h.opts.StreamLog.AppendLeaving(r, func(err error) { h.leavingWritten(key, w, err) })
	}
	if err != nil {
		w.err = err
		close(w.done)
		return w
	}
	h.leavingWrites[key] = w
	return w
}

func (h *Hub) leavingWritten(key leavingKey, w *leavingWrite, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.err = err
	close(w.done)
	if err != nil && h.leavingWrites[key] == w {
		delete(h.leavingWrites, key)
	}
}

// keepLeaving begins to write those of the changed records whose processes leave. The caller
// holds mu.
func (h *Hub) keepLeaving(changed []*pb.UpstreamRecord) {
	for _, r := range changed {
		switch r.Phase {
		case pb.UpstreamPhase_UPSTREAM_DRAINING, pb.UpstreamPhase_UPSTREAM_GONE:
			h.writeLeaving(r)
		case pb.UpstreamPhase_UPSTREAM_READY:
			delete(h.leavingWrites, leavingKey{r.Id, r.BornMs, pb.UpstreamPhase_UPSTREAM_DRAINING})
		}
	}
}

// sweepLeaving forgets old writes. The caller holds mu.
func (h *Hub) sweepLeaving() {
	for key, w := range h.leavingWrites {
		if h.now()-w.startedAt >= leavingRefresh {
			delete(h.leavingWrites, key)
		}
	}
}

// restoreLeaving applies the stored records of processes that drain or have ended.
func (h *Hub) restoreLeaving(stored []*pb.UpstreamRecord) {
	for _, r := range stored {
		// The log still holds the record.
		r = proto.CloneOf(r)
		at := h.now() - milliseconds(r.AgeMs)
		if fleet.IsNotice(r) {
			h.table.Leave(r.Id, r.BornMs, at)
			continue
		}
		h.table.Observe(r, h.now())
		h.seeReport(r, at)
	}
}
