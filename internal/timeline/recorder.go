package timeline

import (
	"sync"

	"github.com/phuslu/log"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// DefaultRingSize is the number of recent events that a Recorder keeps by default.
const DefaultRingSize = 8192

// Recorder gives events the time of its clock, logs each as one key=value line
// and keeps the most recent ones in a ring buffer. A nil Recorder drops every
// event. It is safe for concurrent use.
type Recorder struct {
	clock   *Clock
	vm      string
	process string
	logger  *log.Logger

	mu   sync.Mutex
	ring []*pb.Event
	// next is the index in ring of the next event to store. full is set once all
	// of ring is in use and new events replace the oldest.
	next int
	full bool
}

// NewRecorder returns a recorder for one process. With a nil logger, events are
// only kept in the ring buffer. size is that of the ring buffer; 0 means
// DefaultRingSize.
func NewRecorder(clock *Clock, vm, process string, logger *log.Logger, size int) *Recorder {
	if size <= 0 {
		size = DefaultRingSize
	}
	return &Recorder{clock: clock, vm: vm, process: process, logger: logger, ring: make([]*pb.Event, size)}
}

// Clock returns the clock of the recorder, nil for a nil Recorder.
func (r *Recorder) Clock() *Clock {
	if r == nil {
		return nil
	}
	return r.clock
}

// Record sets the time, VM and process of e, stores it in the ring buffer and
// logs it. The caller must not use e afterwards. kv lists alternating keys and
// values that become attributes.
func (r *Recorder) Record(e *pb.Event, kv ...string) {
	if r == nil {
		return
	}
	e.Time = r.clock.Now()
	e.Vm = r.vm
	e.Process = r.process
	for i := 0; i+1 < len(kv); i += 2 {
		e.Attributes = append(e.Attributes, &pb.Attribute{Key: kv[i], Value: kv[i+1]})
	}
	r.store(e)
	r.logEvent(e)
}

func (r *Recorder) store(e *pb.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next = 0
		r.full = true
	}
}

func (r *Recorder) logEvent(e *pb.Event) {
	if r.logger == nil {
		return
	}
	entry := r.logger.Info()
	if entry == nil {
		return
	}
	entry = entry.Str("event", e.Kind).Int64("hlc_us", e.Time.WallUs).Uint32("hlc_seq", e.Time.Logical).
		Str("vm", e.Vm).Str("process", e.Process)
	if e.RequestId != "" {
		entry = entry.Str("request", e.RequestId)
	}
	if e.Attempt != 0 {
		entry = entry.Uint32("attempt", e.Attempt)
	}
	if e.Upstream != "" {
		entry = entry.Str("upstream", e.Upstream)
	}
	if e.Lease != "" {
		entry = entry.Str("lease", e.Lease)
	}
	for _, a := range e.Attributes {
		entry = entry.Str(a.Key, a.Value)
	}
	entry.Msg("")
}

// Events returns the events in the ring buffer that match f, oldest first, only
// the last f.Limit of them when it is set.
func (r *Recorder) Events(f *pb.EventsRequest) []*pb.Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pb.Event
	collect := func(events []*pb.Event) {
		for _, e := range events {
			if e != nil && Match(e, f) {
				out = append(out, e)
			}
		}
	}
	if r.full {
		collect(r.ring[r.next:])
	}
	collect(r.ring[:r.next])
	if limit := int(f.GetLimit()); limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// Match reports whether e passes the filter; empty filter fields match all.
func Match(e *pb.Event, f *pb.EventsRequest) bool {
	if f.GetRequestId() != "" && f.GetRequestId() != e.RequestId {
		return false
	}
	if f.GetUpstream() != "" && f.GetUpstream() != e.Upstream {
		return false
	}
	return f.GetLease() == "" || f.GetLease() == e.Lease
}
