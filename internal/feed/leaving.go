package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
)

// leavingRefresh is the time after which the record of a process that still drains is written
// again. The log keeps it for longer.
const leavingRefresh = 45 * time.Second

var (
	errNoDisk     = errors.New("the disk is not available")
	errOutOfReach = errors.New("a core daemon is out of reach")
	errNotMember  = errors.New("this daemon has not joined the core")
	errNotKept    = errors.New("too many processes that are not known have given notice of leaving")
)

// leavingKey identifies what a process has said: that it drains, or that it ends.
type leavingKey struct {
	id     string
	bornMs int64
	phase  pb.UpstreamPhase
	// notice is set for a notice of a process that the sender did not know. The record of its end
	// says more.
	notice bool
}

func keyOfLeaving(r *pb.UpstreamRecord) leavingKey {
	return leavingKey{r.Id, r.BornMs, r.Phase, fleet.IsNotice(r)}
}

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

// storeLeavingTimeout limits the time in which another hub stores a record. Upstreams call the
// next daemon after 1 s.
const storeLeavingTimeout = 800 * time.Millisecond

// storeLeaving returns nil once a majority of the hubs knows the record of a process that leaves
// and has it on its disk: it is not lost then with the disks whose loss the core bears, nor with
// all processes. Hubs of builds that cannot store it don't count.
func (h *Hub) storeLeaving(ctx context.Context, r *pb.UpstreamRecord) error {
	key := keyOfLeaving(r)
	h.mu.Lock()
	confirmedAt, confirmed := h.leavingConfirmed[key]
	confirmed = confirmed && h.now()-confirmedAt < leavingRefresh
	own := h.writeLeaving(r)
	h.mu.Unlock()
	if confirmed {
		return nil
	}
	others, hubs := h.otherHubs()
	if hubs == 0 {
		return errNotMember
	}
	results := make(chan error, hubs)
	go func() { results <- own.wait(ctx) }()
	for _, client := range others {
		go func() { results <- h.storeLeavingAt(client, r) }()
	}
	for range hubs - 1 - len(others) {
		results <- errOutOfReach
	}
	return h.awaitMajority(ctx, key, hubs, results)
}

// awaitMajority returns nil once more than half of the hubs have stored a record, and an error once
// that has become impossible.
func (h *Hub) awaitMajority(ctx context.Context, key leavingKey, hubs int, results <-chan error) error {
	stored := 0
	var failure error
	for failed := 0; 2*failed < hubs; {
		select {
		case err := <-results:
			if err != nil {
				failed++
				failure = err
				continue
			}
			stored++
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d core daemons have stored it", stored, hubs)
		}
		if 2*stored > hubs {
			h.mu.Lock()
			h.leavingConfirmed[key] = h.now()
			h.mu.Unlock()
			return nil
		}
	}
	return errors.Wrapf(failure, "%d of %d core daemons have stored it", stored, hubs)
}

// storeLeavingAt has another hub store a record. It goes on when the caller has its majority, so
// that all hubs in reach learn of the record.
func (h *Hub) storeLeavingAt(client *transport.Client, r *pb.UpstreamRecord) error {
	ctx, cancel := context.WithTimeout(h.ctx, storeLeavingTimeout)
	defer cancel()
	return client.Call(ctx, transport.MethodStoreLeaving, &pb.StoreLeavingRequest{Record: r}, &pb.StoreLeavingResponse{})
}

// serveStoreLeaving stores a record for another hub. What is new is passed on, as that hub may end
// before it has reached all others.
func (h *Hub) serveStoreLeaving(ctx context.Context, req *pb.StoreLeavingRequest) (*pb.StoreLeavingResponse, error) {
	r := req.Record
	if r.GetId() == "" {
		return nil, errors.New("the request names no process")
	}
	if fleet.IsNotice(r) {
		h.leave(r.Id, r.BornMs, milliseconds(r.AgeMs), true)
	} else {
		h.applyFromHub(r, true)
	}
	ctx, cancel := context.WithTimeout(ctx, storeLeavingTimeout)
	defer cancel()
	h.mu.Lock()
	w := h.writeLeaving(r)
	h.mu.Unlock()
	return &pb.StoreLeavingResponse{}, w.wait(ctx)
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
			key := leavingKey{id: r.Id, bornMs: r.BornMs, phase: pb.UpstreamPhase_UPSTREAM_DRAINING}
			delete(h.leavingWrites, key)
			delete(h.leavingConfirmed, key)
		}
	}
}

// sweepLeaving forgets old writes and confirmations. The caller holds mu.
func (h *Hub) sweepLeaving() {
	for key, at := range h.leavingConfirmed {
		if h.now()-at >= leavingRefresh {
			delete(h.leavingConfirmed, key)
		}
	}
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
