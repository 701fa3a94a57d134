package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/upstream"
)

// Guards against an engine that accepts each role order, never changes, and gets no requests for
// most of the time because it is ordered again as soon as it is used again. Another engine is to
// change in its place, but not one after the other if all of them ignore their orders.
func TestEngineThatIgnoresItsOrderIsUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports bool
		unused  time.Duration
	}{
		{"the engine reports no order", true, ignoredOrderCheck},
		{"the engine does not report", false, switchTime + announceRoleTimeout},
	} {
		f := newRoleFleet()
		p := f.leader(7, 0)
		orders, sent, unused := 0, map[string]int{}, map[string]time.Duration{}
		for now := 100 * time.Millisecond; now < 60*time.Second; now += 100 * time.Millisecond {
			f.announce(p, now)
			p.Run(Expiry, now)
			p.Run(Roles, now)
			for _, a := range p.Run(Orders, now) {
				switch x := a.(type) {
				case SendOrder:
					p.OrderDone(x.ID, "", now)
					require.LessOrEqual(t, sent[x.Engine.Id], int((now-4*time.Second)/ignoredOrderDelay), c.name)
					sent[x.Engine.Id]++
					orders++
				case AskRole:
					if c.reports {
						p.RoleReported(x, &upstream.RoleReport{Role: roleName(x.Engine.Role)}, now)
					}
				}
			}
			for id, m := range p.upstreams.byID {
				if !m.view.Usable {
					unused[id] += 100 * time.Millisecond
				}
			}
		}
		require.Greater(t, len(sent), 1, c.name)
		require.LessOrEqual(t, orders, 6, "%s: the interval doubles five times in a minute", c.name)
		for id, n := range sent {
			require.LessOrEqual(t, unused[id], time.Duration(n)*(c.unused+200*time.Millisecond), "%s: %s", c.name, id)
		}
	}
}
