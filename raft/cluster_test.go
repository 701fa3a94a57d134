package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// porcupineTimeout is the timeout of the linearizability check of one history.
const porcupineTimeout = 5 * time.Second

// defaultSeed makes the default run reproducible. To run longer with another seed:
//
//	go test ./raft -run TestClusterInvariants -rapid.checks=10000 -rapid.seed=<n>
const defaultSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", defaultSeed)
	setDefault("rapid.checks", "500")
	setDefault("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

// Guards against a violation of election safety, log matching, leader
// completeness, state machine safety or read linearizability under message
// loss, duplication, reordering, one-way partitions, crashes, membership changes
// and disk replacement, and against a cluster that doesn't recover afterwards.
func TestClusterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "size")
		c := newSimCluster(rapid.Uint64().Draw(t, "seed"), size)
		c.maxAppendBytes = rapid.SampledFrom([]uint64{1, 32}).Draw(t, "append bytes")
		c.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss")
		c.duplicatePercent = rapid.IntRange(0, 20).Draw(t, "duplicates")
		rate := func(name string, rates ...int) int { return rapid.SampledFrom(rates).Draw(t, name) }
		c.rates = simRates{
			write:            rate("write", 5, 20, 50),
			read:             rate("read", 0, 5, 20),
			campaign:         rate("force", 0, 1, 5, 20),
			isolate:          rate("isolate", 0, 1, 5),
			heal:             rate("heal", 1, 5),
			crash:            rate("crash", 0, 2, 10, 50),
			restart:          rate("restart", 5, 20),
			compact:          rate("compact", 0, 2, 10),
			changeMembership: rate("churn", 0, 2, 20),
			replaceDisk:      rate("replace", 0, 1),
		}
		c.tickPercent = rapid.IntRange(5, 30).Draw(t, "ticks")
		c.deliverPercent = rapid.IntRange(10, 50).Draw(t, "deliveries")
		drawRunning := func(t *rapid.T) *simMember {
			m := c.members[rapid.SampledFrom(c.ids).Draw(t, "member")]
			if !m.running {
				t.Skip("member is down")
			}
			return m
		}
		run := func(t *rapid.T) { c.run(rapid.IntRange(50, 1000).Draw(t, "actions")) }
		t.Repeat(map[string]func(*rapid.T){
			"run":       run,
			"run again": run,
			"crash":     func(t *rapid.T) { c.crash(drawRunning(t)) },
			"restart":   func(*rapid.T) { c.restartAll() },
			"isolate":   func(t *rapid.T) { c.isolate(drawRunning(t).id, true, rapid.Bool().Draw(t, "both ways")) },
			"heal":      func(*rapid.T) { clear(c.blocked) },
			"campaign":  func(t *rapid.T) { m := drawRunning(t); m.core.Campaign(); c.checkLeader(m) },
			"transfer":  func(t *rapid.T) { _ = drawRunning(t).core.TransferLeadership(drawRunning(t).id) },
			"repair":    func(*rapid.T) { c.repair(size) },
			"": func(t *rapid.T) {
				if c.violation != "" {
					t.Fatal(c.violation)
				}
			},
		})
		c.requireRecovery(t, size)
		if c.linearizable() == porcupine.Illegal {
			t.Fatal("the history of reads and writes is not linearizable")
		}
	})
}

func (c *simCluster) restartAll() {
	for _, id := range c.ids {
		if m := c.members[id]; !m.running && !m.diskLost {
			c.start(m)
		}
	}
}

// canLoseDisk reports whether every membership that any member may use keeps a
// majority of intact disks without that of m.
func (c *simCluster) canLoseDisk(m *simMember) bool {
	if m.diskLost {
		return false
	}
	for _, id := range c.ids {
		other := c.members[id]
		if !other.running {
			return false
		}
		for _, at := range other.core.log.memberships {
			if 2*(c.countLostDisks(at.membership.Voters)+1) >= len(at.membership.Voters) {
				return false
			}
		}
	}
	return true
}

// requireRecovery ends all faults and requires that the cluster elects a leader,
// commits a write and replicates it to all members.
func (c *simCluster) requireRecovery(t *rapid.T, size int) {
	c.lossPercent, c.duplicatePercent, c.rates = 0, 0, simRates{}
	c.tickPercent, c.deliverPercent = defaultTickPercent, defaultDeliverPercent
	clear(c.blocked)
	c.restartAll()
	value := uint64(0)
	for range 400 {
		c.run(200)
		if c.violation != "" {
			t.Fatal(c.violation)
		}
		leader := c.leader()
		if leader == nil {
			continue
		}
		if value == 0 {
			c.write(leader)
			value = c.lastValue
			continue
		}
		c.repair(size)
		if c.converged(leader, value) {
			return
		}
		if leader.value != value && len(leader.writes) == 0 {
			value = 0
		}
	}
	t.Fatalf("the cluster did not recover: %s", c.describe())
}

func (c *simCluster) converged(leader *simMember, value uint64) bool {
	membership := leader.core.log.membership()
	for _, id := range c.ids {
		m := c.members[id]
		if m.diskLost && membership.Contains(id) {
			return false
		}
		if m.diskLost || slices.Contains(membership.Removed, id) {
			continue
		}
		if m.value != value || !membership.Contains(id) {
			return false
		}
	}
	return true
}

func (c *simCluster) describe() (text string) {
	for _, id := range c.ids {
		if m := c.members[id]; m.running {
			text += fmt.Sprintf("\n%+v", m.core.Status())
		}
	}
	return text
}
