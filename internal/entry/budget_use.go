package entry

import (
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// budgetUseSlot is the time within which submissions are counted together, and
	// budgetUseTTL how long they are remembered: longer than the window of a retry
	// budget.
	budgetUseSlot = 250 * time.Millisecond
	budgetUseTTL  = 30 * time.Second
)

// budgetUse counts the submissions to the schedulers of a pool, so that a new scheduler
// learns what its predecessors have spent of the retry budget.
type budgetUse struct {
	slots []budgetSlot
}

// budgetSlot counts the submissions to one scheduler within a slot of time.
type budgetSlot struct {
	start    time.Time
	token    uint64
	requests uint32
	retries  uint32
}

// add counts a submission to the scheduler with a fencing token that was granted.
func (u *budgetUse) add(token uint64, req *pb.SubmitRequest, now time.Time) {
	for len(u.slots) > 0 && now.Sub(u.slots[0].start) > budgetUseTTL {
		u.slots = u.slots[1:]
	}
	n := len(u.slots)
	if n == 0 || u.slots[n-1].token != token || now.Sub(u.slots[n-1].start) > budgetUseSlot {
		u.slots = append(u.slots, budgetSlot{start: now, token: token})
		n++
	}
	if req.Attempt <= 1 {
		u.slots[n-1].requests++
		return
	}
	u.slots[n-1].retries += max(1, req.RetrySends)
}

// earlier returns what was submitted to other schedulers than the one with a token.
func (u *budgetUse) earlier(token uint64, now time.Time) []*pb.RetryBudgetUse {
	var list []*pb.RetryBudgetUse
	for _, s := range u.slots {
		if s.token != token {
			list = append(list, &pb.RetryBudgetUse{AgeMs: uint32(max(0, now.Sub(s.start)).Milliseconds()), Requests: s.requests, Retries: s.retries})
		}
	}
	return list
}
