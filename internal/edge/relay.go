package edge

import (
	"context"

	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/relay"
)

// newRelayDialer returns a dialer that opens connections to upstreams through the core
// daemons.
func (e *entryProcess) newRelayDialer() *relay.Dialer {
	return relay.NewDialer(relay.DialerOptions{
		Helpers: e.coreMembers, Place: e.self.Place,
		Transport: e.transportOptions(), Logger: e.logger,
	})
}

func (e *entryProcess) coreMembers() []string {
	subscriber := e.subscriber.Load()
	if subscriber == nil {
		return nil
	}
	return subscriber.CoreMembers()
}

// upstreamRelay implements forward.Relay.
type upstreamRelay struct{ dialer *relay.Dialer }

// Dial implements forward.Relay.
func (r upstreamRelay) Dial(ctx context.Context, address string) (forward.RelayedConn, error) {
	c, err := r.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}
