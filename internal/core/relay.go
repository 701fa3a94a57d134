package core

import (
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/forward"
	"godwitward.example/godwitward/internal/relay"
	"godwitward.example/godwitward/platform"
)

const (
	// relayDescriptorShare and relayMemoryShare are the parts of the VM's limits for
	// connections that are relayed for entries. The rest is for the daemon's own work: a
	// system without its core daemons loses more than the callers of a few entries.
	relayDescriptorShare = 0.25
	relayMemoryShare     = 0.125
	// relayedConnBytes is the memory of a relayed connection: the buffers and stacks of
	// both directions.
	relayedConnBytes = 64 << 10
	// defaultMaxRelayed applies where the settings state no limits.
	defaultMaxRelayed = 256
	// shutdownMargin is what a stop that waits for relayed connections leaves of the grace
	// period.
	shutdownMargin = time.Second
)

// startRelay starts to relay connections between entries and the upstreams in the hub's
// table.
func (d *daemon) startRelay(s *platform.Settings, logger *log.Logger) {
	d.relay = relay.NewServer(relay.ServerOptions{
		Knows: d.hub.KnowsUpstream, MaxConns: maxRelayed(s), Logger: logger, Dial: d.memory.DialUpstream(forward.NewDialFunc(netip.Addr{})),
	}, d.sessions)
}

// maxRelayed returns the most connections that a daemon relays at a time.
func maxRelayed(s *platform.Settings) int {
	n := defaultMaxRelayed
	if s.MemoryBytes > 0 {
		n = int(relayMemoryShare * float64(s.MemoryBytes) / relayedConnBytes)
	}
	if s.MaxDescriptors > 0 {
		n = min(n, int(relayDescriptorShare*float64(s.MaxDescriptors)))
	}
	return n
}

// waitForRelayed waits until the relayed connections have ended, for what is left of
// the grace period, of which the stop has used some already.
func (d *daemon) waitForRelayed(used time.Duration, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), d.gracePeriod-used-shutdownMargin)
	defer cancel()
	if open := d.relay.Wait(ctx); open > 0 {
		logger.Warn().Str("event", "relay.cut_off").Int("connections", open).Msg("")
	}
}
