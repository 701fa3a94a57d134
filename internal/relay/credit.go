package relay

import (
	"sync"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

const (
	// creditBytes is the number of bytes that a RelayData without content grants.
	creditBytes = 16 << 10
	// maxDataBytes is the most that one RelayData carries.
	maxDataBytes = 16 << 10
	// toUpstreamCredits and fromUpstreamCredits are the credits that a sender has when a
	// connection has been opened. The receiver holds no more than that.
	toUpstreamCredits   = 2
	fromUpstreamCredits = 4
)

// creditGrant is a RelayData that grants another creditBytes to the receiver.
func creditGrant() *pb.RelayData { return &pb.RelayData{} }

func isCreditGrant(d *pb.RelayData) bool { return len(d.Data) == 0 && !d.End && !d.Reset_ }

// creditCounter counts the bytes that a receiver has passed on and tells how many grants
// are due for them.
type creditCounter struct{ bytes int }

func (c *creditCounter) add(n int) (grants int) {
	c.bytes += n
	grants = c.bytes / creditBytes
	c.bytes %= creditBytes
	return grants
}

// credit is what a sender may still send.
type credit struct {
	mu    sync.Mutex
	bytes int
	// changed is signalled by grants.
	changed chan struct{}
}

func newCredit(credits int) *credit {
	return &credit{bytes: credits * creditBytes, changed: make(chan struct{}, 1)}
}

func (c *credit) grant() {
	c.mu.Lock()
	c.bytes += creditBytes
	c.mu.Unlock()
	signal(c.changed)
}

// available returns how many bytes may be sent.
func (c *credit) available() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

func (c *credit) use(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes -= n
}

// signal wakes the reader of c, if it is not due to wake already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
