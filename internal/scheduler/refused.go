package scheduler

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// refusedRequests remembers refused requests by their content until their callers
// have stopped waiting, so that a caller who returns is recognised. It is guarded
// by the queue lock. A new lease holder starts with none.
type refusedRequests struct {
	expiry map[refusedKey]time.Duration
	// order lists the keys in the order in which they were added.
	order []refusedKey
}

// refusedKey identifies a request by its organisation and its content. Requests of another
// organisation with equal content are other requests.
type refusedKey struct {
	organisation string
	content      uint64
}

func keyOf(req *pb.SubmitRequest) refusedKey { return refusedKey{req.Organisation, req.ContentHash} }

// maxRefused bounds the remembered requests; the oldest are forgotten first.
const maxRefused = 20000

// add remembers a request. Later attempts by an entry are left out: their callers
// may have received part of the answer.
func (r *refusedRequests) add(req *pb.SubmitRequest, now time.Duration) {
	if req.ContentHash == 0 || req.Attempt > 1 {
		return
	}
	if r.expiry == nil {
		r.expiry = map[refusedKey]time.Duration{}
	}
	if _, known := r.expiry[keyOf(req)]; !known {
		r.order = append(r.order, keyOf(req))
	}
	r.expiry[keyOf(req)] = now + fromMillis(req.DeadlineMs)
	r.prune(now)
}

// take reports whether a first attempt was refused before, and forgets it.
func (r *refusedRequests) take(req *pb.SubmitRequest, now time.Duration) bool {
	expiry, known := r.expiry[keyOf(req)]
	if !known || req.Attempt > 1 {
		return false
	}
	delete(r.expiry, keyOf(req))
	return now < expiry
}

// prune forgets requests that were taken, have expired or exceed maxRefused.
func (r *refusedRequests) prune(now time.Duration) {
	for len(r.order) > 0 {
		expiry, known := r.expiry[r.order[0]]
		if known && now < expiry && len(r.expiry) <= maxRefused {
			return
		}
		delete(r.expiry, r.order[0])
		r.order = r.order[1:]
	}
}
