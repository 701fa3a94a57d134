package transport

import (
	"context"
	"net"
	"time"
)

// hedgeInterval is the time after which a connection attempt without an answer
// is joined by another one. The kernel repeats a lost first packet only after
// 1 s; round trips between data centres stay far below 250 ms.
const hedgeInterval = 250 * time.Millisecond

// hedge dials until one attempt connects, one fails, or ctx ends. It starts a
// further attempt after each interval and closes the connections that lose.
func hedge(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
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
