package timeline

import (
	"sync"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Clock is a hybrid logical clock (HLC). Its readings are strictly increasing,
// and a reading taken after Observe(t) is later than t. So an event caused by a
// message sorts after the event that sent the message, even when the physical
// clocks of the two VMs differ. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu      sync.Mutex
	wallUS  int64
	logical uint32
}

// NewClock returns a clock that reads physical time from now; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns the next reading.
func (c *Clock) Now() *pb.Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick(c.now().UnixMicro())
	return &pb.Timestamp{WallUs: c.wallUS, Logical: c.logical}
}

// Observe merges a reading received from another process.
func (c *Clock) Observe(t *pb.Timestamp) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.WallUs > c.wallUS || (t.WallUs == c.wallUS && t.Logical > c.logical) {
		c.wallUS = t.WallUs
		c.logical = t.Logical
	}
}

// tick moves the clock to wallUS, in microseconds of Unix time, or increments the
// logical part when the clock is already there or ahead.
func (c *Clock) tick(wallUS int64) {
	if wallUS > c.wallUS {
		c.wallUS = wallUS
		c.logical = 0
		return
	}
	c.logical++
}

// Before reports whether a sorts before b.
func Before(a, b *pb.Timestamp) bool {
	if a.GetWallUs() != b.GetWallUs() {
		return a.GetWallUs() < b.GetWallUs()
	}
	return a.GetLogical() < b.GetLogical()
}
