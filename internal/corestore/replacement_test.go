package corestore

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/raft"
	"godwitward.example/godwitward/wal"
)

// catchUpTime is the platform's time after which a daemon that was replaced no longer
// counts as lost.
const catchUpTime = 4 * time.Second

// loseDisks ends members and starts them again with empty disks, after the leader has lost
// its majority if they were needed for one.
func (c *testCluster) loseDisks(members ...int) {
	for _, i := range members {
		c.stop(i)
		require.NoError(c.t, os.RemoveAll(c.dirs[i]+"/store"))
		delete(c.disks, i)
	}
	time.Sleep(time.Second)
	for _, i := range members {
		c.start(i, false)
	}
}

// Guards against a daemon that was replaced by plan and keeps its vote: two lost disks
// then end the majority for good.
func TestTwoDisksLostAfterAPlannedReplacement(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	c.dirs[6] = t.TempDir()
	c.start(6, false)
	time.Sleep(catchUpTime)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, c.stores[5].StepDown(ctx))
	c.stop(5)
	_, err := c.put(1, 7, "seven")
	require.NoError(t, err)
	c.loseDisks(2, 4)
	c.waitVoters(5)
	d, err := c.get(6)
	require.NoError(t, err)
	require.Equal(t, "seven", string(d.Body))
}

// Guards against a group that loses votes when its daemons are stopped and started in turn
// while another one waits to replace one of them.
func TestRestartsInTurnWhileADaemonWaits(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	c.dirs[6] = t.TempDir()
	c.start(6, false)
	time.Sleep(time.Second)
	for i := 1; i <= 5; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		require.NoError(t, c.stores[i].StepDown(ctx))
		cancel()
		c.stop(i)
		_, err := c.put(6, uint64(i), "value")
		require.NoError(t, err)
		c.start(i, false)
		time.Sleep(catchUpTime)
	}
	st := c.stores[c.leader()].status.Load()
	require.Len(t, st.Membership.Voters, 5)
	c.loseDisks(2, 4)
	require.Eventually(t, func() bool { d, err := c.get(6); return err == nil && d.Version == 5 }, repairTimeout, 100*time.Millisecond)
}

// Guards against a leader that is gone for good and keeps its vote although another daemon
// has joined, over a further change of the leader.
func TestTwoDisksLostAfterTheLeaderIsReplaced(t *testing.T) {
	c := newTestCluster(t, 5, 2)
	c.waitVoters(5)
	c.stop(c.leader())
	c.dirs[6] = t.TempDir()
	time.Sleep(time.Second)
	c.start(6, false)
	time.Sleep(2 * time.Second)
	second := 0
	require.Eventually(t, func() bool { second = c.leader(); return second != 0 }, repairTimeout, 20*time.Millisecond)
	c.stop(second)
	time.Sleep(300 * time.Millisecond)
	c.start(second, false)
	time.Sleep(catchUpTime)
	var alive []int
	for i := range c.stores {
		alive = append(alive, i)
	}
	slices.Sort(alive)
	_, err := c.put(alive[0], 7, "seven")
	require.NoError(t, err)
	c.loseDisks(alive[1], alive[3])
	c.waitVoters(5)
	d, err := c.get(alive[4])
	require.NoError(t, err)
	require.Equal(t, "seven", string(d.Body))
}

// leader returns the number of the member that leads, 0 if none does.
func (c *testCluster) leader() int {
	for i, s := range c.stores {
		if _, _, self := s.Leader(); self {
			return i
		}
	}
	return 0
}

// modelGroup simulates the membership of a group while one of its members is replaced.
// Changes of a group with a live majority take effect at once.
type modelGroup struct {
	now              time.Duration
	voters, learners []replica.MemberID
	// downSince is when each member that is down went down, upSince when a daemon that
	// joins started.
	downSince, upSince map[replica.MemberID]time.Duration
	leader             replica.MemberID
	// electedAt is when the leader was elected.
	electedAt time.Duration
	leaving   replica.MemberID
	removed   []replica.MemberID
}

func (g *modelGroup) down(id replica.MemberID) bool { _, down := g.downSince[id]; return down }

func (g *modelGroup) hasMajority() bool {
	live := 0
	for _, id := range g.voters {
		if !g.down(id) {
			live++
		}
	}
	return live > len(g.voters)/2
}

// modelElection is the time without a leader after its loss.
const modelElection = 1300 * time.Millisecond

// step lets the leader make the changes that are due.
func (g *modelGroup) step() {
	if g.down(g.leader) || !slices.Contains(g.voters, g.leader) {
		if !g.hasMajority() {
			return
		}
		i := slices.IndexFunc(g.voters, func(id replica.MemberID) bool { return !g.down(id) })
		g.leader, g.electedAt = g.voters[i], g.now+modelElection
	}
	if g.now < g.electedAt {
		return
	}
	for range 3 {
		v := &groupView{
			self: g.leader, voters: g.voters, learners: g.learners, requiredVoters: 5,
			inactiveFor: map[replica.MemberID]time.Duration{}, caughtUp: map[replica.MemberID]bool{},
			learnerFor: map[replica.MemberID]time.Duration{}, leaving: map[replica.MemberID]bool{},
		}
		for id, since := range g.downSince {
			v.inactiveFor[id] = g.now - max(since, g.electedAt)
		}
		for _, id := range g.learners {
			v.caughtUp[id], v.learnerFor[id] = !g.down(id), g.now-max(g.upSince[id], g.electedAt)
		}
		if g.leaving != raft.None && slices.Contains(g.voters, g.leaving) {
			v.leaving[g.leaving] = true
		}
		for id := range g.upSince {
			if !g.down(id) && !slices.Contains(g.voters, id) && !slices.Contains(g.learners, id) && !slices.Contains(g.removed, id) {
				v.joining = append(v.joining, id)
			}
		}
		c := plan(v)
		if c == nil || !g.hasMajority() {
			return
		}
		remove := func(list []replica.MemberID) []replica.MemberID {
			return slices.DeleteFunc(slices.Clone(list), func(id replica.MemberID) bool { return id == c.Member })
		}
		switch c.Kind {
		case raft.AddLearner:
			g.learners = append(slices.Clone(g.learners), c.Member)
		case raft.PromoteLearner:
			g.learners, g.voters = remove(g.learners), append(slices.Clone(g.voters), c.Member)
		case raft.RemoveMember:
			g.learners, g.voters, g.removed = remove(g.learners), remove(g.voters), append(g.removed, c.Member)
		}
	}
}

