package budget_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/budget"
)

// descriptorLimit is the limit of the processes of these tests, crowd the number of callers.
const (
	descriptorLimit = 64
	crowd           = 60
)

// Guards against connections that no longer count although their descriptors are open, because
// they were told to end and have not done so yet: nobody serves those of this test.
func TestConnectionsCountUntilTheyAreClosed(t *testing.T) {
	l, err := budget.New(0, descriptorLimit).Listen("127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var open []net.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
		}
	}()
	for range crowd {
		dial(t, l.Addr().String())
	}
	// The kernel accepts them at once; the listener sees the last one within this time.
	time.Sleep(time.Second)
	require.NoError(t, l.Close())
	<-accepted
	for _, c := range open {
		_ = c.Close()
	}
	require.LessOrEqual(t, len(open), descriptorLimit*35/100, "accepted connections of %d, none of which was closed", crowd)
}
