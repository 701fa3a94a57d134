package transport

import (
	"context"
	"net"
	"time"
)

// hedgeInterval is the time between parallel connection attempts. The kernel
// retransmits a lost SYN packet only after 1 s; round trips between data centres
// stay far below 250 ms.
const hedgeInterval = 250 * time.Millisecond

// hedgedDial returns the result of the first attempt that connects or fails, or
// the error of ctx. It starts a further parallel attempt after each interval and
// closes the connections that it does not return.
func hedgedDial(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	attempt := func() {
		conn, err := dial(ctx)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			go attempt()
		}
	}
}