// survives reports whether a majority of the voters is left after any further losses.
func (g *modelGroup) survives(losses int) bool {
	live := 0
	for _, id := range g.voters {
		if !g.down(id) {
			live++
		}
	}
	return live-losses > len(g.voters)/2
}

// Each order of a replacement, planned or not, with restarts and changes of the leader in
// between, must leave a majority after the losses that are allowed at each moment.
func TestReplacementsBearTheAllowedLosses(t *testing.T) {
	const step = 50 * time.Millisecond
	ms := func(t *rapid.T, from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from/50, to/50).Draw(t, name)) * step
	}
	rapid.Check(t, func(t *rapid.T) {
		g := &modelGroup{voters: bootstrapMembers(1, 2, 3, 4, 5), downSince: map[replica.MemberID]time.Duration{}, upSince: map[replica.MemberID]time.Duration{}}
		g.leader = rapid.SampledFrom(g.voters).Draw(t, "leader")
		old, successor := rapid.SampledFrom(g.voters).Draw(t, "old"), member(6, 99)
		var startAt, endAt time.Duration
		planned := rapid.Bool().Draw(t, "planned")
		if planned {
			startAt = time.Second
			endAt = startAt + ms(t, 4000, 40000, "overlap")
		} else {
			endAt = time.Second
			startAt = endAt + ms(t, 0, 3000, "gap")
		}
		// Another member ends and comes back, as by a restart.
		restarted := rapid.SampledFrom(bootstrapMembers(1, 2, 3, 4, 5)).Filter(func(id replica.MemberID) bool { return id != old }).Draw(t, "restarted")
		restartAt := ms(t, 0, 12000, "restart")
		backAt := restartAt + ms(t, 100, 3500, "down")
		for g.now < max(endAt, startAt)+8*time.Second {
			g.now += step
			switch g.now {
			case startAt:
				g.upSince[successor] = g.now
			case endAt - step:
				if planned {
					g.leaving = old
					if g.leader == old {
						// The leadership is handed over before the stop.
						i := slices.IndexFunc(g.voters, func(id replica.MemberID) bool { return id != old && !g.down(id) })
						g.leader, g.electedAt = g.voters[i], g.now
					}
				}
			case endAt:
				g.downSince[old], g.leaving = g.now, raft.None
			}
			switch g.now {
			case restartAt:
				g.downSince[restarted] = g.now
			case backAt:
				delete(g.downSince, restarted)
				if slices.Contains(g.removed, restarted) {
					restarted = member(byte(7), 100)
					g.upSince[restarted] = g.now
				}
			}
			g.step()
			counted := 0
			if g.now >= endAt && g.now < startAt+catchUpTime || !planned && g.now >= endAt && startAt == 0 {
				counted++
			}
			if g.now >= restartAt && g.now < backAt+catchUpTime {
				counted++
			}
			if counted <= 2 && !g.survives(2-counted) {
				t.Fatalf("at %v, with %d members counted as lost, the voters %v and learners %v do not bear %d further losses", g.now, counted, g.voters, g.learners, 2-counted)
			}
		}
	})
}

// Guards against daemons that lost their disks and stay out of the group because none of
// their seeds belongs to it: one was replaced and the settings still name it. All members
// would share the host's disk, whose syncs take up to 9 s beside other writers.
func TestEmptyDaemonsJoinWithoutASeedOfTheGroup(t *testing.T) {
	c := newTestClusterOn(t, 5, 2, func() wal.FS { return newMemoryDisk() })
	c.waitVoters(5)
	c.stop(3)
	c.dirs[6] = t.TempDir()
	c.start(6, false)
	c.waitVoters(5)
	_, err := c.put(6, 7, "seven")
	require.NoError(t, err)
	c.loseDisks(1, 2)
	c.waitVoters(5)
	d, err := c.get(1)
	require.NoError(t, err)
	require.Equal(t, "seven", string(d.Body))
}

// Guards against a stop that waits for a leader of a build that does not know of it, and that
// reports a core without a majority.
func TestStopUnderALeaderThatDoesNotKnowLeave(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.waitVoters(3)
	c.withoutLeave = true
	for i := 1; i <= 3; i++ {
		c.stop(i)
		c.start(i, false)
	}
	c.waitVoters(3)
	follower := c.leader()%3 + 1
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := time.Now()
	require.NoError(t, c.stores[follower].StepDown(ctx))
	require.Less(t, time.Since(began), 500*time.Millisecond)
}
